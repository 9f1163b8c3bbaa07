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
	"chicorymast/core/poison"
	"chicorymast/core/retry"
	"chicorymast/core/route"
	"chicorymast/io/header"
	"chicorymast/io/trace"
)

// outbound is a call to be dispatched to the daemon on the VM of an upstream.
type outbound struct {
	call   header.Call
	method string
	url    *url.URL
	header http.Header
	body   *payload
	// print identifies the content, to recognise requests that crash upstreams.
	print poison.Fingerprint
}

// answered is the response of an upstream, with any status.
type answered struct {
	status int
	header http.Header
	length int64
	// whole holds the body if it was received completely.
	whole []byte
	// rest reads the body if it is streamed; finish must then be called with
	// the error that ended the stream, or nil.
	rest   io.ReadCloser
	finish func(error)
}

// attempt is the result of sending a call once: a response or a refusal.
type attempt struct {
	answer  *answered
	refusal *fault.Refusal
	// deeper is set if a nested call failed; it has been retried there.
	deeper  bool
	unspent int
}

// settlement is returned by dispatch for the retry budget of the parent call.
type settlement struct {
	unspent int
	deeper  bool
}

const (
	// firstBackoff is the maximum delay before the first retry. It doubles with
	// each retry.
	firstBackoff = 5 * time.Millisecond
	// naiveRetries is the number of retries in pass-through mode, on each hop.
	naiveRetries = 3
	// suspectHold delays the refusal of a request that crashes upstreams until
	// all daemons know of it, since callers repeat a refused request at once
	// through any daemon.
	suspectHold = 800 * time.Millisecond
)

// journey is the state of a dispatch over all of its attempts.
type journey struct {
	budget retry.Budget
	tried  map[ident.VM]bool
	// maybeRan is set if the call may have run in an earlier attempt.
	maybeRan bool
	last     *fault.Refusal
}

func newJourney(o *outbound) *journey {
	return &journey{
		budget: retry.NewBudget(o.call.Retries),
		tried:  map[ident.VM]bool{},
		last:   fault.Refuse(fault.ReasonNoUpstream, "no upstream of service %s takes the call", o.call.Service),
	}
}

// note records the result of an attempt at a VM.
func (j *journey) note(vm ident.VM, lent int, a attempt) {
	j.budget.Settle(lent, a.unspent)
	j.tried[vm] = true
	if a.refusal != nil {
		j.last = a.refusal
		j.maybeRan = j.maybeRan || !a.refusal.NotRun
	}
	if a.answer != nil && a.answer.header.Get(header.NotRun) != "true" {
		j.maybeRan = true
	}
}

// refuse returns the last refusal. Its NotRun is set only if the call ran in
// none of the attempts.
func (j *journey) refuse(deeper bool) (*answered, settlement, *fault.Refusal) {
	r := *j.last
	r.NotRun = !j.maybeRan
	return nil, settlement{j.budget.Remaining(), deeper}, &r
}

// dispatch sends a call to a VM that serves it and retries it on other VMs as
// far as that is safe and the retry budget allows.
func (p *Proxy) dispatch(ctx context.Context, o *outbound) (*answered, settlement, *fault.Refusal) {
	j := newJourney(o)
	if r := p.suspects.refuse(p.opt.Clock.Now(), o.print); r != nil && !p.passThrough() {
		return nil, settlement{unspent: j.budget.Remaining()}, r
	}
	for n := 0; ; n++ {
		vm, ok := p.pick(o.call, j.tried)
		if !ok {
			return j.refuse(false)
		}
		lent := j.budget.Lend()
		a := p.try(ctx, o, vm, lent)
		j.note(vm.VM, lent, a)
		good := a.answer != nil && !retryStatus(o, a)
		if !good && p.again(ctx, o, a, &j.budget, n) {
			a.discard()
			p.opt.Metrics.retries.Inc()
			continue
		}
		if a.answer != nil {
			return a.answer, settlement{j.budget.Remaining(), a.deeper}, nil
		}
		return j.refuse(a.deeper)
	}
}

func (p *Proxy) pick(c header.Call, tried map[ident.VM]bool) (route.Candidate, bool) {
	lane := admit.PriorityLevel(c.Priority(), c.Nested || c.AdmittedShare < 1)
	vm, ok := p.fleet.pick(c.Service, lane, tried)
	if !ok && len(tried) > 0 && p.passThrough() {
		return p.fleet.pick(c.Service, lane, nil)
	}
	return vm, ok
}

