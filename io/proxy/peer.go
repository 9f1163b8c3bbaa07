package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/halt"
	"chicorymast/core/member"
	"chicorymast/core/retry"
	"chicorymast/core/route"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/trace"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
)

// PeerHandler returns the handler for calls from other daemons.
func (p *Proxy) PeerHandler() http.Handler {
	return http.HandlerFunc(p.servePeer)
}

func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	p.running.Add(1)
	defer p.running.Add(-1)
	start := p.opt.Clock.Now()
	call, err := header.GetCall(r.Header)
	if err != nil {
		p.opt.Log.Emit(event.MessageRefused, zap.String("from", r.RemoteAddr))
		p.refusePeer(w, r.RemoteAddr, call, retryOutcome{}, fault.Refuse(fault.ReasonNotMember, "this address is for daemons"))
		return
	}
	ctx, span := p.startSpan(r, "serve")
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("chicorymast.route", string(call.Route)), attribute.Int("chicorymast.depth", call.Depth))
	}
	within, refusal := p.acceptFor(time.Duration(call.TimeoutMs) * time.Millisecond)
	if refusal != nil {
		p.refusePeer(w, r.RemoteAddr, call, retryOutcome{unspentRetries: call.Retries}, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	status := p.serve(ctx, w, r, call)
	p.opt.Metrics.call("serve", call.Route, status, p.opt.Clock.Now().Sub(start))
}

func (p *Proxy) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, call header.Call) (status int) {
	upstream := p.opt.Board.Upstream.Read()
	if refusal := p.unavailable(upstream, call); refusal != nil {
		return p.refusePeer(w, r.RemoteAddr, call, retryOutcome{unspentRetries: call.Retries}, refusal)
	}
	if p.passThrough() {
		return p.forward(ctx, w, r, call, upstream, startInterimSender(w), func(admit.Sample) {})
	}
	interim := startInterimSender(w)
	defer interim.stop()
	arrived := p.opt.Clock.Now()
	p.followUpstream(upstream)
	ticket, refusal := p.admission.enter(ctx, call, p.upstreamCapacity(upstream, call))
	p.noteQueued(call, p.opt.Clock.Now().Sub(arrived))
	if refusal != nil {
		interim.stop()
		return p.refusePeer(w, r.RemoteAddr, call, retryOutcome{unspentRetries: call.Retries}, refusal)
	}
	// The upstream may have been replaced while the call waited.
	if upstream = p.opt.Board.Upstream.Read(); upstream.Service != call.Service {
		p.admission.leave(ticket, admit.Sample{Abandoned: true})
		interim.stop()
		return p.refusePeer(w, r.RemoteAddr, call, retryOutcome{unspentRetries: call.Retries},
			fault.Refuse(fault.ReasonDraining, "service %s has left this VM", call.Service))
	}
	return p.forward(ctx, w, r, call, upstream, interim, func(s admit.Sample) { p.admission.leave(ticket, s) })
}

func (p *Proxy) unavailable(upstream *board.Upstream, call header.Call) *fault.Refusal {
	if upstream.Service != call.Service || !upstream.Present() {
		return fault.Refuse(fault.ReasonDraining, "service %s is not on this VM", call.Service)
	}
	// A stopping daemon still accepts calls while its listener is open. They
	// come from daemons that do not know yet that it is stopping, or that have
	// no other upstream for the service.
	if !p.takesCalls(upstream) {
		return fault.Refuse(fault.ReasonDraining, "the upstream on this VM takes no new work")
	}
	return nil
}

// takesCalls reports whether the upstream on this VM takes new calls.
func (p *Proxy) takesCalls(upstream *board.Upstream) bool {
	return upstream.Phase == member.PhaseUp && !upstream.Drained && !p.evacuated()
}

// evacuated reports whether operators evacuate the data centre of this VM. It reads the
// configuration itself: upstream.Drained follows the configuration with a delay.
func (p *Proxy) evacuated() bool {
	evacuations := p.opt.Board.Config.Read().State.Evacuations
	return len(evacuations) > 0 && evacuations[p.opt.Config().Daemon.DataCentre]
}

// acceptFor returns how long a call with the given limit may run, or a refusal if this
// daemon is stopping and takes no more calls.
func (p *Proxy) acceptFor(limit time.Duration) (within time.Duration, refusal *fault.Refusal) {
	if v, ok := p.opt.Board.Lifecycle.Read().Stop.Accept(p.opt.Clock.Now(), limit).(halt.Run); ok {
		return v.Within, nil
	}
	return 0, fault.Refuse(fault.ReasonDraining, "this daemon is stopping")
}

// refusePeer responds to another daemon in place of the upstream.
func (p *Proxy) refusePeer(w http.ResponseWriter, from string, call header.Call, retries retryOutcome, r *fault.Refusal) (status int) {
	p.noteCallRefused(from, call, r)
	p.opt.Metrics.refused("serve", r.Reason)
	header.SetResult(w.Header(), header.Result{
		Load: p.admission.load(), UnspentRetries: retries.unspentRetries, Reason: r.Reason, Detail: r.Detail,
		NotRun: r.NotRun, NestedFailure: retries.nestedFailure,
		ServiceCosts: p.entryAdmission.serviceCosts(call.Route, p.admission.refuseShare()),
		Accepted:     p.entryAdmission.acceptances(call.Route, p.admission.acceptedShare()),
		Notice:       p.ownNotice(p.opt.Board.Upstream.Read()),
		Crossings:    p.placement.report(call.Route),
	})
	WriteProblem(w, p.opt.Dialect, r, 0)
	return HTTPStatus(r)
}

