package proxy

import (
	"math/rand/v2"
	"slices"

	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/retry"
	"chicorymast/io/header"
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
	return rt.service(name).window != nil
}

// retryCredit returns the retries to a service that this daemon may make now.
func (rt *router) retryCredit(name ident.Service) float64 {
	s := rt.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.window != nil {
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
	s := rt.service(c.Service)
	if s.window == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Repeat {
		s.window.RecordRepeat(rt.opt.Clock.Now())
		return
	}
	s.window.RecordFirst(rt.opt.Clock.Now())
}

// spendRetry uses one retry to a service and reports false if none is allowed. Progress is
// the part of the call tree that is done.
func (rt *router) spendRetry(name ident.Service, progress float64) bool {
	s := rt.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.window == nil {
		return s.throttle.Spend()
	}
	s.window.SetSlack(rt.ownSlack())
	ok := s.window.Spend(rt.opt.Clock.Now(), progress)
	rt.opt.Metrics.repeat(name, ok)
	return ok
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

// progress returns the part of the call tree that is done before a call: what the calls
// above it have spent, and the nested calls that its run has already made.
func (p *Proxy) progress(parent *servedCall) float64 {
	if parent == nil {
		return 0
	}
	above := 1 - 1/float64(max(1, parent.call.Depth)+1)
	expected := p.entryAdmission.callsPerRun(parent.call.Route)
	done := float64(parent.finishedCalls())
	return above + (1-above)*done/max(expected, done+1)
}
