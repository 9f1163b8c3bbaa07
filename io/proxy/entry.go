package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/dedup"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/record"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
)

// EntryHandler returns the handler for requests from callers.
func (p *Proxy) EntryHandler() http.Handler {
	return http.HandlerFunc(p.serveEntry)
}

func (p *Proxy) serveEntry(w http.ResponseWriter, r *http.Request) {
	p.running.Add(1)
	defer p.running.Add(-1)
	defer trackBody(r).flushAndDiscard(w)
	start := p.opt.Clock.Now()
	ctx, span := p.startSpan(r, "entry")
	defer span.End()
	in, refusal := p.checkRequest(w, r)
	if refusal != nil {
		p.refuseCaller(w, in.subject(), refusal, 0, start, p.freshnessInputs)
		return
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("chicorymast.route", string(in.route)))
	}
	within, refusal := p.acceptFor(p.timeout(r, in))
	if refusal != nil {
		p.refuseCaller(w, in.subject(), refusal, 0, start, noInputs)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if p.passThrough() {
		p.runUnrecorded(ctx, w, r, in, start)
		return
	}
	if !in.recorded() {
		if p.chargeOrRefuse(ctx, w, in, start) {
			p.runUnrecorded(ctx, w, r, in, start)
		}
		return
	}
	p.runOnce(ctx, w, r, in, start)
}

// checkRequest determines the route, the workspace and the grant of a request,
// and buffers the start of its body. A request that it refuses has not run, and is
// returned as far as it is known.
func (p *Proxy) checkRequest(w http.ResponseWriter, r *http.Request) (*incomingCall, *fault.Refusal) {
	in := &incomingCall{config: p.opt.Board.Config.Read(), action: ident.ActionID(r.Header.Get(p.opt.Dialect.Action))}
	if p.opt.Board.Freshness.Read().AsOf.IsZero() {
		return in, fault.Refuse(fault.ReasonConfigurationStale, "this daemon has just started and has no configuration yet")
	}
	if in.config.State.ConfirmedAt == 0 {
		return in, fault.Refuse(fault.ReasonConfigurationStale, "no configuration has been confirmed yet")
	}
	arrived := p.opt.Clock.Now()
	if refusal := p.refuseIfCertain(r, func() *fault.Refusal { return p.lookUp(r, in) }); refusal != nil {
		return in, refusal
	}
	in.waited = p.opt.Clock.Now().Sub(arrived)
	if refusal := p.checkFreshness(in.spec); refusal != nil {
		return in, refusal
	}
	if in.recorded() && in.action == "" {
		return in, fault.Refuse(fault.ReasonIdempotencyKeyMissing, "route %s runs at most once and needs an %s", in.route, p.opt.Dialect.Action)
	}
	p.limitReadPauses(w, r)
	body, err := readPayload(r, p.opt.Config().Calls.ReplayLimit, in.config.State.Intent.RouteBodyLimit(in.spec))
	if err != nil {
		return in, p.unlessUnconfirmed(asRefusal(err))
	}
	in.body = body
	in.service = p.router.chooseService(in.route, in.spec.Services())
	p.setParent(r, in)
	return in, nil
}

// lookUp determines the route and the workspace of a request by the configuration in
// force. It returns a refusal if there is no route or the workspace may not call it.
func (p *Proxy) lookUp(r *http.Request, in *incomingCall) *fault.Refusal {
	in.config = p.opt.Board.Config.Read()
	name, ok := findRoute(in.config, r)
	in.route, in.spec = name, in.config.State.Intent.Routes[name]
	if !ok || in.spec.Internal {
		return fault.Refuse(fault.ReasonNoRoute, "no route for %s %s", r.Method, r.URL.Path)
	}
	return p.authorise(r, in)
}

// limitReadPauses limits how long each read of the request body waits for data.
func (p *Proxy) limitReadPauses(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	r.Body = readTimeoutBody{Reader: r.Body, control: http.NewResponseController(w), timeout: p.opt.Config().Calls.ProgressTimeout}
}