// forward sends the call to the upstream and its response to the peer.
func (p *Proxy) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, call header.Call,
	upstream *board.Upstream, interim *interimSender, leave func(admit.Sample),
) (status int) {
	start := p.opt.Clock.Now()
	sc := &servedCall{call: call, deadline: start.Add(time.Duration(call.TimeoutMs) * time.Millisecond)}
	sc.budget = retry.NewBudget(call.Retries)
	token := p.newToken()
	p.calls.add(token, sc)
	sample := admit.Sample{}
	defer func() {
		p.calls.remove(token)
		leave(p.measureRun(sc, start, sample))
	}()
	limitSmallBody(w, r, remaining(ctx, start))
	req, exchange := p.upstreamRequest(ctx, r, call, upstream, token)
	resp, err := p.sendToUpstream(req)
	interim.stop()
	unspentRetries, _, nestedFailure := sc.summary(p.opt.Clock.Now())
	if err != nil {
		refusal := p.upstreamRefusal(ctx, err, exchange.wroteHeaders.Load())
		sample.Failed, sample.NotSent = vmOutcome(refusal) == route.OutcomeFailed, errors.Is(err, errUpstreamCold)
		sample.Abandoned = refusal.Reason == fault.ReasonCancelled
		return p.refusePeer(w, r.RemoteAddr, call, retryOutcome{unspentRetries, nestedFailure}, refusal)
	}
	defer resp.Body.Close()
	if refusal := p.checkResponse(req, resp); refusal != nil {
		if resp.Close {
			exchange.closeConnection()
		}
		p.noteInvalidAnswer(upstream.Address, refusal)
		return p.refusePeer(w, r.RemoteAddr, call, retryOutcome{unspentRetries, nestedFailure}, refusal)
	}
	if contentIsLeft(resp) {
		exchange.closeConnection()
	}
	p.recordStatement(upstream, exchange.receivedAt(p.opt.Clock.Now()), resp)
	if nestedFailure && resp.StatusCode >= http.StatusInternalServerError {
		p.noteNestedFailure(call, resp.StatusCode, p.opt.Clock.Now().Sub(start))
	}
	sample.Shed = resp.StatusCode == http.StatusServiceUnavailable && !nestedFailure
	sample.Rejected = p.rejectedByUpstream(resp) && !nestedFailure
	if !call.Idempotent && promisesNotRun(resp.StatusCode) && !p.opt.Dialect.ProvesNotRun(resp) {
		refusal := fault.Failed(fault.ReasonUpstreamFailed, "the upstream answered %d, but not that the call has not run", resp.StatusCode)
		return p.refusePeer(w, r.RemoteAddr, call, retryOutcome{unspentRetries, nestedFailure}, refusal)
	}
	p.passResponse(w, resp, header.Result{
		Load: p.admission.load(), UnspentRetries: unspentRetries, NestedFailure: nestedFailure, NotRun: p.opt.Dialect.ProvesNotRun(resp),
		ServiceCosts: p.entryAdmission.serviceCosts(call.Route, p.admission.refuseShare()), Notice: p.ownNotice(upstream),
		Crossings: p.placement.report(call.Route),
		Accepted:  p.entryAdmission.acceptances(call.Route, p.admission.acceptedShare()),
	})
	return resp.StatusCode
}

// rejectedByUpstream reports whether the upstream that the request was meant for has proved
// that it did not run it. One that has replaced it says nothing about the calls of its own.
func (p *Proxy) rejectedByUpstream(resp *http.Response) bool {
	return resp.StatusCode != http.StatusMisdirectedRequest && p.opt.Dialect.ProvesNotRun(resp)
}

// promisesNotRun reports whether callers take a status for a promise that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// measureRun records a finished run in the profile of its route, unless the
// upstream shed the call, and returns the sample with its durations.
func (p *Proxy) measureRun(sc *servedCall, start time.Time, sample admit.Sample) admit.Sample {
	now := p.opt.Clock.Now()
	_, nestedTime, _ := sc.summary(now)
	sample.SelfTime, sample.HoldTime = now.Sub(start)-nestedTime, now.Sub(start)
	sample.SelfTimeUnknown = !p.entryAdmission.selfTimeKnown(sc.call.Route)
	if !sample.Shed && !sample.NotSent {
		p.entryAdmission.recordRun(sc.call.Route, sample.HoldTime)
		p.placement.recordRun(sc.call.Route)
	}
	return sample
}

