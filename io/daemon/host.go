package daemon

import (
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/timer"

	"go.uber.org/zap"
)

// upstreamLease is how long an announcement lives without renewal, where no
// platform says how often it comes.
const upstreamLease = 3 * time.Second

// host is the controller of the board's section Served.
type host struct {
	vm    ident.VM
	clock timer.Clock
	board *board.Board
	log   *event.Log
	lease time.Duration

	mu      sync.Mutex
	renewed time.Time
	// last is the newest announcement, also after its upstream has left.
	last proxy.Announcement
	// left is set when that upstream has said that it leaves.
	left bool
}

// Announce takes or renews the upstream's announcement. One that was overtaken
// by a later one of the same life, or by a later life, changes nothing.
func (h *host) Announce(a proxy.Announcement) (lease time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.overtaken(a) {
		h.log.Emit(event.AnnouncementOutdated, zap.String("upstream", string(a.Upstream)),
			zap.Int64("started_ms", a.StartedMs), zap.Uint64("sequence", a.Sequence),
			zap.String("newest", string(h.last.Upstream)), zap.Uint64("newest_sequence", h.last.Sequence))
		return h.lease, nil
	}
	again := h.sameLife(a)
	h.last, h.renewed = a, h.clock.Now()
	if again && h.left && a.StartedMs > 0 {
		return h.lease, nil // sent before it left
	}
	h.left = false
	have := h.board.Upstream.Read()
	next := board.Upstream{
		Upstream:   member.Upstream{Service: a.Service, ID: a.Upstream, Slots: a.Slots, Phase: member.PhaseUp},
		Address:    a.Address,
		HealthPath: a.HealthPath,
		LoadPath:   a.LoadPath,
		Drained:    h.drained(),
	}
	if a.WarmupMs > 0 {
		next.WarmupMs = a.WarmupMs
		if again {
			// What is left of it is counted from the first announcement.
			next.WarmupMs = have.WarmupMs
		}
	}
	// A renewal does not end a drain; only a new life of an upstream does.
	if a.Draining || (again && have.Phase == member.PhaseDraining) {
		next.Phase = member.PhaseDraining
	}
	if *have == next {
		return h.lease, nil
	}
	h.board.Upstream.Write(&next)
	id := event.UpstreamAnnounced
	if next.Phase == member.PhaseDraining {
		id = event.UpstreamDraining
	}
	h.log.Emit(id, zap.String("service", string(a.Service)), zap.String("upstream", string(a.Upstream)),
		zap.String("address", a.Address), zap.Int("slots", a.Slots))
	return h.lease, nil
}

// overtaken reports whether a later announcement has been taken already; the
// mutex is held.
func (h *host) overtaken(a proxy.Announcement) bool {
	if a.StartedMs != h.last.StartedMs {
		return a.StartedMs < h.last.StartedMs
	}
	return a.Upstream == h.last.Upstream && a.Sequence > 0 && a.Sequence <= h.last.Sequence
}

// sameLife reports whether the upstream is the one that was announced before;
// the mutex is held.
func (h *host) sameLife(a proxy.Announcement) bool {
	return a.Upstream == h.last.Upstream && a.StartedMs == h.last.StartedMs
}

// Drain keeps new work away.
func (h *host) Drain() {
	h.setPhase("", member.PhaseDraining, event.UpstreamDraining)
}

// Deregister ends the announcement. The upstream goes on running for a moment, so
// late announcements of the same life must not bring it back.
func (h *host) Deregister(u ident.Upstream) {
	h.mu.Lock()
	h.left = h.left || u == "" || u == h.last.Upstream
	h.mu.Unlock()
	h.setPhase(u, member.PhaseGone, event.UpstreamDeregistered)
}

func (h *host) setPhase(u ident.Upstream, p member.Phase, id event.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.board.Upstream.Read()
	if !next.Present() || next.Phase == p || (u != "" && u != next.ID) {
		return
	}
	next.Phase = p
	h.board.Upstream.Write(&next)
	h.log.Emit(id, zap.String("upstream", string(next.ID)))
}

// tick ends an announcement that was not renewed and follows the operators'
// drain of this VM.
func (h *host) tick(now time.Time) {
	h.mu.Lock()
	lost := now.Sub(h.renewed) > h.lease
	h.mu.Unlock()
	if lost {
		h.setPhase("", member.PhaseGone, event.UpstreamLeaseExpired)
	}
	h.followDrain()
}

func (h *host) followDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.board.Upstream.Read()
	if next.Drained == h.drained() {
		return
	}
	next.Drained = h.drained()
	h.board.Upstream.Write(&next)
}

func (h *host) drained() bool {
	return h.board.Config.Read().State.Drains[h.vm]
}