// retryStatus reports whether the upstream's own response permits a retry on
// another VM.
func retryStatus(o *outbound, a attempt) bool {
	switch a.answer.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if o.call.Idempotent && !a.deeper {
			return true
		}
	}
	return a.answer.header.Get(header.NotRun) == "true" && !a.deeper
}

// again reports whether to retry after attempt n, and waits for the backoff.
func (p *Proxy) again(ctx context.Context, o *outbound, a attempt, budget *retry.Budget, n int) bool {
	if p.passThrough() {
		return n < naiveRetries && ctx.Err() == nil && o.body.sendable()
	}
	if ctx.Err() != nil || a.deeper || !o.body.sendable() {
		return false
	}
	if a.refusal != nil && !retryable(o, a.refusal) {
		return false
	}
	if r := p.suspects.refuse(p.opt.Clock.Now(), o.print); r != nil {
		pause(ctx, suspectHold)
		return false
	}
	if a.gateRefused() && n < gateTries {
		return true // the call did not reach an upstream, so the retry needs no budget
	}
	if !budget.Spend() || !p.fleet.mayRetry(o.call.Service) {
		return false
	}
	return p.backoff(ctx, n)
}

// gateTries is the number of retries that need no budget after daemons have
// refused the call for their upstreams.
const gateTries = 2

// gateRefused reports whether the daemon on the upstream's VM refused the call.
// Such an attempt has put no load on an upstream.
func (a attempt) gateRefused() bool {
	if a.refusal == nil || !a.refusal.NotRun || a.deeper {
		return false
	}
	switch a.refusal.Reason {
	case fault.ReasonOverload, fault.ReasonDraining, fault.ReasonNoUpstream:
		return true
	}
	return false
}

func retryable(o *outbound, r *fault.Refusal) bool {
	switch r.Reason {
	case fault.ReasonCancelled, fault.ReasonDeadline, fault.ReasonBodyTooLarge, fault.ReasonBadRequest:
		return false
	}
	return r.NotRun || o.call.Idempotent
}

func (p *Proxy) backoff(ctx context.Context, n int) bool {
	p.rngMu.Lock()
	wait := time.Duration(p.rng.Int64N(int64(firstBackoff << min(n, 4))))
	p.rngMu.Unlock()
	return pause(ctx, wait)
}

// pause waits for d. It reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a attempt) discard() {
	if a.answer != nil && a.answer.rest != nil {
		_ = a.answer.rest.Close()
		a.answer.finish(nil)
	}
}

// try sends the call once.
func (p *Proxy) try(ctx context.Context, o *outbound, vm route.Candidate, lent int) attempt {
	attemptCtx, watchdog, stop := watch(ctx)
	req := p.request(attemptCtx, o, vm, lent, watchdog)
	resp, err := p.peers.RoundTrip(req)
	watchdog.answered()
	if err != nil {
		defer stop()
		r := sendRefusal(ctx, cause(attemptCtx, err), watchdog.wrote.Load(), o)
		p.report(o, vm, r, nil)
		return attempt{refusal: r}
	}
	answer, ok := header.GetResult(resp.Header)
	if !ok {
		defer stop()
		drain(resp)
		r := fault.Failed(fault.ReasonUpstreamFailed, "VM %s did not answer as a daemon", vm.VM)
		p.report(o, vm, r, nil)
		return attempt{refusal: r}
	}
	p.intake.learn(o.call.Route, answer.Needs)
	if answer.Reason != "" {
		defer stop()
		drain(resp)
		if answer.Reason == fault.ReasonUpstreamCrashed && !answer.NestedFailure {
			p.suspects.crashed(p.opt.Clock.Now(), o.print)
		}
		r := &fault.Refusal{Reason: answer.Reason, Detail: answer.Detail, NotRun: answer.NotRun}
		p.report(o, vm, r, &answer.Load)
		return attempt{refusal: r, deeper: answer.NestedFailure, unspent: answer.UnspentRetries}
	}
	p.suspects.answered(p.opt.Clock.Now(), o.print)
	return p.receive(ctx, o, vm, resp, answer, stop)
}

// cause returns the reason for which the watchdog cancelled the attempt, or err
// if it did not.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); errors.Is(c, errSilent) {
		return c
	}
	return err
}

