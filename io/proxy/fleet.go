package proxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/retry"
	"chicorymast/core/route"
)

// Retries towards one service, as a share of its successes.
const (
	retriesPerSuccess = 0.1
	retriesSaved      = 10
)

// fleet keeps a balancer and a retry ratio for each service that is called.
type fleet struct {
	opt      Options
	mu       sync.Mutex
	rng      *rand.Rand
	services map[ident.Service]*serviceState
}

type serviceState struct {
	mu       sync.Mutex
	balancer *route.Balancer
	ratio    retry.Ratio
	members  *board.Members
	config   *board.Config
}

func newFleet(opt Options, rng *rand.Rand) *fleet {
	return &fleet{opt: opt, rng: rng, services: map[ident.Service]*serviceState{}}
}

func newDialer(timeout time.Duration) *net.Dialer {
	const keepAlive = 10 * time.Second
	return &net.Dialer{Timeout: timeout, KeepAlive: keepAlive}
}

func (f *fleet) service(name ident.Service) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))
		s = &serviceState{
			balancer: route.New(f.opt.Config().Daemon.DataCentre, rng),
			ratio:    retry.NewRatio(retriesPerSuccess, retriesSaved),
		}
		f.services[name] = s
	}
	return s
}

func (f *fleet) pick(name ident.Service, lane int, tried map[ident.VM]bool) (route.Candidate, bool) {
	s := f.service(name)
	now := f.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, f.opt.Board, name)
	return s.balancer.Pick(now, lane, tried)
}

// shedding reports whether the whole service refuses a lane at the moment.
func (f *fleet) shedding(name ident.Service, lane int) bool {
	s := f.service(name)
	now := f.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, f.opt.Board, name)
	return s.balancer.Shedding(now, lane)
}

// refresh takes over the members when the blackboard has new ones.
func (s *serviceState) refresh(now time.Time, b *board.Board, name ident.Service) {
	members, config := b.Members.Read(), b.Config.Read()
	if members == s.members && config == s.config {
		return
	}
	s.members, s.config = members, config
	var candidates []route.Candidate
	for _, e := range members.ByService[name] {
		if config.State.Drains[e.VM] {
			continue
		}
		candidates = append(candidates, route.Candidate{
			VM: e.VM, DataCentre: e.DataCentre, Address: e.Addresses.Peer, Slots: e.Served.Slots,
		})
	}
	s.balancer.Update(now, candidates)
}

func (f *fleet) done(name ident.Service, vm ident.VM, r route.Report) {
	s := f.service(name)
	now := f.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, vm, r)
	if r.Outcome == route.OutcomeAnswered {
		s.ratio.Succeeded()
	}
}

func (f *fleet) mayRetry(name ident.Service) bool {
	s := f.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ratio.Spend()
}
