// Package warm follows whether an upstream is cold, and bounds the calls that it gets
// meanwhile.
//
// # Usage
//
//	t := warm.New()                         // beside the upstream
//	t.SetSpec(now, warm.Spec{...})          // from the configuration and the settings
//	t.Serve(now, process, takesCalls)       // which process takes calls at present
//	t.Arriving(now)                         // before a call is admitted
//	pace := t.Pace(now)                     // the rate at which calls may start
//	ok := t.Send(now)                       // before a call is sent; false: refuse it
//	t.Answered(now, sent)                   // or Ended
//	t.Doubt(now)                            // a connection was refused, reset or closed
//	t.Announced(now, process, left)         // the upstream has said how long it stays cold
//	if t.WantsCheck(now, short) { t.StartCheck(now); ...; t.Checked(now, sent, result) }
//
// A cold upstream crashes if it gets many more calls than it bears, and is then cold again.
// All of its calls pass through the daemon beside it, so that daemon alone keeps the bound.
// It often does not know the state: it may have restarted, or the upstream may have crashed
// and come back. It then treats the upstream as cold until a statement of the upstream that
// was made after that moment says otherwise. Health checks are such statements;
// announcements may be late and are believed only if they can't be older than the doubt.
//
// A Tracker does no I/O and is not safe for concurrent use.
package warm

import (
	"time"

	"chicorymast/core/notice"
)

// Phase is what is known of an upstream.
type Phase string

// The phases of an upstream.
const (
	PhaseWarm Phase = "warm"
	// PhaseUncertain means that the upstream may be cold.
	PhaseUncertain Phase = "uncertain"
	// PhaseCold means that the upstream has said that it is cold.
	PhaseCold Phase = "cold"
)

// Tracker follows the upstream on one VM.
type Tracker struct {
	spec    Spec
	phase   Phase
	process notice.Process
	// serving is set while the upstream takes calls.
	serving bool
	// since is the time of the latest doubt, or of the latest statement that the upstream
	// is cold. A statement made before it does not end the phase.
	since time.Time
	// reached is when the first call that was sent after since was answered.
	reached time.Time
	// until is the end of the cold time according to the upstream.
	until time.Time
	// lastSent is when the last call was sent, lastHeard when the last one was answered or
	// the first of those running was sent.
	lastSent, lastHeard time.Time
	running             int
	sends               sends
	checks              checks
}

const (
	// idleTime is the time without a call after which an upstream may have become cold
	// unnoticed. It is the interval of announcements.
	idleTime = 1500 * time.Millisecond
	// silentTime is the time without an answer to any running call after which the upstream
	// may have been suspended or replaced.
	silentTime = time.Second
	// announcementDelay is the greatest age of an announcement when it arrives.
	announcementDelay = 5 * time.Second
	// confirmTime is how long a health check may take to confirm that a cold time has
	// ended. Without an answer, the upstream counts as warm.
	confirmTime = 500 * time.Millisecond
)

// New returns a tracker of a daemon that has just started and knows nothing.
func New() *Tracker {
	return &Tracker{phase: PhaseUncertain}
}

// SetSpec sets what the configuration and the settings say about cold upstreams.
func (t *Tracker) SetSpec(now time.Time, s Spec) {
	if s == t.spec {
		return
	}
	if !t.spec.Enabled() {
		t.Doubt(now) // nothing was followed before
	}
	t.spec = s
	t.sends.resize(now, s.sendLimit())
}

// Phase returns what is known of the upstream, always warm where the specification does not
// ask to follow it.
func (t *Tracker) Phase() Phase {
	if !t.spec.Enabled() {
		return PhaseWarm
	}
	return t.phase
}

// Doubt notes that the upstream may be cold from now on, for instance since a connection
// to it was refused, reset or closed: the process may have ended.
func (t *Tracker) Doubt(now time.Time) {
	if t.phase == PhaseWarm {
		// What was sent before went to the process before the doubt, or at a time at which
		// it was warm.
		t.sends.countFrom(now)
	}
	t.phase = PhaseUncertain
	t.since, t.reached = now, time.Time{}
}

// Serve tells which process is on the VM, and whether it takes calls. A process that is
// taken back into service may have cooled down.
func (t *Tracker) Serve(now time.Time, p notice.Process, serving bool) {
	if p != t.process {
		t.process, t.until = p, time.Time{}
		t.Doubt(now)
	}
	if serving && !t.serving {
		t.Doubt(now)
	}
	t.serving = serving
}

// Announced applies an announcement of a process, which says for how long the upstream
// stays cold.
func (t *Tracker) Announced(now time.Time, p notice.Process, left time.Duration) {
	if p != t.process {
		t.Serve(now, p, t.serving)
	}
	certain := !now.Add(-announcementDelay).Before(t.since)
	if left <= 0 {
		// The answer to a health check outweighs an announcement.
		checked := t.phase == PhaseCold && !t.checks.unverified
		if certain && !checked {
			t.phase = PhaseWarm
		}
		return
	}
	t.until = later(t.until, now.Add(t.clamp(left)))
	switch t.phase {
	case PhaseWarm:
		// The upstream may have been cold for as long as the announcement took.
		t.sends.countFrom(time.Time{})
		t.checks.unverified = true
		t.phase, t.since = PhaseCold, now
	case PhaseUncertain:
		// An announcement from before the doubt may say too little, and one of a new
		// process may come when that has ended again; until keeps the least.
		if certain {
			t.checks.unverified = true
			t.phase, t.since = PhaseCold, now
		}
	case PhaseCold:
		t.since = now
	}
}

// clamp bounds a stated time by the configured one: a wrong statement must not slow an
// upstream for long.
func (t *Tracker) clamp(left time.Duration) time.Duration {
	return min(max(left, 0), t.spec.Time)
}

// Arriving notes that a call has arrived, before it is admitted. Calls that begin again
// after a time without any may meet an upstream that has restarted.
func (t *Tracker) Arriving(now time.Time) {
	if t.running == 0 && now.Sub(t.lastSent) > idleTime && t.phase == PhaseWarm {
		t.Doubt(now)
	}
}

// Send reports whether a call that was admitted may be sent, and counts it. It does not
// depend on the pace: calls may be admitted evenly and sent at once.
func (t *Tracker) Send(now time.Time) bool {
	if !t.spec.Enabled() {
		return true
	}
	if t.phase != PhaseWarm && !t.sends.room(now) {
		return false
	}
	t.sends.add(now)
	if t.running == 0 {
		t.lastHeard = now
	}
	t.running++
	t.lastSent = now
	return true
}

// Answered notes the answer to a call that was sent at a time.
func (t *Tracker) Answered(now, sent time.Time) {
	t.Ended()
	t.lastHeard = now
	if t.reached.IsZero() && !sent.Before(t.since) {
		t.reached = now
	}
}

// Ended notes the end of a call without an answer.
func (t *Tracker) Ended() {
	t.running = max(0, t.running-1)
}

// Tick ends phases that time ends, and notices silence.
func (t *Tracker) Tick(now time.Time) {
	if t.running > 0 && now.Sub(t.lastHeard) > silentTime {
		t.lastHeard = now
		t.Doubt(now)
	}
	switch t.phase {
	case PhaseCold:
		if end := t.until.Add(t.checks.confirmTime()); !now.Before(end) {
			t.phase = PhaseWarm
		}
	case PhaseUncertain:
		// A process that has answered had started by then.
		if !t.reached.IsZero() && !now.Before(later(t.until, t.reached.Add(t.spec.Time))) {
			t.phase = PhaseWarm
		}
	case PhaseWarm:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