func (p *Proxy) authorise(r *http.Request, in *incomingCall) *fault.Refusal {
	key, sent := p.apiKey(r)
	workspace, known := ident.Workspace(""), false
	if sent {
		workspace, known = in.config.KeyWorkspace(ident.DigestKey(key), p.opt.Clock.Now())
	}
	if in.spec.Open || len(in.config.State.Intent.Workspaces) == 0 {
		in.workspace = workspace
		return nil
	}
	if !sent {
		return fault.Refuse(fault.ReasonKeyMissing, "show a key as Authorization: %s KEY", p.opt.Dialect.KeyScheme)
	}
	if !known {
		return fault.Refuse(fault.ReasonKeyUnknown, "the key is unknown, withdrawn or expired")
	}
	in.workspace = workspace
	if in.grant, in.grantSpec, in.granted = in.config.Grant(workspace, in.route); !in.granted {
		return fault.Refuse(fault.ReasonNoGrant, "workspace %s may not call route %s", workspace, in.route)
	}
	return nil
}

// apiKey returns the key in the Authorization header. It reports false if there
// is none.
func (p *Proxy) apiKey(r *http.Request) (key string, ok bool) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, p.opt.Dialect.KeyScheme) && key != ""
}

// checkFreshness refuses the request if the time since the configuration was last
// confirmed as current exceeds the grace period of the route.
func (p *Proxy) checkFreshness(spec intent.RouteSpec) *fault.Refusal {
	age := p.opt.Board.Freshness.Read().Age(p.opt.Clock.Now())
	if age <= p.opt.Config().CutOff.Grace(spec.Idempotent, spec.Class) {
		return nil
	}
	return fault.Refuse(fault.ReasonConfigurationStale, "the configuration could not be confirmed as current for %s", age.Round(time.Second))
}

// timeout returns the timeout of the route, or the caller's if it is shorter.
func (p *Proxy) timeout(r *http.Request, in *incomingCall) time.Duration {
	limit := in.config.State.Intent.RouteTimeout(in.spec)
	if left, ok := p.opt.Dialect.TimeLeft(r.Header); ok {
		limit = min(limit, left)
	}
	return limit - in.waited
}

// chargeOrRefuse charges the call to its grant. If that fails it responds with
// a refusal and reports false.
func (p *Proxy) chargeOrRefuse(ctx context.Context, w http.ResponseWriter, in *incomingCall, start time.Time) bool {
	refusal, wait, inputs := p.charge(ctx, in)
	if refusal == nil {
		return true
	}
	p.refuseCaller(w, in.subject(), refusal, wait, start, inputs)
	return false
}

// charge decides whether this entry admits a call, and charges it to its grant. It
// returns nil, or a refusal, the time after which the caller should retry, zero
// for the default of the refusal's reason, and what the decision stands on.
func (p *Proxy) charge(ctx context.Context, in *incomingCall) (*fault.Refusal, time.Duration, func() []zap.Field) {
	if in.spec.Open {
		return nil, 0, noInputs
	}
	in.entryShare = p.entryAdmission.admittedShare(in.route, in.priority())
	if p.randomFloat() >= in.entryShare {
		refusal, wait := p.refuseOverloaded(in, remaining(ctx, p.opt.Clock.Now()))
		return refusal, wait, func() []zap.Field { return p.sheddingInputs(in) }
	}
	if in.workspace == "" {
		return nil, 0, noInputs // no workspaces are configured, so there are no keys or grants
	}
	if !in.granted { // not looked up yet, or there is none
		in.grant, in.grantSpec, in.granted = in.config.Grant(in.workspace, in.route)
	}
	name, grant := in.grant, in.grantSpec
	if !in.granted {
		return fault.Refuse(fault.ReasonNoGrant, "workspace %s may not call route %s", in.workspace, in.route), 0, noInputs
	}
	if grant.Rate == 0 {
		return nil, 0, noInputs
	}
	wait, err := p.opt.Quota.Charge(ctx, name)
	if err != nil {
		return chargeRefusal(err), 0, p.grantInputs(name)
	}
	if wait > 0 {
		refusal := fault.Refuse(fault.ReasonOverRate, "grant %s allows %v calls per second, burst %v", name, grant.Rate, grant.Burst)
		return refusal, wait, p.grantInputs(name)
	}
	in.chargedGrant = name
	return nil, 0, noInputs
}

// chargeRefusal converts an error of Quota.Charge. The call has not run.
func chargeRefusal(err error) *fault.Refusal {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Refuse(fault.ReasonDeadline, "the time was up while the call waited for its rate")
	case errors.Is(err, context.Canceled):
		return fault.Refuse(fault.ReasonCancelled, "the caller left while the call waited for its rate")
	}
	return fault.Refuse(fault.ReasonQuotaUnreachable, "%v", err)
}

