package daemon

import (
	"slices"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/notice"
	"chicorymast/core/tenure"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/timer"

	"go.uber.org/zap"
)

// defaultUpstreamLease is the lifetime of an announcement without renewal, unless a
// platform sets the interval of announcements.
const defaultUpstreamLease = 3 * time.Second

// departureTimeout bounds the wait until a relay has a departure. An upstream waits for
// its acknowledgement for a second only.
const departureTimeout = 300 * time.Millisecond

// maxClockLead is how far the start of a process may lie ahead of this VM's clock.
const maxClockLead = time.Minute

// upstreamRegistry records the announcement of the upstream on this VM in the board's
// sections Upstream and Departures, of which it is the only writer.
type upstreamRegistry struct {
	vm         ident.VM
	dataCentre ident.DataCentre
	clock      timer.Clock
	board      *board.Board
	log        *event.Log

	// onAnnounced is called for each announcement that counts, with the time for which
	// the process stays cold.
	onAnnounced func(p notice.Process, cold time.Duration)

	mu     sync.Mutex
	lease  time.Duration
	tenure *tenure.Tenure
	// recalling is set from the start until a relay has said what it knows of the VM from
	// before; held are the announcements that wait for that, maxHeld at most.
	recalling bool
	held      []proxy.Announcement
	// evacuated is set if a relay has said that the data centre is evacuated, before this
	// daemon had a configuration.
	evacuated bool
}

func newUpstreamRegistry(vm ident.VM, dc ident.DataCentre, c timer.Clock, b *board.Board, log *event.Log, lease time.Duration) *upstreamRegistry {
	return &upstreamRegistry{
		vm: vm, dataCentre: dc, clock: c, board: b, log: log, lease: lease, tenure: tenure.New(c.Now(), lease),
		onAnnounced: func(notice.Process, time.Duration) {},
	}
}

// Announce records or renews the announcement of the upstream and returns how long
// it is valid. An outdated announcement is ignored. One that says that the upstream
// drains is acknowledged once a relay knows, if one can be reached in time.
// Errors: a refusal if the process claims to start in the future, which would make all
// other processes outdated.
func (r *upstreamRegistry) Announce(a proxy.Announcement) (lease time.Duration, err error) {
	if ahead := time.UnixMilli(a.StartedMs).Sub(r.clock.Now()); ahead > maxClockLead {
		return 0, fault.Refuse(fault.ReasonBadRequest, "announcement: the upstream starts %s from now", ahead)
	}
	if r.recordOrHold(a) {
		r.awaitRelay()
	}
	return r.lease, nil
}

// maxHeld bounds the announcements that are held: more than come before a relay is reached.
const maxHeld = 16

// recordOrHold records an announcement, or holds it until a relay was reached.
func (r *upstreamRegistry) recordOrHold(a proxy.Announcement) (departed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recalling {
		return r.record(a)
	}
	if r.held = append(r.held, a); len(r.held) > maxHeld {
		r.held = r.held[1:]
	}
	return a.Draining && r.depart(processOf(a), tenure.Draining)
}

func processOf(a proxy.Announcement) notice.Process {
	return notice.Process{Upstream: a.Upstream, StartedMs: a.StartedMs}
}

// Recall adds what a relay knows of upstreams that have left this VM, and whether operators
// evacuate its data centre. The first call, with or without any, ends the wait for that.
func (r *upstreamRegistry) Recall(departures []tenure.Departure, evacuated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = r.evacuated || evacuated
	r.updateDrained()
	if r.tenure.Recall(r.clock.Now(), departures) {
		r.publishDepartures()
		r.log.Emit(event.DeparturesRecalled, zap.Any("departures", departures))
		r.applyDepartures(departures)
	}
	held := r.held
	r.recalling, r.held = false, nil
	for _, a := range held {
		r.record(a)
	}
}

// applyDepartures changes the phase of the registered upstream if it is among departures
// that have become known; the mutex is held.
func (r *upstreamRegistry) applyDepartures(departures []tenure.Departure) {
	current := r.board.Upstream.Read()
	for _, d := range departures {
		if d.Process != current.Process() || current.StartedMs == 0 {
			continue
		}
		if d.Stage == tenure.Gone {
			r.setPhase(d.Upstream, member.PhaseGone, event.UpstreamDeregistered)
			continue
		}
		r.setPhase(d.Upstream, member.PhaseDraining, event.UpstreamDraining)
	}
}

