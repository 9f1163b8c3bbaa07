package proxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/retry"
	"chicorymast/core/route"
)

const (
	// retryDepth is the number of levels of a call tree that may retry. The
	// retries of all levels add up at the last one, so each level gets this
	// fraction of the retry ratio.
	retryDepth = 4
	// retriesLeast is the smallest limit of a daemon's saved retries.
	retriesLeast = 1
)

// fleet holds a balancer and a retry ratio for each service called.
type fleet struct {
	opt      Options
	mu       sync.Mutex
	rng      *rand.Rand
	services map[ident.Service]*serviceState
	splits   map[ident.Route]*route.Split
}

type serviceState struct {
	mu       sync.Mutex
	balancer *route.Balancer
	ratio    retry.Throttle
	members  *board.Members
	config   *board.Config
}

func newFleet(opt Options, rng *rand.Rand) *fleet {
	return &fleet{opt: opt, rng: rng, services: map[ident.Service]*serviceState{}, splits: map[ident.Route]*route.Split{}}
}

// share chooses the service for the next call of a route by weight.
func (f *fleet) share(name ident.Route, parts []intent.SplitPart) ident.Service {
	if len(parts) == 1 {
		return parts[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.splits[name]
	if s == nil {
		s = route.NewSplit(f.rng)
		f.splits[name] = s
	}
	return s.Next(parts)
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
			ratio:    f.ratio(),
		}
		f.services[name] = s
	}
	return s
}

// ratio returns a retry ratio with this daemon's fraction of the retries that
// the fleet may make.
func (f *fleet) ratio() retry.Throttle {
	calls := f.opt.Config().Calls
	daemons := max(1, len(f.opt.Board.Members.Read().Entries))
	saved := max(retriesLeast, float64(calls.RetrySlack)/float64(daemons))
	return retry.NewThrottle(calls.RetryRatio/retryDepth, saved)
}

func (f *fleet) pick(name ident.Service, lane int, tried map[ident.VM]bool) (route.Candidate, bool) {
	s := f.service(name)
	now := f.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, f.opt.Board, name)
	return s.balancer.Pick(now, lane, tried)
}

// refresh updates the balancer if the members or the configuration on the board
// have changed. VMs whose daemons are stopping are used if there are no others.
func (s *serviceState) refresh(now time.Time, b *board.Board, name ident.Service) {
	members, config := b.Members.Read(), b.Config.Read()
	if members == s.members && config == s.config {
		return
	}
	s.members, s.config = members, config
	candidates := undrained(members.ByService[name], config)
	if len(candidates) == 0 {
		candidates = undrained(members.StoppingByService[name], config)
	}
	s.balancer.Update(now, candidates)
}

// undrained returns the entries as candidates, without VMs drained by operators.
func undrained(entries []member.Entry, config *board.Config) (candidates []route.Candidate) {
	for _, e := range entries {
		if config.State.Drains[e.VM] {
			continue
		}
		candidates = append(candidates, route.Candidate{
			VM: e.VM, DataCentre: e.DataCentre, Address: e.Addresses.Peer, Slots: e.Upstream.Slots,
		})
	}
	return candidates
}

func (f *fleet) done(name ident.Service, vm ident.VM, r route.Report) {
	s := f.service(name)
	now := f.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, vm, r)
	if r.Outcome == route.OutcomeAnswered {
		s.ratio.RecordSuccess()
	}
}

func (f *fleet) mayRetry(name ident.Service) bool {
	s := f.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ratio.Spend()
}