func (p *Proxy) request(ctx context.Context, o *outbound, vm route.Candidate, lent int, w *watchdog) *http.Request {
	target := *o.url
	target.Scheme, target.Host = "http", vm.Address
	req := &http.Request{Method: o.method, URL: &target, Header: o.header.Clone(), Host: o.header.Get("Host")}
	call := o.call
	call.Retries = lent
	call.TimeoutMs = remaining(ctx, p.opt.Clock.Now()).Milliseconds()
	header.LowerIdempotencyKey(req.Header)
	header.SetCall(req.Header, call)
	if p.opt.Dialect.PropagateTrace {
		trace.Inject(ctx, req.Header, "")
	}
	o.body.attach(req)
	w.follow(req)
	if !o.body.whole {
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

// sendRefusal converts an error of RoundTrip to a peer. Only a request of which
// nothing was written is known not to have run.
func sendRefusal(ctx context.Context, err error, wrote bool, o *outbound) *fault.Refusal {
	r := fault.Failed(fault.ReasonUpstreamFailed, "%v", err)
	switch {
	case o.body.over.Load():
		r = fault.Failed(fault.ReasonBodyTooLarge, "the body is above the limit of the route")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r = fault.Failed(fault.ReasonDeadline, "the time was up")
	case ctx.Err() != nil:
		r = fault.Failed(fault.ReasonCancelled, "the caller left")
	}
	r.NotRun = !wrote
	return r
}

// receive reads the response of a peer. A small body is read completely before
// any of it is passed on, so that the attempt can still fail; a larger one is
// streamed.
func (p *Proxy) receive(ctx context.Context, o *outbound, vm route.Candidate, resp *http.Response, a header.Result, stop func()) attempt {
	out := &answered{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	if a.NotRun {
		out.header.Set(header.NotRun, "true")
	}
	keep := p.keepLimit(o, resp.ContentLength)
	head, err := io.ReadAll(io.LimitReader(resp.Body, int64(keep)+1))
	if err != nil {
		defer stop()
		_ = resp.Body.Close()
		r := incomplete(ctx, err)
		p.report(o, vm, r, &a.Load)
		return attempt{refusal: r, unspent: a.UnspentRetries}
	}
	result := attempt{answer: out, deeper: a.NestedFailure, unspent: a.UnspentRetries}
	if len(head) <= keep {
		defer stop()
		_ = resp.Body.Close()
		out.whole = head
		out.length = int64(len(head))
		p.report(o, vm, nil, &a.Load)
		return result
	}
	out.rest = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), resp.Body), resp.Body}
	out.finish = func(err error) {
		defer stop()
		if err != nil {
			p.report(o, vm, incomplete(ctx, err), &a.Load)
			return
		}
		p.report(o, vm, nil, &a.Load)
	}
	return result
}

// keepLimit returns the number of bytes of a response body to buffer before it
// is streamed: as many as the record of an action may store, or the whole body
// if its declared length is small.
func (p *Proxy) keepLimit(o *outbound, length int64) int {
	calls := p.opt.Config().Calls
	if !o.call.Idempotent {
		return calls.AnswerLimit
	}
	if length >= 0 && length <= int64(calls.ReplayLimit) {
		return calls.ReplayLimit
	}
	return 0
}

func incomplete(ctx context.Context, err error) *fault.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Failed(fault.ReasonDeadline, "the time was up in the middle of the answer")
	case ctx.Err() != nil:
		return fault.Failed(fault.ReasonCancelled, "the caller left in the middle of the answer")
	}
	return fault.Failed(fault.ReasonAnswerIncomplete, "the answer was cut short: %v", err)
}

func drain(resp *http.Response) {
	const most = 16 << 10
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, most))
	_ = resp.Body.Close()
}

// report passes the outcome of an attempt to the balancer.
func (p *Proxy) report(o *outbound, vm route.Candidate, r *fault.Refusal, load *admit.Load) {
	out := route.OutcomeAnswered
	if r != nil {
		out = vmOutcome(r)
	}
	p.fleet.done(o.call.Service, vm.VM, route.Report{Outcome: out, Load: load})
}

// vmOutcome classifies a refusal by what it says of the VM's health.
func vmOutcome(r *fault.Refusal) route.Outcome {
	switch r.Reason {
	case fault.ReasonUpstreamFailed, fault.ReasonUpstreamCrashed, fault.ReasonAnswerIncomplete:
		return route.OutcomeFailed
	}
	return route.OutcomeRefused
}
