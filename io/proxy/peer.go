package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/member"
	"chicorymast/core/retry"
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
	began := p.opt.Clock.Now()
	call, err := header.GetCall(r.Header)
	if err != nil {
		p.opt.Log.Emit(event.MessageRefused, zap.String("from", r.RemoteAddr))
		p.refusePeer(w, call, settlement{}, fault.Refuse(fault.ReasonNotMember, "this address is for daemons"))
		return
	}
	ctx, span := p.opt.Tracer.Start(trace.Extract(r), "serve",
		attribute.String("chicorymast.route", string(call.Route)), attribute.Int("chicorymast.depth", call.Depth))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.TimeoutMs)*time.Millisecond)
	defer cancel()
	status := p.serve(ctx, w, r, call)
	p.opt.Metrics.call("serve", call.Route, strconv.Itoa(status), p.opt.Clock.Now().Sub(began))
}

func (p *Proxy) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, call header.Call) (status int) {
	served := p.opt.Board.Upstream.Read()
	if r := p.unavailable(served, call); r != nil {
		return p.refusePeer(w, call, settlement{unspent: call.Retries}, r)
	}
	if p.passThrough() {
		return p.forward(ctx, w, r, call, served, startProgress(w), func(admit.Sample) {})
	}
	told := startProgress(w)
	defer told.stop()
	ticket, refusal := p.gate.enter(ctx, call, served.Slots)
	if refusal != nil {
		told.stop()
		return p.refusePeer(w, call, settlement{unspent: call.Retries}, refusal)
	}
	return p.forward(ctx, w, r, call, served, told, func(s admit.Sample) { p.gate.leave(ticket, s) })
}

func (p *Proxy) unavailable(served *board.Upstream, call header.Call) *fault.Refusal {
	if served.Service != call.Service || !served.Present() {
		return fault.Refuse(fault.ReasonDraining, "service %s is not on this VM", call.Service)
	}
	// A stopping daemon still accepts calls while its listener is open. They
	// come from daemons that do not know yet, or that have no other upstream
	// for the service.
	if served.Phase != member.PhaseUp || served.Drained {
		return fault.Refuse(fault.ReasonDraining, "the upstream on this VM takes no new work")
	}
	return nil
}

// refusePeer responds to another daemon in place of the upstream.
func (p *Proxy) refusePeer(w http.ResponseWriter, call header.Call, s settlement, r *fault.Refusal) (status int) {
	p.opt.Metrics.refused("serve", r.Reason)
	header.SetResult(w.Header(), header.Result{
		Load: p.gate.load(), UnspentRetries: s.unspent, Reason: r.Reason, Detail: r.Detail, NotRun: r.NotRun, NestedFailure: s.deeper,
		Needs: p.intake.needs(call.Route, p.gate.refuse()),
	})
	WriteProblem(w, p.opt.Dialect, r, 0)
	return HTTPStatus(r)
}

// forward sends the call to the upstream and its response to the peer.
func (p *Proxy) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, call header.Call,
	served *board.Upstream, told *progress, leave func(admit.Sample),
) (status int) {
	began := p.opt.Clock.Now()
	sc := &servedCall{call: call, deadline: began.Add(time.Duration(call.TimeoutMs) * time.Millisecond)}
	sc.budget = retry.NewBudget(call.Retries)
	token := p.newToken()
	p.calls.add(token, sc)
	sample := admit.Sample{}
	defer func() {
		p.calls.remove(token)
		now := p.opt.Clock.Now()
		_, away, _ := sc.summary(now)
		sample.SelfTime, sample.HoldTime = now.Sub(began)-away, now.Sub(began)
		p.intake.ran(call.Route, now.Sub(began))
		leave(sample)
	}()
	req, wrote := p.upstreamRequest(ctx, r, call, served, token)
	resp, err := p.transport.RoundTrip(req)
	told.stop()
	unspent, _, deeper := sc.summary(p.opt.Clock.Now())
	if err != nil {
		refusal := p.upstreamRefusal(ctx, err, wrote.Load())
		return p.refusePeer(w, call, settlement{unspent, deeper}, refusal)
	}
	defer resp.Body.Close()
	if bad := p.doubtful(req, resp); bad != nil {
		return p.refusePeer(w, call, settlement{unspent, deeper}, bad)
	}
	sample.Shed = resp.StatusCode == http.StatusServiceUnavailable && !deeper
	p.passBack(w, resp, header.Result{
		Load: p.gate.load(), UnspentRetries: unspent, NestedFailure: deeper, NotRun: p.opt.Dialect.ProvesNotRun(resp),
		Needs: p.intake.needs(call.Route, p.gate.refuse()),
	})
	return resp.StatusCode
}

