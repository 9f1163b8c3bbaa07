package daemon

import (
	"maps"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/notice"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/timer"

	"go.uber.org/zap"
)

// defaultUpstreamLease is the lifetime of an announcement without renewal, unless a
// platform sets the interval of announcements.
const defaultUpstreamLease = 3 * time.Second

// upstreamRegistry records the announcement of the upstream on this VM in the board's
// section Upstream, of which it is the only writer.
type upstreamRegistry struct {
	vm    ident.VM
	clock timer.Clock
	board *board.Board
	log   *event.Log
	lease time.Duration

	mu        sync.Mutex
	renewedAt time.Time
	// latest is the newest announcement; it stays after the deregistration of its
	// upstream.
	latest proxy.Announcement
	// deregistered is set when that upstream has deregistered.
	deregistered bool
	// leaving is the process that has said in a response that it leaves.
	leaving notice.Process
	// strangers holds when upstreams deregistered that had not announced themselves
	// here, such as to a daemon that has restarted.
	strangers map[ident.Upstream]time.Time
}

// strangerMemory is how long a deregistration is remembered; announcements may be
// delayed by some seconds.
const strangerMemory = 10 * time.Second

// Announce records or renews the announcement of the upstream and returns how long
// it is valid. An announcement is ignored if a later one of the same process of the
// upstream, or one of a later process, has been recorded already.
func (r *upstreamRegistry) Announce(a proxy.Announcement) (lease time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOutdated(a) {
		r.log.Emit(event.AnnouncementOutdated, zap.String("upstream", string(a.Upstream)),
			zap.Int64("started_ms", a.StartedMs), zap.Uint64("sequence", a.Sequence),
			zap.String("newest", string(r.latest.Upstream)), zap.Uint64("newest_sequence", r.latest.Sequence))
		return r.lease, nil
	}
	sameProcess := r.isSameProcess(a)
	r.latest, r.renewedAt = a, r.clock.Now()
	if sameProcess && r.deregistered && a.StartedMs > 0 {
		return r.lease, nil // sent before its deregistration
	}
	r.deregistered = false
	current := r.board.Upstream.Read()
	next := board.Upstream{
		Upstream: member.Upstream{
			Service: a.Service, ID: a.Upstream, StartedMs: a.StartedMs, Slots: a.Slots, Phase: member.PhaseUp,
		},
		Address:    a.Address,
		HealthPath: a.HealthPath,
		LoadPath:   a.LoadPath,
		Drained:    r.isDrained(),
	}
	if a.WarmupMs > 0 {
		next.WarmupMs = a.WarmupMs
		if sameProcess {
			// The warm-up time counts from the first announcement of the process.
			next.WarmupMs = current.WarmupMs
		}
	}
	// A renewal does not end a drain; only a new process of the upstream does.
	if a.Draining || (sameProcess && current.Phase == member.PhaseDraining) || r.leaving == next.Process() {
		next.Phase = member.PhaseDraining
	}
	if *current == next {
		return r.lease, nil
	}
	r.board.Upstream.Write(&next)
	id := event.UpstreamAnnounced
	if next.Phase == member.PhaseDraining {
		id = event.UpstreamDraining
	}
	r.log.Emit(id, zap.String("service", string(a.Service)), zap.String("upstream", string(a.Upstream)),
		zap.String("address", a.Address), zap.Int("slots", a.Slots))
	return r.lease, nil
}

// isOutdated reports whether a later announcement, or a deregistration, has been
// recorded already; the mutex is held.
func (r *upstreamRegistry) isOutdated(a proxy.Announcement) bool {
	if at, left := r.strangers[a.Upstream]; left && a.StartedMs > 0 && a.StartedMs <= at.UnixMilli() {
		return true
	}
	if a.StartedMs != r.latest.StartedMs {
		return a.StartedMs < r.latest.StartedMs
	}
	return a.Upstream == r.latest.Upstream && a.Sequence > 0 && a.Sequence <= r.latest.Sequence
}

// isSameProcess reports whether an announcement is of the upstream announced last and
// of the same process; the mutex is held.
func (r *upstreamRegistry) isSameProcess(a proxy.Announcement) bool {
	return a.Upstream == r.latest.Upstream && a.StartedMs == r.latest.StartedMs
}

// Drain marks the upstream as draining, so that it gets no new calls.
func (r *upstreamRegistry) Drain() {
	r.setPhase("", member.PhaseDraining, event.UpstreamDraining)
}

// Leave marks a process of the upstream as draining that has said in a response that it
// leaves. Its announcements may not say so yet.
func (r *upstreamRegistry) Leave(p notice.Process) {
	r.mu.Lock()
	r.leaving = p
	announced := r.board.Upstream.Read().Process() == p
	r.mu.Unlock()
	if announced {
		r.setPhase(p.Upstream, member.PhaseDraining, event.UpstreamDraining)
	}
}

// Deregister marks the upstream as gone; an empty id stands for the current one.
// The upstream still runs for a moment, so delayed announcements of the same process
// must not register it again.
func (r *upstreamRegistry) Deregister(u ident.Upstream) {
	r.mu.Lock()
	if u == "" || u == r.latest.Upstream {
		r.deregistered = true
	} else {
		r.rememberStranger(u)
	}
	r.mu.Unlock()
	r.setPhase(u, member.PhaseGone, event.UpstreamDeregistered)
}

// rememberStranger remembers the deregistration of an upstream that is not the one
// announced last; the mutex is held.
func (r *upstreamRegistry) rememberStranger(u ident.Upstream) {
	now := r.clock.Now()
	if r.strangers == nil {
		r.strangers = map[ident.Upstream]time.Time{}
	}
	maps.DeleteFunc(r.strangers, func(_ ident.Upstream, at time.Time) bool { return now.Sub(at) > strangerMemory })
	r.strangers[u] = now
}

func (r *upstreamRegistry) setPhase(u ident.Upstream, p member.Phase, id event.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.board.Upstream.Read()
	if !next.Present() || next.Phase == p || (u != "" && u != next.ID) {
		return
	}
	next.Phase = p
	r.board.Upstream.Write(&next)
	r.log.Emit(id, zap.String("upstream", string(next.ID)))
}

// tick marks the upstream as gone if its announcement has expired, and updates
// whether operators drain this VM.
func (r *upstreamRegistry) tick(now time.Time) {
	r.mu.Lock()
	expired := now.Sub(r.renewedAt) > r.lease
	r.mu.Unlock()
	if expired {
		r.setPhase("", member.PhaseGone, event.UpstreamLeaseExpired)
	}
	r.updateDrained()
}

func (r *upstreamRegistry) updateDrained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.board.Upstream.Read()
	if next.Drained == r.isDrained() {
		return
	}
	next.Drained = r.isDrained()
	r.board.Upstream.Write(&next)
}

func (r *upstreamRegistry) isDrained() bool {
	return r.board.Config.Read().State.Drains[r.vm]
}
