// Package tenure decides which announcements of the upstreams beside a daemon still hold.
// Announcements may arrive late, after a later one, after the deregistration of their
// process, or after a restart of the daemon.
//
// # Usage
//
//	t := tenure.New(now, lease)
//	t.Recall(now, departures)                 // known elsewhere from before a restart
//	switch t.Announce(now, process, sequence) {
//	case tenure.Current:                    // register, or renew
//	case tenure.Leaving:                    // the same, but without new calls
//	case tenure.Outdated:                   // ignore
//	}
//	t.Depart(now, process, tenure.Draining) // it said that it leaves
//	t.Deregister(now, upstream)             // it said that it is gone
//	copies := t.Departures()                // for other daemons to keep
//
// What a daemon has acknowledged must outlive its process, and a sidecar has no disk, so
// the departures travel with its entry in the directory and come back after a restart.
// The load that this answers: upstreams that leave while daemons restart and messages are
// seconds late. A Tenure is not safe for concurrent use.
package tenure

import (
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/notice"
)

const (
	// memory is how long a departure is kept. It is far above the delay of any message.
	memory = time.Minute
	// maxDepartures bounds the departures that are kept of one VM.
	maxDepartures = 8
	// lateness is the longest delay between two late announcements of one process. A
	// process that goes on announcing itself for longer is alive.
	lateness = 10 * time.Second
)

// Stage is how far a process has left.
type Stage string

// The stages of a departure.
const (
	Draining Stage = "draining"
	Gone     Stage = "gone"
)

// Departure says that a process of an upstream leaves or has left.
type Departure struct {
	notice.Process
	Stage Stage `json:"stage"`
	// AtMs is when it was acknowledged, in Unix milliseconds of the VM's clock.
	AtMs int64 `json:"at_ms"`
}

// covers reports whether a process is the departed one. Where its start is unknown, it is
// any process of that upstream which had started by then.
func (d Departure) covers(p notice.Process) bool {
	if d.Upstream != p.Upstream || p.StartedMs == 0 {
		return false
	}
	if d.StartedMs == 0 {
		return p.StartedMs <= d.AtMs
	}
	return p.StartedMs == d.StartedMs
}

// Verdict says what an announcement is worth.
type Verdict string

// The verdicts.
const (
	// Current is an announcement of a process that may get calls.
	Current Verdict = "current"
	// Leaving is an announcement of a process that may finish its calls only.
	Leaving Verdict = "leaving"
	// Outdated is an announcement that something later has superseded.
	Outdated Verdict = "outdated"
)

// outdatedRun is a process whose announcements are ignored for the time being.
type outdatedRun struct {
	process  notice.Process
	sequence uint64
	since    time.Time
}

// Tenure is what one daemon knows of the upstream processes beside it.
type Tenure struct {
	lease time.Duration
	// startedAt is when the daemon started.
	startedAt time.Time
	// latest is the process of the newest announcement, sequence that announcement's
	// number and renewedAt its time. They stay after the process has departed.
	latest    notice.Process
	sequence  uint64
	renewedAt time.Time
	// departures are in the order of their arrival.
	departures []Departure
	ignored    outdatedRun
	// unconfirmed is the first announcement of a process that counts once another follows.
	unconfirmed outdatedRun
}

// New returns the Tenure of a daemon that starts now, for announcements that are valid for
// a time.
func New(now time.Time, lease time.Duration) *Tenure {
	return &Tenure{startedAt: now, lease: lease}
}

// Latest returns the process of the newest announcement and its sequence number.
func (t *Tenure) Latest() (p notice.Process, sequence uint64) {
	return t.latest, t.sequence
}

// Expired reports whether the newest announcement is no longer valid.
func (t *Tenure) Expired(now time.Time) bool {
	return now.Sub(t.renewedAt) > t.lease
}

// Announce judges an announcement, which counts from now on unless it is outdated.
// Sequence numbers order the announcements of one process, start times the processes; a
// zero is unknown.
func (t *Tenure) Announce(now time.Time, p notice.Process, sequence uint64) Verdict {
	gone, draining := t.departed(p, Gone), t.departed(p, Draining)
	if (gone || t.precedesLatest(p, sequence)) && !t.provesAlive(now, p, sequence) {
		return Outdated
	}
	if gone {
		t.forget(p)
	}
	if t.mayHaveLeft(now, p, sequence) {
		return Outdated
	}
	t.latest, t.sequence, t.renewedAt, t.ignored = p, sequence, now, outdatedRun{}
	if draining {
		return Leaving
	}
	return Current
}