func (p *Proxy) upstreamRequest(ctx context.Context, r *http.Request, call header.Call, served *board.Upstream, token string) (*http.Request, *atomic.Bool) {
	wrote := &atomic.Bool{}
	left := remaining(ctx, p.opt.Clock.Now())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	target := &url.URL{
		Scheme: "http", Host: served.Address, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
	req := &http.Request{Method: r.Method, URL: target, Header: r.Header.Clone(), Host: r.Host}
	header.StripHopByHop(req.Header)
	header.StripInternal(req.Header)
	header.StripCredentials(req.Header)
	header.LowerIdempotencyKey(req.Header)
	p.opt.Dialect.SetUpstream(req.Header, header.UpstreamHeaders{
		TimeLeft: left, Workspace: call.Workspace, Caller: call.Caller, Target: served.ID,
	})
	if p.opt.Dialect.PropagateTrace {
		trace.Inject(ctx, req.Header, token)
	}
	req.ContentLength = r.ContentLength
	req.Body = onceBody{r.Body}
	if r.ContentLength == 0 {
		setNoBody(req)
	}
	return req.WithContext(ctx), wrote
}

func (p *Proxy) upstreamRefusal(ctx context.Context, err error, wrote bool) *fault.Refusal {
	r := fault.Failed(fault.ReasonUpstreamFailed, "the upstream did not answer: %v", err)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r = fault.Failed(fault.ReasonDeadline, "the upstream did not answer in time")
	case ctx.Err() != nil:
		r = fault.Failed(fault.ReasonCancelled, "the caller left")
	case wrote && refusesConnections(p.opt.Board.Upstream.Read().Address):
		p.opt.Log.Emit(event.UpstreamCrashed, zap.Error(err))
		r.Reason = fault.ReasonUpstreamCrashed
	}
	r.NotRun = !wrote
	return r
}

// doubtful refuses a response that may be incomplete or belong to another
// request. The connection is closed and not reused.
func (p *Proxy) doubtful(req *http.Request, resp *http.Response) *fault.Refusal {
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
	echo, sent := resp.Header.Get("Traceresponse"), req.Header.Get("Traceparent")
	if echo != "" && sent != "" && traceID(echo) != traceID(sent) {
		return fault.Failed(fault.ReasonAnswerIncomplete, "the upstream's answer belongs to another request")
	}
	return nil
}

func closeDelimited(req *http.Request, resp *http.Response) bool {
	bodiless := req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !bodiless
}

// traceID returns the trace-id field of a traceparent or traceresponse header.
func traceID(header string) string {
	const from, to = 3, 35
	if len(header) < to {
		return header
	}
	return header[from:to]
}

// passBack streams the upstream's response to the peer. If the body ends early
// the connection to the peer is aborted.
func (p *Proxy) passBack(w http.ResponseWriter, resp *http.Response, a header.Result) {
	copyHeader(w.Header(), resp.Header)
	header.SetResult(w.Header(), a)
	w.WriteHeader(resp.StatusCode)
	if err := stream(w, resp.Body, resp.ContentLength); err != nil {
		p.opt.Log.Emit(event.AnswerIncomplete, zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	header.StripHopByHop(dst)
	header.StripInternal(dst)
}

// stream copies a body. If its length is unknown, each chunk is flushed.
func stream(w http.ResponseWriter, body io.Reader, length int64) error {
	if length >= 0 {
		_, err := io.Copy(w, body)
		return err
	}
	const chunk = 32 << 10
	flusher := http.NewResponseController(w)
	buf := make([]byte, chunk)
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