// refund returns the token of a refused call if it has not run.
func (p *Proxy) refund(in *incomingCall, r *fault.Refusal) {
	if in.chargedGrant != "" && r.NotRun {
		p.opt.Quota.Refund(in.chargedGrant)
	}
}

// runOnce claims an action, and runs it or responds according to the verdict.
func (p *Proxy) runOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, in *incomingCall, start time.Time) {
	id := dedup.ID{Workspace: in.workspace, Action: in.action}
	claim := p.opt.Records.Begin(ctx, id, requestFingerprint(r, in), remaining(ctx, p.opt.Clock.Now()))
	switch v := claim.Verdict.(type) {
	case dedup.Run:
		p.runClaimed(ctx, w, r, in, claim, start)
	case dedup.Replay:
		p.replay(w, in, v.Response, start)
	default:
		p.refuseCaller(w, in.subject(), verdictRefusal(v), 0, start, noInputs)
	}
}

// verdictRefusal returns the refusal for a verdict that neither runs the action
// nor replays its response.
func verdictRefusal(v dedup.Verdict) *fault.Refusal {
	switch v.(type) {
	case dedup.Wait:
		return fault.Failed(fault.ReasonActionRunning, "the action is still running; ask again")
	case dedup.Conflict:
		return fault.Refuse(fault.ReasonActionConflict, "this %s was used for another request", header.IdempotencyKey)
	case dedup.Unreachable:
		return fault.Refuse(fault.ReasonRecordUnreachable, "no majority of the action's replicas answers, so it can't be run safely")
	default:
		return fault.Failed(fault.ReasonOutcomeUnknown, "an earlier run of this action may have happened; it is not run again")
	}
}

func (p *Proxy) runClaimed(ctx context.Context, w http.ResponseWriter, r *http.Request, in *incomingCall, claim *record.Claim, start time.Time) {
	if refusal, wait, inputs := p.charge(ctx, in); refusal != nil {
		p.opt.Records.End(claim, "", dedup.Response{})
		p.refuseCaller(w, in.subject(), refusal, wait, start, inputs)
		return
	}
	// The action continues if the caller disconnects, so that its outcome is recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining(ctx, p.opt.Clock.Now()))
	defer cancel()
	o := p.newOutboundCall(r, in)
	resp, _, refusal := p.dispatch(ctx, o)
	if refusal != nil {
		p.endRefusedClaim(claim, in, refusal)
		p.refuseCaller(w, o.subject(), refusal, 0, start, p.dispatchInputs(ctx, o))
		return
	}
	p.recordResponse(claim, resp)
	p.writeResponse(w, in.route, resp, start)
}

func (p *Proxy) endRefusedClaim(claim *record.Claim, in *incomingCall, r *fault.Refusal) {
	p.refund(in, r)
	if r.NotRun {
		p.opt.Records.End(claim, "", dedup.Response{})
		return
	}
	p.opt.Records.End(claim, dedup.PhaseUnknown, dedup.Response{})
	p.opt.Log.Emit(event.ActionOutcomeUnknown, zap.String("request", string(in.action)), zap.String("route", string(in.route)),
		zap.String("reason", string(r.Reason)))
}

// recordResponse records the response to an action before it is sent to the
// caller. An action that was proved not to have run is released instead.
func (p *Proxy) recordResponse(claim *record.Claim, resp *response) {
	if resp.header.Get(header.NotRun) == "true" {
		p.opt.Records.End(claim, "", dedup.Response{})
		return
	}
	h := http.Header{}
	header.CopyResponse(h, resp.header)
	p.opt.Records.End(claim, dedup.PhaseDone, dedup.Response{Stored: resp.stream == nil, Status: resp.status, Header: h, Body: resp.body})
}

func (p *Proxy) replay(w http.ResponseWriter, in *incomingCall, stored dedup.Response, start time.Time) {
	if !stored.Stored {
		refusal := fault.Failed(fault.ReasonActionDone, "the action was run; its answer was too large to be kept")
		p.refuseCaller(w, in.subject(), refusal, 0, start, noInputs)
		return
	}
	p.opt.Metrics.replays.Inc()
	h := http.Header(stored.Header).Clone()
	h.Set(header.IdempotencyReplayed, "true")
	p.writeResponse(w, in.route, &response{status: stored.Status, header: h, body: stored.Body, length: int64(len(stored.Body))}, start)
}

