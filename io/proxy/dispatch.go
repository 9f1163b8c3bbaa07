package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/core/poison"
	"chicorymast/core/retry"
	"chicorymast/core/route"
	"chicorymast/io/header"
	"chicorymast/io/timer"
	"chicorymast/io/trace"
)

// outboundCall is a call to be dispatched to the daemon on the VM of an upstream.
type outboundCall struct {
	call header.Call
	// parent is the action id of the call that an upstream makes this one for.
	parent ident.ActionID
	// attempts counts how often the call was sent.
	attempts int
	method   string
	url      *url.URL
	header   http.Header
	body     *payload
	// fingerprint identifies the content, to recognise requests that crash upstreams.
	fingerprint poison.Fingerprint
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

// dispatchState is the state of a dispatch over all of its attempts.
type dispatchState struct {
	budget retry.Budget
	tried  map[ident.VM]bool
	// maybeRan is set if the call may have run in an earlier attempt.
	maybeRan    bool
	lastRefusal *fault.Refusal
}

func newDispatchState(o *outboundCall) *dispatchState {
	return &dispatchState{
		budget:      retry.NewBudget(o.call.Retries),
		tried:       map[ident.VM]bool{},
		lastRefusal: fault.Refuse(fault.ReasonNoUpstream, "no upstream of service %s takes the call", o.call.Service),
	}
}

// addAttempt records the result of an attempt at a VM.
func (d *dispatchState) addAttempt(vm ident.VM, lent int, a attempt) {
	d.budget.Settle(lent, a.unspentRetries)
	d.tried[vm] = true
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
	r := *d.lastRefusal
	r.NotRun = !d.maybeRan
	return nil, retryOutcome{d.budget.Remaining(), nestedFailure}, &r
}

// dispatch sends a call to a VM that serves it and retries it on other VMs as
// far as that is safe and the retry budget allows.
func (p *Proxy) dispatch(ctx context.Context, o *outboundCall) (*response, retryOutcome, *fault.Refusal) {
	d := newDispatchState(o)
	if r := p.suspects.refuse(p.opt.Clock.Now(), o.fingerprint); r != nil && !p.passThrough() {
		return nil, retryOutcome{unspentRetries: d.budget.Remaining()}, r
	}
	for n := 0; ; n++ {
		vm, spill, ok := p.pick(o.call, d.tried)
		if !ok {
			return d.finalRefusal(false)
		}
		p.noteSpill(o, vm, spill)
		o.attempts++
		lent := d.budget.Lend()
		sent := p.opt.Clock.Now()
		a := p.sendOnce(ctx, o, vm, lent)
		d.addAttempt(vm.VM, lent, a)
		decision := retryFinalResponse
		if a.response == nil || retryableResponse(o, a) {
			decision = p.decideRetry(ctx, o, a, &d.budget, n)
		}
		p.noteAttempt(ctx, o, vm, a, sent, d.budget.Remaining(), decision)
		if decision == retryAgain && p.waitBeforeRetry(ctx, a, n) {
			a.discard()
			p.opt.Metrics.retries.Inc()
			continue
		}
		if a.response != nil {
			return a.response, retryOutcome{d.budget.Remaining(), a.nestedFailure}, nil
		}
		return d.finalRefusal(a.nestedFailure)
	}
}

// pick chooses a VM that has not been tried, or any VM in pass-through mode once
// all have been tried.
func (p *Proxy) pick(c header.Call, tried map[ident.VM]bool) (route.Candidate, route.Spill, bool) {
	level := admissionLevel(c)
	vm, spill, ok := p.router.pick(c.Service, level, tried)
	if !ok && len(tried) > 0 && p.passThrough() {
		return p.router.pick(c.Service, level, nil)
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
func (p *Proxy) decideRetry(ctx context.Context, o *outboundCall, a attempt, budget *retry.Budget, n int) retryDecision {
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
	if d := refusalRetryDecision(o, a.refusal); d != retryAgain {
		return d
	}
	if r := p.suspects.refuse(p.opt.Clock.Now(), o.fingerprint); r != nil {
		timer.Sleep(ctx, suspectRefusalDelay)
		return retryCrashSuspect
	}
	switch {
	case a.refusedByAdmission() && n < freeRetries:
		return retryAgain // the call did not reach an upstream, so the retry needs no budget
	case !budget.Spend():
		return retryActionBudget
	case !p.router.spendRetry(o.call.Service):
		return retryServiceBudget
	}
	return retryAgain
}

// waitBeforeRetry waits for the backoff after attempt n, unless the attempt put no
// load on an upstream. It reports false if ctx ended first.
func (p *Proxy) waitBeforeRetry(ctx context.Context, a attempt, n int) bool {
	if p.passThrough() || (a.refusedByAdmission() && n < freeRetries) {
		return true
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
	case fault.ReasonCancelled, fault.ReasonDeadline, fault.ReasonBodyTooLarge, fault.ReasonBadRequest:
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

// sendOnce sends the call to one VM and reports the outcome to the balancer.
func (p *Proxy) sendOnce(ctx context.Context, o *outboundCall, vm route.Candidate, lent int) attempt {
	attemptCtx, watchdog, stop := withWatchdog(ctx,
		func() { p.noteSilent(o, vm, p.router.recordSilent(vm)) }, func() { p.router.recordAlive(vm.DataCentre) })
	req := p.peerRequest(attemptCtx, o, vm, lent, watchdog)
	resp, err := p.peerTransport.RoundTrip(req)
	watchdog.disarm()
	if err != nil {
		defer stop()
		r := transportRefusal(ctx, attemptError(attemptCtx, err), watchdog.wroteHeaders.Load(), o)
		p.reportVM(o, vm, r, route.Report{Outcome: connectionOutcome(err, r, watchdog)})
		return attempt{refusal: r}
	}
	p.router.recordAlive(vm.DataCentre)
	result, ok := header.GetResult(resp.Header)
	if !ok {
		defer stop()
		discardBody(resp)
		r := fault.Failed(fault.ReasonUpstreamFailed, "VM %s did not answer as a daemon", vm.VM)
		p.reportOutcome(o, vm, r, nil)
		return attempt{refusal: r}
	}
	p.notices.learn(p.opt.Clock.Now(), vm, result)
	p.entryAdmission.recordCosts(o.call.Route, vm.VM, p.serviceCosts(o.call, vm.VM, result))
	if result.Reason != "" {
		defer stop()
		discardBody(resp)
		if result.Reason == fault.ReasonUpstreamCrashed && !result.NestedFailure {
			p.suspects.recordCrash(p.opt.Clock.Now(), o.fingerprint)
		}
		r := &fault.Refusal{Reason: result.Reason, Detail: result.Detail, NotRun: result.NotRun}
		p.reportOutcome(o, vm, r, &result.Load)
		return attempt{refusal: r, nestedFailure: result.NestedFailure, unspentRetries: result.UnspentRetries}
	}
	p.suspects.recordResponse(p.opt.Clock.Now(), o.fingerprint)
	return p.receive(ctx, o, vm, resp, result, stop)
}

// serviceCosts returns the costs of a result that count at this daemon.
func (p *Proxy) serviceCosts(c header.Call, vm ident.VM, result header.Result) []inflow.ServiceCost {
	if result.Load.RateLimit == 0 || p.router.lacksRoom(c.Service, admissionLevel(c), vm) {
		return result.ServiceCosts
	}
	return inflow.WithoutService(result.ServiceCosts, c.Service)
}

// attemptError returns errPeerSilent if the watchdog cancelled the attempt, and
// err otherwise.
func attemptError(ctx context.Context, err error) error {
	if c := context.Cause(ctx); errors.Is(c, errPeerSilent) {
		return c
	}
	return err
}

func (p *Proxy) peerRequest(ctx context.Context, o *outboundCall, vm route.Candidate, lent int, w *watchdog) *http.Request {
	target := *o.url
	target.Scheme, target.Host = "http", vm.Address
	req := &http.Request{Method: o.method, URL: &target, Header: o.header.Clone(), Host: o.header.Get("Host")}
	call := o.call
	call.Retries = lent
	call.ServiceRefuseShare = p.entryAdmission.serviceRefuseShare(call.Route, call.Service)
	call.TimeoutMs = remaining(ctx, p.opt.Clock.Now()).Milliseconds()
	call.RoomElsewhere = !p.router.lacksRoom(call.Service, admissionLevel(call), vm.VM)
	call.Told = p.notices.told(p.opt.Clock.Now(), vm.Process)
	header.LowerIdempotencyKey(req.Header)
	header.SetCall(req.Header, call)
	if p.opt.Dialect.PropagateTrace {
		trace.Inject(ctx, req.Header, "")
	}
	o.body.attach(req)
	w.watchRequestBody(req)
	if !o.body.complete {
		req.Header.Set("Expect", "100-continue")
	}
	return req.WithContext(ctx)
}

func remaining(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return max(0, deadline.Sub(now))
}

// transportRefusal converts an error of RoundTrip to a peer. Only a request of
// which nothing was written is known not to have run.
func transportRefusal(ctx context.Context, err error, wroteHeaders bool, o *outboundCall) *fault.Refusal {
	r := fault.Failed(fault.ReasonUpstreamFailed, "%v", err)
	switch {
	case o.body.overLimit.Load():
		r = fault.Failed(fault.ReasonBodyTooLarge, "the body is above the limit of the route")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r = fault.Failed(fault.ReasonDeadline, "the time was up")
	case ctx.Err() != nil:
		r = fault.Failed(fault.ReasonCancelled, "the caller left")
	}
	r.NotRun = !wroteHeaders
	return r
}

// receive reads the response of a peer. A small body is read completely before
// any of it is passed on, so that the attempt can still fail; a larger one is
// streamed.
func (p *Proxy) receive(ctx context.Context, o *outboundCall, vm route.Candidate, resp *http.Response, result header.Result, stop func()) attempt {
	received := &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	if result.NotRun {
		received.header.Set(header.NotRun, "true")
	}
	limit := p.bufferLimit(o, resp.ContentLength)
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		defer stop()
		_ = resp.Body.Close()
		r := incompleteRefusal(ctx, err)
		p.reportOutcome(o, vm, r, &result.Load)
		return attempt{refusal: r, unspentRetries: result.UnspentRetries}
	}
	success := attempt{response: received, nestedFailure: result.NestedFailure, unspentRetries: result.UnspentRetries}
	if len(prefix) <= limit {
		defer stop()
		_ = resp.Body.Close()
		received.body = prefix
		received.length = int64(len(prefix))
		p.reportOutcome(o, vm, nil, &result.Load)
		return success
	}
	received.stream = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(prefix), resp.Body), resp.Body}
	received.finish = func(err error) {
		defer stop()
		if err != nil {
			p.reportOutcome(o, vm, incompleteRefusal(ctx, err), &result.Load)
			return
		}
		p.reportOutcome(o, vm, nil, &result.Load)
	}
	return success
}

// bufferLimit returns the number of bytes of a response body to buffer before it
// is streamed: as many as the record of an action may store, or the whole body
// if its declared length is small.
func (p *Proxy) bufferLimit(o *outboundCall, length int64) int {
	calls := p.opt.Config().Calls
	if !o.call.Idempotent {
		return calls.AnswerLimit
	}
	if length >= 0 && length <= int64(calls.ReplayLimit) {
		return calls.ReplayLimit
	}
	return 0
}

func incompleteRefusal(ctx context.Context, err error) *fault.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Failed(fault.ReasonDeadline, "the time was up in the middle of the answer")
	case ctx.Err() != nil:
		return fault.Failed(fault.ReasonCancelled, "the caller left in the middle of the answer")
	}
	return fault.Failed(fault.ReasonAnswerIncomplete, "the answer was cut short: %v", err)
}