// record records an announcement; the mutex is held. It reports whether a departure has
// become known by it.
func (r *upstreamRegistry) record(a proxy.Announcement) (departed bool) {
	now := r.clock.Now()
	p := processOf(a)
	before, newest := r.tenure.Latest()
	verdict := r.tenure.Announce(now, p, a.Sequence)
	if len(r.tenure.Departures()) != len(*r.board.Departures.Read()) {
		r.publishDepartures() // a late deregistration was outlived
	}
	if verdict == tenure.Outdated {
		r.log.Emit(event.AnnouncementOutdated, zap.String("upstream", string(a.Upstream)),
			zap.Int64("started_ms", a.StartedMs), zap.Uint64("sequence", a.Sequence),
			zap.String("newest", string(before.Upstream)), zap.Uint64("newest_sequence", newest))
		return false
	}
	current := r.board.Upstream.Read()
	sameProcess := p == before
	next := board.Upstream{
		Upstream: member.Upstream{
			Service: a.Service, ID: a.Upstream, StartedMs: a.StartedMs, Slots: a.Slots, Phase: member.PhaseUp,
		},
		Address:    a.Address,
		HealthPath: a.HealthPath,
		LoadPath:   a.LoadPath,
	}
	next.Drained, next.Evacuated = r.drained()
	if a.WarmupMs > 0 {
		next.WarmupMs = a.WarmupMs
		if sameProcess {
			// The warm-up time counts from the first announcement of the process.
			next.WarmupMs = current.WarmupMs
		}
	}
	// A renewal does not end a drain; only a new process of the upstream does.
	if a.Draining || (sameProcess && current.Phase == member.PhaseDraining) || verdict == tenure.Leaving {
		next.Phase = member.PhaseDraining
		departed = r.depart(p, tenure.Draining)
	}
	defer r.onAnnounced(p, time.Duration(a.WarmupMs)*time.Millisecond) // once it is on the board
	if *current == next {
		return departed
	}
	r.board.Upstream.Write(&next)
	id := event.UpstreamAnnounced
	if next.Phase == member.PhaseDraining {
		id = event.UpstreamDraining
	}
	r.log.Emit(id, zap.String("service", string(a.Service)), zap.String("upstream", string(a.Upstream)),
		zap.String("address", a.Address), zap.Int("slots", a.Slots))
	return departed
}

// depart notes that a process leaves; the mutex is held. The departure is published before
// the phase changes, so that no relay knows of the phase alone.
func (r *upstreamRegistry) depart(p notice.Process, stage tenure.Stage) (changed bool) {
	if changed = r.tenure.Depart(r.clock.Now(), p, stage); changed {
		r.publishDepartures()
	}
	return changed
}

func (r *upstreamRegistry) publishDepartures() {
	departures := r.tenure.Departures()
	r.board.Departures.Write(&departures)
}

// awaitRelay waits until a relay has accepted an announcement that was sent from now on,
// so that what is acknowledged next outlives this daemon. It gives up after a time: an
// upstream that gets no acknowledgement exits all the same.
func (r *upstreamRegistry) awaitRelay() {
	since := r.clock.Now()
	timeout := time.NewTimer(departureTimeout)
	defer timeout.Stop()
	for {
		contact := r.board.RelayContact.Changed()
		if !r.board.RelayContact.Read().At.Before(since) {
			return
		}
		select {
		case <-contact:
		case <-timeout.C:
			r.log.Emit(event.DepartureNotCopied)
			return
		}
	}
}

// Drain marks the upstream as draining, so that it gets no new calls.
func (r *upstreamRegistry) Drain() {
	r.mu.Lock()
	current := r.board.Upstream.Read()
	departed := current.Present() && r.depart(current.Process(), tenure.Draining)
	r.setPhase("", member.PhaseDraining, event.UpstreamDraining)
	r.mu.Unlock()
	if departed {
		r.awaitRelay()
	}
}

// Leave marks a process of the upstream as draining that has said in a response that it
// leaves. Its announcements may not say so yet.
func (r *upstreamRegistry) Leave(p notice.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.depart(p, tenure.Draining)
	if r.board.Upstream.Read().Process() == p {
		r.setPhase(p.Upstream, member.PhaseDraining, event.UpstreamDraining)
	}
}

// Deregister marks the upstream as gone; an empty id stands for the current one. The
// upstream still runs for a moment, so delayed announcements of the same process must not
// register it again, nor after a restart of this daemon: a relay keeps the departure.
func (r *upstreamRegistry) Deregister(u ident.Upstream) {
	r.mu.Lock()
	departed := r.tenure.Deregister(r.clock.Now(), u)
	r.held = slices.DeleteFunc(r.held, func(a proxy.Announcement) bool {
		leaves := u == "" || a.Upstream == u
		if leaves {
			departed = r.tenure.Depart(r.clock.Now(), processOf(a), tenure.Gone) || departed
		}
		return leaves
	})
	if departed {
		r.publishDepartures()
	}
	r.setPhase(u, member.PhaseGone, event.UpstreamDeregistered)
	r.mu.Unlock()
	if departed {
		r.awaitRelay()
	}
}

// setPhase changes the phase of the registered upstream, if it is the given one; an empty
// id stands for any. The mutex is held.
func (r *upstreamRegistry) setPhase(u ident.Upstream, p member.Phase, id event.ID) {
	next := *r.board.Upstream.Read()
	if !next.Present() || next.Phase == p || (u != "" && u != next.ID) {
		return
	}
	next.Phase = p
	r.board.Upstream.Write(&next)
	r.log.Emit(id, zap.String("upstream", string(next.ID)))
}

// tick marks the upstream as gone if its announcement has expired, and updates
// whether operators let it take calls.
func (r *upstreamRegistry) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tenure.Expired(now) {
		r.setPhase("", member.PhaseGone, event.UpstreamLeaseExpired)
	}
	r.updateDrained()
}

// updateDrained updates whether operators drain this VM or evacuate its data centre; the
// mutex is held.
func (r *upstreamRegistry) updateDrained() {
	current := r.board.Upstream.Read()
	next := *current
	next.Drained, next.Evacuated = r.drained()
	if next != *current {
		r.board.Upstream.Write(&next)
	}
}

// drained reports whether operators drain this VM or evacuate its data centre, and whether
// only the latter. Without a configuration it goes by what relays have said.
func (r *upstreamRegistry) drained() (drained, evacuated bool) {
	st := r.board.Config.Read().State
	evacuated = st.Evacuations[r.dataCentre] || (st.Revision == 0 && r.evacuated)
	return evacuated || st.Drains[r.vm], evacuated && !st.Drains[r.vm]
}
