package proxy

import (
	"sync"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
)

// intake drives the decision on what enters the fleet at this VM, and what this
// VM tells others of the work that runs here.
type intake struct {
	opt      Options
	mu       sync.Mutex
	tree     *inflow.Shedder
	profiles *inflow.Profiles
}

func newIntake(opt Options) *intake {
	return &intake{opt: opt, tree: inflow.NewShedder(), profiles: inflow.NewProfiles()}
}

// share returns which part of the new calls of a route to let in.
func (i *intake) share(r ident.Route, s ident.Priority) float64 {
	now := i.opt.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tree.RecordOffered(now, r, s)
	return 1 - i.tree.RefuseShare(now, r, s)
}

// learn takes what an answer told of its tree.
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

// needs returns what a call of a route needs that is served on this VM.
func (i *intake) needs(r ident.Route, refuse float64) []inflow.ServiceCost {
	service := i.opt.Board.Upstream.Read().Service
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.profiles.Costs(i.opt.Clock.Now(), r, service, refuse, i.tree)
}

// refuseInflow says that a call does not enter, and when to come back.
func (p *Proxy) refuseInflow(in *admitted, left time.Duration) (*fault.Refusal, time.Duration) {
	refusal := fault.Refuse(fault.ReasonOverload, "route %s needs services that are full", in.route)
	return refusal, comeBack(left, p.draw())
}

const (
	// comeBackShare of the time that a caller has left may pass before it comes
	// back: the rest must do for the call.
	comeBackShare = 1.0 / 3
	comeBackLeast = 100 * time.Millisecond
)

// comeBack spreads the returns of refused callers over the second half of the
// time that they can wait, so that they do not come as a wave.
func comeBack(left time.Duration, draw float64) time.Duration {
	longest := float64(left) * comeBackShare
	return max(comeBackLeast, time.Duration(longest*(1+draw)/2))
}

func (p *Proxy) draw() float64 {
	p.rngMu.Lock()
	defer p.rngMu.Unlock()
	return p.rng.Float64()
}
