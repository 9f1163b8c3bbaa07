package proxy

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/place"
	"chicorymast/core/poison"
	"chicorymast/core/retry"
	"chicorymast/core/route"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"github.com/cespare/xxhash/v2"
)

// outboundCall is a call to be dispatched to the daemon on the VM of an upstream.
type outboundCall struct {
	call header.Call
	// parent is the action id of the call that an upstream makes this one for.
	parent ident.ActionID
	// attempts counts how often the call was sent; arrived is set if one of them may have
	// reached an upstream.
	attempts int
	arrived  bool
	// served is the call for whose run the upstream on this VM makes this one, if known.
	served *servedCall
	// vmLimit is the largest number of VMs that the call may reach, zero for any.
	vmLimit int
	method  string
	url     *url.URL
	host    string
	// header is sent with the first attempt; later ones get a copy, since net/http may
	// still be reading it.
	header http.Header
	body   *payload
	// fingerprint is that of contentFingerprint, empty until it is needed.
	fingerprint poison.Fingerprint
}

// contentFingerprint returns the fingerprint of the content, which is independent of the
// sender, to recognise requests that crash upstreams.
func (o *outboundCall) contentFingerprint() poison.Fingerprint {
	if o.fingerprint == "" {
		d := xxhash.New()
		_, _ = d.WriteString(o.method + " " + o.url.RequestURI() + "\n")
		_, _ = d.Write(o.body.buffered)
		o.fingerprint = poison.Fingerprint(strconv.FormatUint(d.Sum64(), 36))
	}
	return o.fingerprint
}

// response is the response of an upstream, with any status.
type response struct {
	status int
	header http.Header
	length int64
	// body holds the body if it was received completely.
	body []byte
	// stream reads the body if it is streamed; finish must then be called with
	// the error that ended the stream, or nil.
	stream io.ReadCloser
	finish func(error)
}

// attempt is the result of sending a call once: a response or a refusal.
type attempt struct {
	response *response
	refusal  *fault.Refusal
	// nestedFailure is set if a nested call failed; it has been retried there.
	nestedFailure  bool
	unspentRetries int
}

// retryOutcome is returned by dispatch for the retry budget of the parent call.
type retryOutcome struct {
	unspentRetries int
	nestedFailure  bool
}

const (
	// initialBackoff is the maximum delay before the first retry. It doubles
	// with each retry.
	initialBackoff = 5 * time.Millisecond
	// passThroughRetries is the number of retries in pass-through mode, on each hop.
	passThroughRetries = 3
	// suspectRefusalDelay delays the refusal of a request that crashes upstreams
	// until all daemons know of it, since its caller repeats it at once.
	suspectRefusalDelay = 800 * time.Millisecond
)

// isRepeat reports whether the next attempt is an arrival beyond the first one of its
// request.
func (o *outboundCall) isRepeat() bool {
	return o.call.Repeat || o.arrived
}

// dispatchState is the state of a dispatch over all of its attempts.
type dispatchState struct {
	service ident.Service
	budget  retry.Budget
	// tried holds the VMs at which the call has failed; nil for none.
	tried map[ident.VM]bool
	// maybeRan is set if the call may have run in an earlier attempt.
	maybeRan bool
	// lastRefusal is nil until an attempt was refused.
	lastRefusal *fault.Refusal
	// reached holds the VMs at which an attempt may have reached an upstream; the first is
	// stored in firstReached, which saves an allocation for each call.
	reached      []ident.VM
	firstReached [1]ident.VM
	lastVM       ident.VM
	// rejections counts the attempts that upstreams have rejected without running the call,
	// and rejectedBy holds their VMs, which may be tried again.
	rejections int
	rejectedBy []ident.VM
}

func newDispatchState(o *outboundCall) *dispatchState {
	d := &dispatchState{service: o.call.Service, budget: retry.NewBudget(o.call.Retries)}
	d.reached = d.firstReached[:0]
	return d
}

// addAttempt records the result of an attempt at a VM.
func (d *dispatchState) addAttempt(vm ident.VM, lent int, a attempt) {
	d.budget.Settle(lent, a.unspentRetries)
	if attemptReason(a) != "" {
		if d.tried == nil {
			d.tried = map[ident.VM]bool{}
		}
		d.tried[vm] = true
	}
	d.lastVM = vm
	if (a.refusal == nil || !a.refusal.NotRun) && !slices.Contains(d.reached, vm) {
		d.reached = append(d.reached, vm)
	}
	if a.refusal != nil {
		d.lastRefusal = a.refusal
		d.maybeRan = d.maybeRan || !a.refusal.NotRun
	}
	if a.response != nil && a.response.header.Get(header.NotRun) != "true" {
		d.maybeRan = true
	}
}

