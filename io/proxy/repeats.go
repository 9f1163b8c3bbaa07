package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/retry"
	"chicorymast/io/header"
	"chicorymast/io/timer"
)

const (
	// attemptsPerVM, minRejections and maxRejections limit how often a call is sent again
	// that an upstream has rejected each time: by the number of VMs that may take it, but a
	// single VM that rejects a share of its calls is asked more often.
	attemptsPerVM = 2
	minRejections = 4
	maxRejections = 8
	// maxRejectionBackoff is the exponent of the longest backoff after a rejection. The
	// upstream has done no work for the call, so the backoff stays short.
	maxRejectionBackoff = 2
	// deniedWaits is how often a nested call asks again for a retry that was denied, each
	// time after minDeniedWait to maxDeniedWait: 80 ms at most, a fraction of a run.
	deniedWaits   = 4
	minDeniedWait = 5 * time.Millisecond
	maxDeniedWait = 20 * time.Millisecond
)

// newWindow returns the window of a service, nil if the settings ask for a throttle.
func (rt *router) newWindow(rng *rand.Rand) *retry.Window {
	calls := rt.opt.Config().Calls
	if calls.RetryWindow == 0 {
		return nil
	}
	w := retry.NewWindow(calls.RetryRatio, calls.RetryWindow, rt.started, rng)
	return &w
}

// limitsByWindow reports whether the retries to a service are limited by a window.
func (rt *router) limitsByWindow(name ident.Service) bool {
	return rt.opt.Config().Calls.RetryWindow > 0 && rt.service(name).window != nil
}

// retryCredit returns the retries to a service that this daemon may make now.
func (rt *router) retryCredit(name ident.Service) float64 {
	s := rt.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.window != nil && rt.opt.Config().Calls.RetryWindow > 0 {
		s.window.SetSlack(rt.ownSlack())
		return s.window.Credit(rt.opt.Clock.Now())
	}
	return s.throttle.Credit()
}

// ownSlack returns this daemon's share of the slack of the fleet.
func (rt *router) ownSlack() float64 {
	return rt.opt.Config().Calls.RetrySlack / float64(max(1, len(rt.opt.Board.Members.Read().Entries)))
}

// recordSend counts the first attempt of a call.
func (rt *router) recordSend(c header.Call) {
	if !rt.limitsByWindow(c.Service) {
		return
	}
	s := rt.service(c.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Repeat {
		s.window.RecordRepeat(rt.opt.Clock.Now())
		return
	}
	s.window.RecordFirst(rt.opt.Clock.Now())
}

// spendRetry uses one retry to a service and reports false if none is allowed. Worth is what
// it may save; see retry.Window.
func (rt *router) spendRetry(name ident.Service, worth float64) bool {
	s := rt.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.window == nil || rt.opt.Config().Calls.RetryWindow == 0 {
		return s.throttle.Spend()
	}
	s.window.SetSlack(rt.ownSlack())
	return s.window.Spend(rt.opt.Clock.Now(), worth)
}

// spendRetryLater is spendRetry for a retry that the window of the service denied before.
func (rt *router) spendRetryLater(name ident.Service, worth float64) bool {
	s := rt.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.SetSlack(rt.ownSlack())
	return s.window.SpendLater(rt.opt.Clock.Now(), worth)
}

// allBut returns the VMs of a service except some.
func (rt *router) allBut(name ident.Service, some []ident.VM) (others map[ident.VM]bool) {
	others = map[ident.VM]bool{}
	members := rt.opt.Board.Members.Read()
	for _, list := range [][]member.Entry{members.ByService[name], members.StoppingByService[name]} {
		for _, e := range list {
			others[e.VM] = !slices.Contains(some, e.VM)
		}
	}
	return others
}

// rejectionLimit returns how often a call may be rejected and sent again.
func (rt *router) rejectionLimit(name ident.Service) int {
	vms := len(rt.opt.Board.Members.Read().ByService[name])
	return min(max(attemptsPerVM*vms, minRejections), maxRejections)
}

// spendRetry uses one retry for a call and reports false if none is allowed.
func (p *Proxy) spendRetry(o *outboundCall) bool {
	ok := p.router.spendRetry(o.call.Service, p.retryWorth(o))
	if p.router.limitsByWindow(o.call.Service) {
		p.opt.Metrics.repeat(o.call.Service, ok)
	}
	return ok
}

// awaitRetry uses one retry for a rejected call. A nested call of a run that can still end
// well asks again for up to deniedWaits times: a retry is earned every few calls, but hardly
// any can be saved for it.
func (p *Proxy) awaitRetry(ctx context.Context, o *outboundCall) bool {
	ok := p.router.spendRetry(o.call.Service, p.retryWorth(o))
	for n := 0; !ok && n < deniedWaits; n++ {
		if o.served == nil || p.retryWorth(o) == 0 || !p.sleepRandom(ctx, minDeniedWait, maxDeniedWait) {
			break
		}
		ok = p.router.spendRetryLater(o.call.Service, p.retryWorth(o))
	}
	return ok
}

func (p *Proxy) sleepRandom(ctx context.Context, shortest, longest time.Duration) bool {
	return timer.Sleep(ctx, shortest+time.Duration(p.randomFloat()*float64(longest-shortest)))
}

const (
	// positionShare is the part of the worth that the position of a call in its tree makes
	// up; the rest orders the calls at the same position by the rank of their action, so
	// that the retries go to few trees and complete them.
	positionShare = 0.9
	maxRank       = 255
)

// retryWorth returns what a retry of a call may save, from 0 to 1: the later the call, the
// more its tree has spent. A run of which another call has failed can't be saved.
func (p *Proxy) retryWorth(o *outboundCall) float64 {
	position := 0.0
	if parent := o.served; parent != nil {
		finished, failed := parent.nestedCalls()
		if failed {
			return 0
		}
		above := 1 - 1/float64(max(1, parent.call.Depth)+1)
		expected := p.entryAdmission.callsPerRun(parent.call.Route)
		position = above + (1-above)*float64(finished)/max(expected, float64(finished+1))
	}
	return positionShare*position + (1-positionShare)*float64(maxRank-o.call.Rank)/maxRank
}
