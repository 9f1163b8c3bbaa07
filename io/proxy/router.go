package proxy

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/place"
	"chicorymast/core/retry"
	"chicorymast/core/route"
)

const (
	// retryLevels is the number of levels of a call tree that may retry. The
	// retries of all levels add up at the last one, so each level gets only
	// 1/retryLevels of the retry ratio.
	retryLevels = 4
	// minSavedRetries is the smallest limit of a daemon's saved retries.
	minSavedRetries = 1
)

// router chooses services and VMs for calls. It holds a balancer and a retry
// throttle for each service called.
type router struct {
	opt      Options
	notices  *notices
	mu       sync.Mutex
	rng      *rand.Rand
	services map[ident.Service]*serviceState
	started  time.Time
	splits   map[ident.Route]*route.Split

	reachMu sync.Mutex
	reach   *route.Reach
	// suspected is set while reach knows anything against a data centre.
	suspected atomic.Bool
}

type serviceState struct {
	mu       sync.Mutex
	balancer *route.Balancer
	throttle retry.Throttle
	// window replaces the throttle if it is not nil.
	window  *retry.Window
	members *board.Members
	config  *board.Config
	// leaving is the number of processes that were known to leave.
	leaving uint64
	// rooms are the slots of the candidates by data centre.
	rooms []place.Room
}

func newRouter(opt Options, n *notices, rng *rand.Rand) *router {
	return &router{
		opt: opt, notices: n, rng: rng, services: map[ident.Service]*serviceState{}, splits: map[ident.Route]*route.Split{},
		reach: route.NewReach(opt.Config().Daemon.DataCentre), started: opt.Clock.Now(),
	}
}

// chooseService chooses the service for the next call of a route by weight.
func (rt *router) chooseService(name ident.Route, parts []intent.SplitPart) ident.Service {
	if len(parts) == 1 {
		return parts[0].Service
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	s := rt.splits[name]
	if s == nil {
		s = route.NewSplit(rt.rng)
		rt.splits[name] = s
	}
	return s.Next(parts)
}

func newDialer(timeout time.Duration) *net.Dialer {
	const keepAlive = 10 * time.Second
	return &net.Dialer{Timeout: timeout, KeepAlive: keepAlive}
}

func (rt *router) service(name ident.Service) *serviceState {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	s := rt.services[name]
	if s == nil {
		rng := rand.New(rand.NewPCG(rt.rng.Uint64(), rt.rng.Uint64()))
		s = &serviceState{
			balancer: route.New(rt.opt.Config().Daemon.DataCentre, rng),
			throttle: rt.newThrottle(),
			window:   rt.newWindow(rng),
		}
		rt.services[name] = s
	}
	return s
}

// newThrottle returns a throttle that allows this daemon its fraction of the
// retries that the fleet may make.
func (rt *router) newThrottle() retry.Throttle {
	calls := rt.opt.Config().Calls
	daemons := max(1, len(rt.opt.Board.Members.Read().Entries))
	limit := max(minSavedRetries, calls.RetrySlack/float64(daemons))
	return retry.NewThrottle(calls.RetryRatio/retryLevels, limit)
}

func (rt *router) pick(name ident.Service, level int, tried map[ident.VM]bool, preferred ident.DataCentre) (route.Candidate, route.Spill, bool) {
	s := rt.service(name)
	now := rt.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, rt.opt.Board, rt.notices, name)
	vm, ok := s.balancer.PickIn(now, level, tried, rt.blocked(now), preferred)
	if ok {
		rt.startProbe(now, vm.DataCentre)
	}
	return vm, s.balancer.LastSpill(), ok
}

// roomElsewhere reports whether calls that are too many for a VM can go to another.
func (rt *router) roomElsewhere(name ident.Service, level int, vm ident.VM) bool {
	s := rt.service(name)
	now := rt.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RoomElsewhere(now, level, vm)
}

// blocked returns the data centres that can't be reached at present.
func (rt *router) blocked(now time.Time) map[ident.DataCentre]bool {
	if !rt.suspected.Load() || rt.opt.Config().Daemon.Mode == config.ModePassThrough {
		return nil
	}
	rt.reachMu.Lock()
	defer rt.reachMu.Unlock()
	return rt.reach.Blocked(now)
}

func (rt *router) startProbe(now time.Time, dc ident.DataCentre) {
	if !rt.suspected.Load() {
		return
	}
	rt.reachMu.Lock()
	defer rt.reachMu.Unlock()
	rt.reach.StartProbe(now, dc)
}

// recordSilent records that a VM has sent nothing for suspectTime. It reports whether
// its data centre is avoided because of it.
func (rt *router) recordSilent(vm route.Candidate) (blocked bool) {
	rt.reachMu.Lock()
	defer rt.reachMu.Unlock()
	rt.suspected.Store(true)
	return rt.reach.Silent(rt.opt.Clock.Now(), vm.DataCentre, vm.VM)
}

// recordAlive records a sign of life from a data centre.
func (rt *router) recordAlive(dc ident.DataCentre) {
	if !rt.suspected.Load() {
		return
	}
	rt.reachMu.Lock()
	defer rt.reachMu.Unlock()
	rt.reach.Answered(dc)
	rt.suspected.Store(rt.reach.Suspects())
}

// status returns the state of the VMs of a service, for the log.
func (rt *router) status(name ident.Service) []route.Status {
	s := rt.service(name)
	now := rt.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Status(now)
}

// refresh updates the balancer if the members or the configuration on the board have
// changed, or another process is known to leave. VMs whose daemons are stopping are used
// if there are no others.
func (s *serviceState) refresh(now time.Time, b *board.Board, n *notices, name ident.Service) {
	members, config, leaving := b.Members.Read(), b.Config.Read(), n.leavingCount()
	if members == s.members && config == s.config && leaving == s.leaving {
		return
	}
	s.members, s.config, s.leaving = members, config, leaving
	candidates := staying(now, n, undrainedCandidates(members.ByService[name], config))
	if len(candidates) == 0 {
		candidates = staying(now, n, undrainedCandidates(members.StoppingByService[name], config))
	}
	s.rooms = roomsOf(candidates)
	s.balancer.Update(now, candidates)
}

// staying returns the candidates whose upstreams have not said that they leave. The list
// of VMs may not show it yet, or again not after a restart of the daemon there.
func staying(now time.Time, n *notices, candidates []route.Candidate) []route.Candidate {
	return slices.DeleteFunc(candidates, func(c route.Candidate) bool { return n.of(now, c.Process).Leaving })
}

// undrainedCandidates returns the entries as candidates, without VMs that
// operators drain and without those in data centres that they evacuate.
func undrainedCandidates(entries []member.Entry, config *board.Config) (candidates []route.Candidate) {
	for _, e := range entries {
		if !config.State.TakesCalls(e.VM, e.DataCentre) {
			continue
		}
		candidates = append(candidates, route.Candidate{
			VM: e.VM, DataCentre: e.DataCentre, Address: e.Addresses.Peer, Slots: e.Upstream.Slots, Process: e.Upstream.Process(),
		})
	}
	return candidates
}

// reportOutcome passes the outcome of a call to the balancer. It returns for how long
// the VM was ejected because of it, zero if it was not.
func (rt *router) reportOutcome(name ident.Service, vm ident.VM, r route.Report) (ejected time.Duration) {
	s := rt.service(name)
	now := rt.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Outcome == route.OutcomeAnswered {
		s.throttle.RecordSuccess()
	}
	return s.balancer.Done(now, vm, r)
}