// finalRefusal returns the last refusal. Its NotRun is set only if the call is
// known not to have run in any attempt.
func (d *dispatchState) finalRefusal(nestedFailure bool) (*response, retryOutcome, *fault.Refusal) {
	if d.lastRefusal == nil {
		d.lastRefusal = fault.Refuse(fault.ReasonNoUpstream, "no upstream of service %s takes the call", d.service)
	}
	r := *d.lastRefusal
	r.NotRun = !d.maybeRan
	return nil, retryOutcome{d.budget.Remaining(), nestedFailure}, &r
}

// dispatch sends a call to a VM that serves it and retries it on other VMs as
// far as that is safe and the retry budget allows.
func (p *Proxy) dispatch(ctx context.Context, o *outboundCall) (*response, retryOutcome, *fault.Refusal) {
	d := newDispatchState(o)
	if r := p.refuseSuspect(o); r != nil && !p.passThrough() {
		return nil, retryOutcome{unspentRetries: d.budget.Remaining()}, r
	}
	for n := 0; ; n++ {
		preferred := p.placement.choose(o.call.Route, func() []place.Room { return p.router.rooms(o.call.Service) })
		vm, spill, ok := p.pickNext(o, d, preferred)
		if !ok {
			return d.finalRefusal(false)
		}
		p.noteSpill(o, vm, spill)
		p.notePlacement(o, vm, preferred, spill)
		if n == 0 && !p.passThrough() {
			p.router.recordSend(o.call)
		}
		o.attempts++
		lent := d.budget.Lend()
		sent := p.opt.Clock.Now()
		a := p.sendOnce(ctx, o, vm, lent)
		d.addAttempt(vm.VM, lent, a)
		decision := retryFinalResponse
		if a.response == nil || retryableResponse(o, a) {
			decision = p.decideRetry(ctx, o, a, d, n)
		}
		p.noteAttempt(ctx, o, vm, a, sent, d.budget.Remaining(), decision)
		if decision == retryAgain && p.waitBeforeRetry(ctx, a, d, n) {
			a.discard()
			p.opt.Metrics.retries.Inc()
			o.arrived = len(d.reached) > 0 && p.router.limitsByWindow(o.call.Service)
			continue
		}
		if a.response != nil {
			return a.response, retryOutcome{d.budget.Remaining(), a.nestedFailure}, nil
		}
		return d.finalRefusal(a.nestedFailure)
	}
}

// pickNext chooses the VM for the next attempt. Once all have been tried, or as many as the
// call may reach, those that have rejected it without running it are tried again.
func (p *Proxy) pickNext(o *outboundCall, d *dispatchState, preferred ident.DataCentre) (route.Candidate, route.Spill, bool) {
	if len(d.rejectedBy) > 0 && o.vmLimit > 0 && len(d.reached) >= o.vmLimit {
		return p.pick(o.call, p.router.allBut(o.call.Service, d.rejectedBy), preferred)
	}
	vm, spill, ok := p.pick(o.call, d.tried, preferred)
	if ok || len(d.rejectedBy) == 0 {
		return vm, spill, ok
	}
	for _, vm := range d.rejectedBy {
		delete(d.tried, vm)
	}
	d.rejectedBy = nil
	return p.pick(o.call, d.tried, preferred)
}

// pick chooses a VM that has not been tried, or any VM in pass-through mode once
// all have been tried. It looks in the preferred data centre first; empty stands for the
// own one.
func (p *Proxy) pick(c header.Call, tried map[ident.VM]bool, preferred ident.DataCentre) (route.Candidate, route.Spill, bool) {
	level := admissionLevel(c)
	vm, spill, ok := p.router.pick(c.Service, level, tried, preferred)
	if !ok && len(tried) > 0 && p.passThrough() {
		return p.router.pick(c.Service, level, nil, "")
	}
	return vm, spill, ok
}

func admissionLevel(c header.Call) int {
	return admit.PriorityLevel(c.Priority(), c.Nested || c.AdmittedShare < 1)
}

// retryableResponse reports whether the upstream's own response permits a retry
// on another VM.
func retryableResponse(o *outboundCall, a attempt) bool {
	switch a.response.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if o.call.Idempotent && !a.nestedFailure {
			return true
		}
	}
	return a.response.header.Get(header.NotRun) == "true" && !a.nestedFailure
}

// retryDecision states whether a failed call is sent again, and if not, why.
type retryDecision string