func discardBody(resp *http.Response) {
	const maxBytes = 16 << 10
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBytes))
	_ = resp.Body.Close()
}

// reportOutcome passes the outcome of an attempt to the balancer.
func (p *Proxy) reportOutcome(o *outboundCall, vm route.Candidate, r *fault.Refusal, load *admit.Load) {
	outcome := route.OutcomeAnswered
	if r != nil {
		outcome = vmOutcome(r)
	}
	p.reportVM(o, vm, r, route.Report{Outcome: outcome, Load: load})
}

func (p *Proxy) reportVM(o *outboundCall, vm route.Candidate, r *fault.Refusal, report route.Report) {
	ejected := p.router.reportOutcome(o.call.Service, vm.VM, report)
	p.noteEjected(o, vm.VM, r, ejected)
}

// connectionOutcome classifies an attempt without a response by what it says of the
// VM's health. A silent VM has failed whatever ended the attempt: a caller's timeout may
// be shorter than that of the watchdog.
func connectionOutcome(err error, r *fault.Refusal, w *watchdog) route.Outcome {
	switch {
	case w.silent.Load():
		return route.OutcomeFailed
	case fault.TooManyFiles(err):
		return route.OutcomeRefused // this daemon's own fault
	}
	return vmOutcome(r)
}

// vmOutcome classifies a refusal by what it says of the VM's health.
func vmOutcome(r *fault.Refusal) route.Outcome {
	switch r.Reason {
	case fault.ReasonUpstreamFailed, fault.ReasonUpstreamCrashed, fault.ReasonAnswerIncomplete:
		return route.OutcomeFailed
	}
	return route.OutcomeRefused
}