// requestFingerprint returns the fingerprint that a repeated request of an action
// must match.
func requestFingerprint(r *http.Request, in *incomingCall) dedup.Fingerprint {
	h := sha256.New()
	h.Write([]byte(r.Method + " " + r.URL.RequestURI() + "\n" + strconv.FormatInt(in.body.length, 10) + "\n"))
	h.Write(in.body.buffered)
	return dedup.Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

func (p *Proxy) runUnrecorded(ctx context.Context, w http.ResponseWriter, r *http.Request, in *incomingCall, start time.Time) {
	o := p.newOutboundCall(r, in)
	resp, refusal := p.send(ctx, o, in.parent)
	if refusal != nil {
		p.refund(in, refusal)
		p.refuseCaller(w, o.subject(), refusal, 0, start, p.dispatchInputs(ctx, o))
		return
	}
	p.writeResponse(w, in.route, resp, start)
}

func (p *Proxy) newOutboundCall(r *http.Request, in *incomingCall) *outboundCall {
	action := in.action
	if action == "" {
		action = ident.ActionID(p.newToken())
	}
	h := header.FromCaller(r.Header)
	p.opt.Dialect.DeleteUpstream(h)
	if p.opt.Dialect.ForwardedFor {
		setForwardedFor(h, r)
	}
	return &outboundCall{
		call: header.Call{
			Action:             action,
			Workspace:          in.workspace,
			Route:              in.route,
			Service:            in.service,
			Caller:             p.opt.Config().Daemon.Service,
			WorkspaceTier:      in.priority().WorkspaceTier,
			Class:              in.priority().Class,
			Rank:               in.rank(action),
			Nested:             in.isNested(),
			AdmittedShare:      in.admittedShare(),
			FairShareWorkspace: in.fairShareWorkspace(),
			Idempotent:         in.spec.Idempotent,
			Depth:              1,
			Retries:            in.retryBudget(),
			Repeat:             in.parent != nil && in.parent.call.Repeat,
		},
		parent:  in.subject().parent,
		vmLimit: in.spec.Attempts,
		method:  r.Method,
		url:     r.URL,
		host:    r.Host,
		header:  h,
		body:    in.body,
	}
}

// rankOf returns the rank of an action, a hash that is the same on all daemons.
func rankOf(w ident.Workspace, a ident.ActionID) admit.Rank {
	return admit.Rank(xxhash.Sum64String(string(w) + "\x00" + string(a)))
}

func setForwardedFor(h http.Header, r *http.Request) {
	host, _, ok := strings.Cut(r.RemoteAddr, ":")
	if ok && strings.Count(r.RemoteAddr, ":") == 1 {
		h.Set("X-Forwarded-For", host)
	}
}

// writeResponse sends a response to the caller. If the body ends early the
// connection is aborted, so that the caller does not take it for complete.
func (p *Proxy) writeResponse(w http.ResponseWriter, name ident.Route, resp *response, start time.Time) {
	header.CopyResponse(w.Header(), resp.header)
	p.opt.Metrics.call("entry", name, resp.status, p.opt.Clock.Now().Sub(start))
	if resp.stream == nil {
		if resp.length >= 0 && w.Header().Get("Content-Length") == "" && len(resp.body) > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		}
		w.WriteHeader(resp.status)
		_, _ = w.Write(resp.body)
		return
	}
	defer resp.stream.Close()
	w.WriteHeader(resp.status)
	err := stream(w, resp.stream, resp.length)
	resp.finish(err)
	if err != nil {
		p.opt.Log.Emit(event.ResponseIncomplete, zap.String("route", string(name)), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// refuseCaller responds to a caller in place of an upstream. The inputs are what the
// decision stands on, for the log.
func (p *Proxy) refuseCaller(w http.ResponseWriter, s subject, r *fault.Refusal, wait time.Duration, start time.Time, inputs func() []zap.Field) {
	p.noteRefused(s, r, wait, start, inputs)
	p.opt.Metrics.refused("entry", r.Reason)
	p.opt.Metrics.call("entry", s.route, HTTPStatus(r), p.opt.Clock.Now().Sub(start))
	WriteProblem(w, p.opt.Dialect, r, wait)
}