const (
	retryAgain         retryDecision = "sent_again"
	retryFinalResponse retryDecision = "response_is_final"
	retryTimeUp        retryDecision = "time_is_up"
	retryCallerLeft    retryDecision = "caller_left"
	retryNestedFailure retryDecision = "retried_deeper"
	retryBodyStreamed  retryDecision = "body_not_kept"
	retryMayHaveRun    retryDecision = "may_have_run"
	retryFinalReason   retryDecision = "reason_is_final"
	retryCrashSuspect  retryDecision = "crash_suspect"
	retryActionBudget  retryDecision = "action_has_no_retries_left"
	retryServiceBudget retryDecision = "service_has_no_retries_left"
	retryAttempts      retryDecision = "attempts_used_up"
)

// decideRetry decides whether to retry after attempt n and takes the retry from the
// budgets.
func (p *Proxy) decideRetry(ctx context.Context, o *outboundCall, a attempt, d *dispatchState, n int) retryDecision {
	switch {
	case ctx.Err() != nil:
		return contextRetryDecision(ctx)
	case !o.body.sendable():
		return retryBodyStreamed
	case p.passThrough() && n < passThroughRetries:
		return retryAgain
	case p.passThrough():
		return retryAttempts
	case a.nestedFailure:
		return retryNestedFailure
	}
	if decision := refusalRetryDecision(o, a.refusal); decision != retryAgain {
		return decision
	}
	if r := p.refuseSuspect(o); r != nil {
		timer.Sleep(ctx, suspectRefusalDelay)
		return retryCrashSuspect
	}
	switch {
	case a.refusedByAdmission() && n-d.rejections < freeRetries:
		return retryAgain // the call did not reach an upstream, so the retry needs no budget
	case p.provedNotRun(o, a, d):
		return p.decideRejected(ctx, o, d)
	case !d.budget.Spend():
		return retryActionBudget
	case !p.spendRetry(o):
		return retryServiceBudget
	}
	return retryAgain
}

// provedNotRun reports whether an upstream has proved that it has not run the call, and no
// other attempt may have run either, where the window of the service limits retries.
func (p *Proxy) provedNotRun(o *outboundCall, a attempt, d *dispatchState) bool {
	return a.response != nil && a.response.header.Get(header.NotRun) == "true" && !d.maybeRan && p.router.limitsByWindow(o.call.Service)
}

// decideRejected decides whether a call that has not run is sent again. The retries of its
// action bound runs, so it uses none of them.
func (p *Proxy) decideRejected(ctx context.Context, o *outboundCall, d *dispatchState) retryDecision {
	d.rejections++
	d.rejectedBy = append(d.rejectedBy, d.lastVM)
	if d.rejections > p.router.rejectionLimit(o.call.Service) {
		return retryAttempts
	}
	allowed := p.awaitRetry(ctx, o)
	p.opt.Metrics.repeat(o.call.Service, allowed)
	if !allowed {
		return retryServiceBudget
	}
	return retryAgain
}

// waitBeforeRetry waits for the backoff after attempt n, unless the attempt put no
// load on an upstream. It reports false if ctx ended first.
func (p *Proxy) waitBeforeRetry(ctx context.Context, a attempt, d *dispatchState, n int) bool {
	if p.passThrough() || (a.refusedByAdmission() && n-d.rejections < freeRetries) {
		return true
	}
	if d.rejections > 0 {
		return p.backoff(ctx, min(d.rejections-1, maxRejectionBackoff))
	}
	return p.backoff(ctx, n)
}

// freeRetries is the number of retries that need no budget after daemons have
// refused the call for their upstreams.
const freeRetries = 2

// refusedByAdmission reports whether the daemon on the upstream's VM refused the
// call. Such an attempt has put no load on an upstream.
func (a attempt) refusedByAdmission() bool {
	if a.refusal == nil || !a.refusal.NotRun || a.nestedFailure {
		return false
	}
	switch a.refusal.Reason {
	case fault.ReasonOverload, fault.ReasonDraining, fault.ReasonNoUpstream:
		return true
	}
	return false
}

// refusalRetryDecision returns retryAgain if a call with this refusal may be sent
// again; nil stands for a response that permits it.
func refusalRetryDecision(o *outboundCall, r *fault.Refusal) retryDecision {
	if r == nil {
		return retryAgain
	}
	switch r.Reason {
	case fault.ReasonCancelled, fault.ReasonDeadline, fault.ReasonBodyTooLarge, fault.ReasonBadRequest, fault.ReasonHeadersTooLarge:
		return retryFinalReason
	}
	if r.NotRun || o.call.Idempotent {
		return retryAgain
	}
	return retryMayHaveRun
}

func (p *Proxy) backoff(ctx context.Context, n int) bool {
	p.rngMu.Lock()
	wait := time.Duration(p.rng.Int64N(int64(initialBackoff << min(n, 4))))
	p.rngMu.Unlock()
	return timer.Sleep(ctx, wait)
}

func (a attempt) discard() {
	if a.response != nil && a.response.stream != nil {
		_ = a.response.stream.Close()
		a.response.finish(nil)
	}
}
