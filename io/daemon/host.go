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

// upstreamLease is how long an announcement lives without renewal.
const upstreamLease = 3 * time.Second

// host is the controller of the board's section Served.
type host struct {
	vm    ident.VM
	clock timer.Clock
	board *board.Board
	log   *event.Log

	mu      sync.Mutex
	renewed time.Time
}

// Announce takes or renews the upstream's announcement.
func (h *host) Announce(a proxy.Announcement) (lease time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed = h.clock.Now()
	have := h.board.Served.Read()
	next := board.Served{
		Served:     member.Served{Service: a.Service, Upstream: a.Upstream, Slots: a.Slots, Phase: member.PhaseUp},
		Address:    a.Address,
		HealthPath: a.HealthPath,
		LoadPath:   a.LoadPath,
		Drained:    h.drained(),
	}
	// A renewal does not end a drain; only a new upstream does.
	if have.Upstream == a.Upstream && have.Phase == member.PhaseDraining {
		next.Phase = member.PhaseDraining
	}
	if *have != next {
		h.board.Served.Write(&next)
		h.log.Emit(event.UpstreamAnnounced, zap.String("service", string(a.Service)), zap.String("upstream", string(a.Upstream)))
	}
	return upstreamLease, nil
}

// Drain keeps new work away.
func (h *host) Drain() {
	h.setPhase(member.PhaseDraining, event.UpstreamDraining)
}

// Leave ends the announcement.
func (h *host) Leave() {
	h.setPhase(member.PhaseGone, event.UpstreamLeft)
}

func (h *host) setPhase(p member.Phase, id event.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.board.Served.Read()
	if !next.Present() || next.Phase == p {
		return
	}
	next.Phase = p
	h.board.Served.Write(&next)
	h.log.Emit(id, zap.String("upstream", string(next.Upstream)))
}

// tick ends an announcement that was not renewed and follows the operators'
// drain of this VM.
func (h *host) tick(now time.Time) {
	h.mu.Lock()
	lost := now.Sub(h.renewed) > upstreamLease
	h.mu.Unlock()
	if lost {
		h.setPhase(member.PhaseGone, event.UpstreamLost)
	}
	h.followDrain()
}

func (h *host) followDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.board.Served.Read()
	if next.Drained == h.drained() {
		return
	}
	next.Drained = h.drained()
	h.board.Served.Write(&next)
}

func (h *host) drained() bool {
	return h.board.Config.Read().State.Drains[h.vm]
}
