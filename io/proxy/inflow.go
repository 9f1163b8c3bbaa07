package proxy

import (
	"sync"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
)

// intake decides which calls this VM admits to the fleet, and reports to other
// VMs what the calls that run here need of overloaded services.
type intake struct {
	opt      Options
	mu       sync.Mutex
	tree     *inflow.Shedder
	profiles *inflow.Profiles
}

func newIntake(opt Options) *intake {
	return &intake{opt: opt, tree: inflow.NewShedder(), profiles: inflow.NewProfiles()}
}

// share counts a new call and returns the share of such calls to admit.
func (i *intake) share(r ident.Route, s ident.Priority) float64 {
	now := i.opt.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tree.RecordOffered(now, r, s)
	return 1 - i.tree.RefuseShare(now, r, s)
}

// learn records the needs that were returned with a result.
func (i *intake) learn(r ident.Route, needs []inflow.ServiceCost) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tree.Observe(i.opt.Clock.Now(), r, needs)
}

func (i *intake) ran(r ident.Route, held time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.profiles.RecordRun(i.opt.Clock.Now(), r, held)
}

func (i *intake) called(r, child ident.Route) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.profiles.RecordCall(i.opt.Clock.Now(), r, child)
}

// needs returns what a call of a route that runs on this VM needs of overloaded
// services, nested calls included.
func (i *intake) needs(r ident.Route, refuse float64) []inflow.ServiceCost {
	service := i.opt.Board.Upstream.Read().Service
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.profiles.Costs(i.opt.Clock.Now(), r, service, refuse, i.tree)
}

// refuseInflow returns the refusal of a call that is not admitted and the time
// after which the caller should retry.
func (p *Proxy) refuseInflow(in *admitted, left time.Duration) (*fault.Refusal, time.Duration) {
	refusal := fault.Refuse(fault.ReasonOverload, "route %s needs services that are full", in.route)
	return refusal, comeBack(left, p.draw())
}

const (
	// comeBackShare is the largest part of a caller's remaining time to wait
	// before the retry. The rest is left for the call itself.
	comeBackShare = 1.0 / 3
	comeBackLeast = 100 * time.Millisecond
)

// comeBack returns the time after which a refused caller should retry: a random
// time in the second half of the longest wait, so that callers do not retry in
// bursts. The random number draw is in [0, 1).
func comeBack(left time.Duration, draw float64) time.Duration {
	longest := float64(left) * comeBackShare
	return max(comeBackLeast, time.Duration(longest*(1+draw)/2))
}

func (p *Proxy) draw() float64 {
	p.rngMu.Lock()
	defer p.rngMu.Unlock()
	return p.rng.Float64()
}
