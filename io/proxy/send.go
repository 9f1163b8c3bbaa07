package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/core/route"
	"chicorymast/io/header"
	"chicorymast/io/limit"
	"chicorymast/io/trace"
)

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
	if r := checkStatus(resp); r != nil {
		defer stop()
		_ = resp.Body.Close()
		p.noteInvalidAnswer(vm.Address, r)
		p.reportOutcome(o, vm, r, nil)
		return attempt{refusal: r}
	}
	result, ok := header.GetResult(resp.Header)
	if !ok {
		defer stop()
		discardBody(resp)
		r := fault.Failed(fault.ReasonUpstreamFailed, "VM %s did not answer as a daemon", vm.VM)
		if resp.StatusCode == http.StatusRequestHeaderFieldsTooLarge {
			// Sent by the HTTP server of a daemon before it handles a request, so it says
			// nothing of the VM.
			r = fault.Refuse(fault.ReasonHeadersTooLarge, "the header is too large for VM %s", vm.VM)
		}
		p.reportOutcome(o, vm, r, nil)
		return attempt{refusal: r}
	}
	p.notices.learn(p.opt.Clock.Now(), vm, result)
	p.placement.record(o, vm, result)
	p.entryAdmission.recordCosts(o.call.Route, vm.VM, p.serviceCosts(o.call, vm.VM, result))
	p.recordAcceptances(o, vm.VM, result.Accepted)
	if result.Reason != "" {
		defer stop()
		discardBody(resp)
		if result.Reason == fault.ReasonUpstreamCrashed {
			// A nested call may have failed by the crash itself, so it excuses nothing.
			p.suspects.recordCrash(p.opt.Clock.Now(), o.contentFingerprint())
		}
		r := &fault.Refusal{Reason: result.Reason, Detail: result.Detail, NotRun: result.NotRun}
		p.reportOutcome(o, vm, r, &result.Load)
		return attempt{refusal: r, nestedFailure: result.NestedFailure, unspentRetries: result.UnspentRetries}
	}
	p.clearSuspect(o)
	return p.receive(ctx, o, vm, resp, result, stop)
}

// serviceCosts returns the costs of a result that count at this daemon: what a limited
// upstream asks to refuse does not while another one has room.
func (p *Proxy) serviceCosts(c header.Call, vm ident.VM, result header.Result) []inflow.ServiceCost {
	if (result.Load.RateLimit > 0 || result.Load.Ramp) && p.router.roomElsewhere(c.Service, admissionLevel(c), vm) {
		return inflow.WithoutService(result.ServiceCosts, c.Service)
	}
	return result.ServiceCosts
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
	req := new(http.Request).WithContext(ctx)
	req.Method, req.URL, req.Header, req.Host = o.method, &target, o.header, o.host
	if o.attempts > 1 {
		req.Header = maps.Clone(o.header)
	}
	call := o.call
	call.Retries = lent
	call.Repeat = o.isRepeat()
	call.ServiceRefuseShare = p.entryAdmission.serviceRefuseShare(call.Route, call.Service)
	call.TimeoutMs = remaining(ctx, p.opt.Clock.Now()).Milliseconds()
	call.RoomElsewhere = p.router.roomElsewhere(call.Service, admissionLevel(call), vm.VM)
	call.UpstreamNotice = p.notices.limitOf(p.opt.Clock.Now(), vm.Process)
	header.LowerRetryHeaders(req.Header)
	header.SetCall(req.Header, call)
	if p.opt.Dialect.PropagateTrace {
		trace.Inject(ctx, req.Header, "")
	}
	o.body.attach(req)
	w.watchRequestBody(req)
	if !o.body.complete {
		req.Header.Set("Expect", "100-continue")
	}
	return req
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
	maxBytes := p.bufferLimit(o, resp.ContentLength)
	prefix, err := readPrefix(ctx, resp, maxBytes)
	short := errors.Is(err, limit.ErrNoRoom) // the rest is streamed
	if err != nil && !short {
		defer stop()
		_ = resp.Body.Close()
		r := incompleteRefusal(ctx, err)
		p.reportOutcome(o, vm, r, &result.Load)
		return attempt{refusal: r, unspentRetries: result.UnspentRetries}
	}
	success := attempt{response: received, nestedFailure: result.NestedFailure, unspentRetries: result.UnspentRetries}
	if len(prefix) <= maxBytes && !short {
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

// readPrefix reads the body of a response up to a byte beyond a limit. It returns
// limit.ErrNoRoom with what it has read if the budget for bodies held in memory is used up.
func readPrefix(ctx context.Context, resp *http.Response, maxBytes int) ([]byte, error) {
	body := limit.Reader(ctx, resp.Body)
	if resp.ContentLength < 0 || resp.ContentLength > int64(maxBytes) || resp.Body == http.NoBody {
		return io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	}
	data := make([]byte, resp.ContentLength)
	n, err := io.ReadFull(body, data)
	if errors.Is(err, io.EOF) {
		err = nil // a body without bytes; one that ends early returns io.ErrUnexpectedEOF
	}
	return data[:n], err
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
	case fault.TooManyFiles(err), errors.Is(err, limit.ErrRefused):
		return route.OutcomeRefused // this daemon's own shortage
	}
	return vmOutcome(r)
}

// vmOutcome classifies a refusal by what it says of the VM's health.
func vmOutcome(r *fault.Refusal) route.Outcome {
	switch r.Reason {
	case fault.ReasonUpstreamFailed, fault.ReasonUpstreamCrashed, fault.ReasonAnswerIncomplete, fault.ReasonAnswerInvalid:
		return route.OutcomeFailed
	}
	return route.OutcomeRefused
}