// departed reports whether a process is known to be at a stage of its departure.
func (t *Tenure) departed(p notice.Process, stage Stage) bool {
	return slices.ContainsFunc(t.departures, func(d Departure) bool { return d.Stage == stage && d.covers(p) })
}

// forget removes the deregistration of a process that is alive all the same: it was that
// of an earlier process with the same id, and late.
func (t *Tenure) forget(p notice.Process) {
	t.departures = slices.DeleteFunc(slices.Clone(t.departures), func(d Departure) bool { return d.Stage == Gone && d.covers(p) })
}

// precedesLatest reports whether an announcement was sent before the newest one.
func (t *Tenure) precedesLatest(p notice.Process, sequence uint64) bool {
	if p.StartedMs != t.latest.StartedMs {
		return p.StartedMs < t.latest.StartedMs
	}
	return p.Upstream == t.latest.Upstream && sequence > 0 && sequence <= t.sequence
}

// mayHaveLeft reports whether a process is older than the daemon and was not heard of for
// half a lease after the start. Running ones announce themselves more often, so this one may
// have left before, which no relay may know after a restart of all; its announcement counts
// once another follows.
func (t *Tenure) mayHaveLeft(now time.Time, p notice.Process, sequence uint64) bool {
	older := p.StartedMs > 0 && p.StartedMs < t.startedAt.UnixMilli()
	if !older || p == t.latest || sequence <= 1 || now.Sub(t.startedAt) <= t.lease/2 {
		return false
	}
	if t.unconfirmed.process == p && sequence > t.unconfirmed.sequence {
		return false
	}
	t.unconfirmed = outdatedRun{process: p, sequence: sequence, since: now}
	return true
}

// provesAlive reports whether a process that seems outdated or gone has gone on announcing
// itself for longer than messages are late, while nothing else has: a clock was stepped, an
// announcement before bore a wrong start time or number, or a deregistration was late.
func (t *Tenure) provesAlive(now time.Time, p notice.Process, sequence uint64) bool {
	if t.ignored.process != p || sequence <= t.ignored.sequence {
		if t.ignored.process != p {
			t.ignored = outdatedRun{process: p, sequence: sequence, since: now}
		}
		return false
	}
	t.ignored.sequence = sequence
	return now.Sub(t.ignored.since) > lateness && now.Sub(t.renewedAt) > lateness
}

// Depart notes that a process leaves. A draining process without a start time can't be
// told from its successor, so nothing is kept of it.
func (t *Tenure) Depart(now time.Time, p notice.Process, stage Stage) (changed bool) {
	if p.StartedMs == 0 && stage == Draining {
		return false
	}
	return t.add(now, Departure{Process: p, Stage: stage, AtMs: now.UnixMilli()})
}

// Deregister notes that the newest process of an upstream is gone; an empty id stands for
// the newest of all. The upstream may be unknown here.
func (t *Tenure) Deregister(now time.Time, u ident.Upstream) (changed bool) {
	p := notice.Process{Upstream: u}
	if u == "" || u == t.latest.Upstream {
		p = t.latest
	}
	return t.Depart(now, p, Gone)
}

// Recall adds departures that other daemons have kept.
func (t *Tenure) Recall(now time.Time, departures []Departure) (changed bool) {
	for _, d := range departures {
		changed = t.add(now, d) || changed
	}
	return changed
}

func (t *Tenure) add(now time.Time, d Departure) (changed bool) {
	if d.Upstream == "" {
		return false
	}
	for i, known := range t.departures {
		if known.Process != d.Process {
			continue
		}
		if known.Stage == Gone || known.Stage == d.Stage {
			if known.StartedMs == 0 && d.AtMs > known.AtMs {
				t.departures[i].AtMs = d.AtMs
				return true
			}
			return false
		}
		t.departures[i] = d
		return true
	}
	t.departures = append(t.remembered(now), d)
	if surplus := len(t.departures) - maxDepartures; surplus > 0 {
		t.departures = t.departures[surplus:]
	}
	return true
}

// remembered returns the departures that are not too old.
func (t *Tenure) remembered(now time.Time) []Departure {
	return slices.DeleteFunc(slices.Clone(t.departures), func(d Departure) bool {
		return now.Sub(time.UnixMilli(d.AtMs)) > memory && d.Process != t.latest
	})
}

// Departures returns a copy of the departures that other daemons should keep.
func (t *Tenure) Departures() []Departure {
	return slices.Clone(t.departures)
}
