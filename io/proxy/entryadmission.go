package proxy

import (
	"sync"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/io/event"

	"go.uber.org/zap"
)

// entryAdmission decides which calls this VM admits to the fleet, and reports to
// other VMs what the calls that run here cost at overloaded services.
type entryAdmission struct {
	opt      Options
	mu       sync.Mutex
	shedder  *inflow.Shedder
	profiles *inflow.Profiles
	// completion is used if the settings ask for it.
	completion *inflow.Completion
	// reporters holds the VM that last reported on each service, for the log.
	reporters map[ident.Service]ident.VM
}

// costInput is a cost that a refusal at the entry stands on.
type costInput struct {
	inflow.CostInput
	from ident.VM
}

func newEntryAdmission(opt Options) *entryAdmission {
	return &entryAdmission{
		opt: opt, shedder: inflow.NewShedder(), profiles: inflow.NewProfiles(), completion: inflow.NewCompletion(),
		reporters: map[ident.Service]ident.VM{},
	}
}

// admittedShare counts a new call and returns the share of such calls to admit.
func (e *entryAdmission) admittedShare(r ident.Route, priority ident.Priority) float64 {
	now := e.opt.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedder.RecordOffered(now, r, priority)
	return 1 - max(e.shedder.RefuseShare(now, r, priority), e.doomedShare(now, r))
}

// retryRatio returns the retries that a daemon may make for each first send to a service.
func (e *entryAdmission) retryRatio() float64 {
	calls := e.opt.Config().Calls
	if calls.RetryWindow == 0 {
		return calls.RetryRatio / retryLevels
	}
	return calls.RetryRatio
}

// doomedShare returns the share of a route's new calls to refuse because their trees can't
// end well. The mutex must be held.
func (e *entryAdmission) doomedShare(now time.Time, r ident.Route) float64 {
	if !e.opt.Config().Admission.LearnAcceptance {
		return 0
	}
	return e.completion.RefuseShare(now, r, e.retryRatio())
}

// recordAcceptances records the shares of their calls that services accept, as a VM
// returned them with a result. It returns the number of those that can't be right.
func (e *entryAdmission) recordAcceptances(r ident.Route, list []inflow.Acceptance) (ignored int) {
	if !e.opt.Config().Admission.LearnAcceptance {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completion.Observe(e.opt.Clock.Now(), r, list)
}

// acceptances returns the services that reject a share of the calls that a call of a route
// needs which runs on this VM, whose upstream accepts a share of them.
func (e *entryAdmission) acceptances(r ident.Route, accepted float64) []inflow.Acceptance {
	if !e.opt.Config().Admission.LearnAcceptance {
		return nil
	}
	service := e.opt.Board.Upstream.Read().Service
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.profiles.Acceptances(e.opt.Clock.Now(), r, service, accepted, e.completion)
}

// acceptanceInputs returns what the refusals of trees that can't end well stand on.
func (e *entryAdmission) acceptanceInputs(now time.Time, r ident.Route) []inflow.Acceptance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completion.Acceptances(now, r)
}

// recordCosts records the costs that a VM returned with a result.
func (e *entryAdmission) recordCosts(r ident.Route, from ident.VM, costs []inflow.ServiceCost) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range costs {
		e.reporters[c.Service] = from
	}
	e.shedder.Observe(e.opt.Clock.Now(), r, costs)
}

// inputs returns the costs that the refusals of a route stand on.
func (e *entryAdmission) inputs(now time.Time, r ident.Route) (out []costInput) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.shedder.Inputs(now, r) {
		out = append(out, costInput{c, e.reporters[c.Service]})
	}
	return out
}

func (e *entryAdmission) serviceRefuseShare(r ident.Route, svc ident.Service) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shedder.ServiceRefuseShare(e.opt.Clock.Now(), r, svc)
}

func (e *entryAdmission) recordRun(r ident.Route, holdTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.profiles.RecordRun(e.opt.Clock.Now(), r, holdTime)
}

func (e *entryAdmission) recordNestedCall(r, child ident.Route) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.profiles.RecordCall(e.opt.Clock.Now(), r, child)
}

// callsPerRun returns the mean number of nested calls of a run of a route on this VM.
func (e *entryAdmission) callsPerRun(r ident.Route) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.profiles.CallsPerRun(e.opt.Clock.Now(), r)
}

// selfTimeKnown reports whether the self time of a route's calls can be measured.
// Without a trace context, nested calls may be attributed to the wrong run.
func (e *entryAdmission) selfTimeKnown(r ident.Route) bool {
	if e.opt.Dialect.PropagateTrace {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.profiles.MakesCalls(e.opt.Clock.Now(), r)
}

// serviceCosts returns what a call of a route that runs on this VM costs at overloaded
// services, nested calls included.
func (e *entryAdmission) serviceCosts(r ident.Route, refuseShare float64) []inflow.ServiceCost {
	service := e.opt.Board.Upstream.Read().Service
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.profiles.Costs(e.opt.Clock.Now(), r, service, refuseShare, e.shedder)
}

func (e *entryAdmission) status(now time.Time) []inflow.RouteStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shedder.Status(now)
}

// acceptanceStatus returns the routes whose trees use services that reject calls.
func (e *entryAdmission) acceptanceStatus(now time.Time) []inflow.RouteAcceptance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completion.Status(now, e.retryRatio())
}

// recordAcceptances records the shares of their calls that services accept, as a VM
// returned them with a result, and logs shares that can't be right.
func (p *Proxy) recordAcceptances(o *outboundCall, from ident.VM, list []inflow.Acceptance) {
	ignored := p.entryAdmission.recordAcceptances(o.call.Route, list)
	if ignored == 0 {
		return
	}
	p.opt.Trail.Note(event.AcceptanceUnreadable, o.subject().key("accepted"), func() []zap.Field {
		return append(o.subject().fields(), zap.String("from", string(from)), zap.Int("ignored", ignored), zap.Int("reported", len(list)))
	})
}

// refuseOverloaded returns the refusal of a call that is not admitted and the
// time after which the caller should retry.
func (p *Proxy) refuseOverloaded(in *incomingCall, left time.Duration) (*fault.Refusal, time.Duration) {
	refusal := fault.Refuse(fault.ReasonOverload, "route %s needs services that are full", in.route)
	return refusal, retryDelay(left, p.randomFloat())
}

const (
	// maxRetryDelayShare is the largest part of a caller's remaining time to wait
	// before the retry. The rest is left for the call itself.
	maxRetryDelayShare = 1.0 / 3
	minRetryDelay      = 100 * time.Millisecond
)

// retryDelay returns the time after which a refused caller should retry: a random
// time in the second half of the longest wait, so that callers do not retry in
// bursts. The number random is in [0, 1).
func retryDelay(left time.Duration, random float64) time.Duration {
	maxDelay := float64(left) * maxRetryDelayShare
	return max(minRetryDelay, time.Duration(maxDelay*(1+random)/2))
}

func (p *Proxy) randomFloat() float64 {
	p.rngMu.Lock()
	defer p.rngMu.Unlock()
	return p.rng.Float64()
}