func (p *Proxy) upstreamRequest(ctx context.Context, r *http.Request, call header.Call, upstream *board.Upstream, token string) (*http.Request, *exchange) {
	left := remaining(ctx, p.opt.Clock.Now())
	ctx, exchange := traceExchange(ctx, p.opt.Clock)
	target := &url.URL{
		Scheme: "http", Host: upstream.Address, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
	req := new(http.Request).WithContext(ctx) // the compiler keeps the former one on the stack
	req.Method, req.URL, req.Header, req.Host = r.Method, target, header.FromPeer(r.Header), r.Host
	header.LowerRetryHeaders(req.Header)
	p.opt.Dialect.SetUpstream(req.Header, header.UpstreamHeaders{
		TimeLeft: left, Workspace: call.Workspace, Caller: call.Caller, Target: upstream.ID,
	})
	if p.opt.Dialect.PropagateTrace {
		trace.Inject(ctx, req.Header, token)
	}
	req.ContentLength = r.ContentLength
	if r.ContentLength == 0 {
		setNoBody(req)
	} else {
		req.Body = readSmallBody(r)
	}
	return req, exchange
}

// transportFor returns the transport for a request to the upstream. A connection that is
// kept may still bring an earlier answer once more, which only the id tells from that to
// the request.
func (p *Proxy) transportFor(req *http.Request) *http.Transport {
	if d := p.opt.Dialect; d.ActionEchoed && p.sentIDs.add(p.opt.Clock.Now(), req.Header.Get(d.Action)) {
		return p.freshTransport
	}
	return p.upstreamTransport
}

func (p *Proxy) upstreamRefusal(ctx context.Context, err error, wroteHeaders bool) *fault.Refusal {
	r := fault.Failed(fault.ReasonUpstreamFailed, "the upstream did not answer: %v", err)
	switch {
	case errors.Is(err, errUpstreamCold):
		return fault.Refuse(fault.ReasonOverload, "refused beside the upstream before it ran: %v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r = fault.Failed(fault.ReasonDeadline, "the upstream did not answer in time")
	case ctx.Err() != nil:
		r = fault.Failed(fault.ReasonCancelled, "the caller left")
	case wroteHeaders && refusesConnections(p.opt.Board.Upstream.Read().Address):
		p.opt.Log.Emit(event.UpstreamCrashed, zap.Error(err))
		r.Reason = fault.ReasonUpstreamCrashed
	}
	r.NotRun = !wroteHeaders
	return r
}

// checkResponse refuses a response that may be incomplete or belong to another
// request. It sets Close on the response, since the connection must not be reused,
// except if only the trace id is wrong.
func (p *Proxy) checkResponse(req *http.Request, resp *http.Response) *fault.Refusal {
	if refusal := checkStatus(resp); refusal != nil {
		resp.Close = true
		return refusal
	}
	if closeDelimited(req, resp) {
		resp.Close = true
		return fault.Failed(fault.ReasonAnswerIncomplete, "the upstream's answer has no length, so its end can't be told")
	}
	if !p.opt.Dialect.MatchesRequest(req, resp) {
		resp.Close = true
		return fault.Failed(fault.ReasonAnswerIncomplete, "the upstream's answer belongs to another request")
	}
	if !p.opt.Dialect.HasRequiredSignature(resp) {
		resp.Close = true
		return fault.Failed(fault.ReasonAnswerIncomplete, "the upstream's answer is not signed")
	}
	returned, sent := resp.Header.Get("Traceresponse"), req.Header.Get("Traceparent")
	if returned != "" && sent != "" && traceID(returned) != traceID(sent) {
		return fault.Failed(fault.ReasonAnswerIncomplete, "the upstream's answer belongs to another request")
	}
	return nil
}

func closeDelimited(req *http.Request, resp *http.Response) bool {
	bodiless := req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !bodiless
}

// traceID returns the trace-id field of a traceparent or traceresponse header.
func traceID(value string) string {
	const begin, end = 3, 35
	if len(value) < end {
		return value
	}
	return value[begin:end]
}

// passResponse streams the upstream's response to the peer. If the body ends
// early the connection to the peer is aborted.
func (p *Proxy) passResponse(w http.ResponseWriter, resp *http.Response, result header.Result) {
	header.CopyResponse(w.Header(), resp.Header)
	header.SetResult(w.Header(), result)
	w.WriteHeader(resp.StatusCode)
	if err := stream(w, resp.Body, resp.ContentLength); err != nil {
		p.opt.Log.Emit(event.ResponseIncomplete, zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// plainWriter hides the ReadFrom of a response writer, which would send the head and the
// first 512 bytes of a body in a write of their own.
type plainWriter struct{ io.Writer }

// streamChunk is the size of the buffer by which a body is copied. A caller that reads nothing
// occupies one at the entry and one at the peer.
const streamChunk = 8 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamChunk]byte) }}

// stream copies a body. If its length is unknown, each chunk is flushed.
func stream(w http.ResponseWriter, body io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	chunk := streamBuffers.Get().(*[streamChunk]byte)
	defer streamBuffers.Put(chunk)
	buf := chunk[:]
	if length > 0 {
		// Without the interface by which the body would allocate a larger buffer.
		_, err := io.CopyBuffer(plainWriter{w}, struct{ io.Reader }{body}, buf)
		return err
	}
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = flusher.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
