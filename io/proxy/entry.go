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
	"chicorymast/core/poison"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/record"
	"chicorymast/io/trace"

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
	defer watchBody(r).finish(w)
	began := p.opt.Clock.Now()
	ctx, span := p.opt.Tracer.Start(trace.Extract(r), "entry")
	defer span.End()
	in, refusal := p.check(w, r)
	if refusal != nil {
		p.refuseEntry(w, "", refusal, 0, began)
		return
	}
	span.SetAttributes(attribute.String("chicorymast.route", string(in.route)))
	ctx, cancel := context.WithTimeout(ctx, p.timeout(r, in))
	defer cancel()
	if p.passThrough() {
		p.run(ctx, w, r, in, began)
		return
	}
	if !in.recorded() {
		if p.chargeOrRefuse(ctx, w, in, began) {
			p.run(ctx, w, r, in, began)
		}
		return
	}
	p.runOnce(ctx, w, r, in, began)
}

// check determines the route, the workspace and the grant of a request, and
// buffers the start of its body. A request that it refuses has not run.
func (p *Proxy) check(w http.ResponseWriter, r *http.Request) (*admitted, *fault.Refusal) {
	if p.opt.Board.Freshness.Read().AsOf.IsZero() {
		return nil, fault.Refuse(fault.ReasonConfigurationStale, "this daemon has just started and has no configuration yet")
	}
	in := &admitted{config: p.opt.Board.Config.Read()}
	if in.config.State.ConfirmedAt == 0 {
		return nil, fault.Refuse(fault.ReasonConfigurationStale, "no configuration has been confirmed yet")
	}
	name, ok := findRoute(in.config, r)
	in.route, in.spec = name, in.config.State.Intent.Routes[name]
	if !ok || in.spec.Internal {
		return nil, fault.Refuse(fault.ReasonNoRoute, "no route for %s %s", r.Method, r.URL.Path)
	}
	if refusal := p.authorise(r, in); refusal != nil {
		return nil, refusal
	}
	if refusal := p.checkFresh(in.spec); refusal != nil {
		return nil, refusal
	}
	in.action = ident.ActionID(r.Header.Get(p.opt.Dialect.Action))
	if in.recorded() && in.action == "" {
		return nil, fault.Refuse(fault.ReasonIdempotencyKeyMissing, "route %s runs at most once and needs an %s", name, p.opt.Dialect.Action)
	}
	p.pace(w, r)
	body, err := readPayload(r, p.opt.Config().Calls.ReplayLimit, in.config.State.Intent.RouteBodyLimit(in.spec))
	if err != nil {
		return nil, asRefusal(err)
	}
	in.body = body
	in.service = p.fleet.share(in.route, in.spec.Services())
	p.tie(r, in)
	return in, nil
}

// pace limits the time between two reads of the request body.
func (p *Proxy) pace(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	r.Body = pacedBody{Reader: r.Body, control: http.NewResponseController(w), patient: p.opt.Config().Calls.ProgressTimeout}
}

func (p *Proxy) authorise(r *http.Request, in *admitted) *fault.Refusal {
	key, shown := p.key(r)
	holder, known := ident.Workspace(""), false
	if shown {
		holder, known = in.config.KeyWorkspace(ident.DigestKey(key), p.opt.Clock.Now())
	}
	if in.spec.Open || len(in.config.State.Intent.Workspaces) == 0 {
		in.workspace = holder
		return nil
	}
	if !shown {
		return fault.Refuse(fault.ReasonKeyMissing, "show a key as Authorization: %s KEY", p.opt.Dialect.KeyScheme)
	}
	if !known {
		return fault.Refuse(fault.ReasonKeyUnknown, "the key is unknown, withdrawn or expired")
	}
	in.workspace = holder
	if _, _, granted := in.config.Grant(holder, in.route); !granted {
		return fault.Refuse(fault.ReasonNoGrant, "workspace %s may not call route %s", holder, in.route)
	}
	return nil
}

// key returns the API key in the Authorization header.
func (p *Proxy) key(r *http.Request) (key string, ok bool) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, p.opt.Dialect.KeyScheme) && key != ""
}

// checkFresh refuses the request if the configuration has not been confirmed
// as current for longer than the grace period of such routes.
func (p *Proxy) checkFresh(spec intent.RouteSpec) *fault.Refusal {
	age := p.opt.Board.Freshness.Read().Age(p.opt.Clock.Now())
	if age <= p.opt.Config().CutOff.Grace(spec.Idempotent, spec.Class) {
		return nil
	}
	return fault.Refuse(fault.ReasonConfigurationStale, "the configuration could not be confirmed as current for %s", age.Round(time.Second))
}

// timeout returns the timeout of the route, or the caller's if it is shorter.
func (p *Proxy) timeout(r *http.Request, in *admitted) time.Duration {
	limit := in.config.State.Intent.RouteTimeout(in.spec)
	left, ok := p.opt.Dialect.TimeLeft(r.Header)
	if !ok || left > limit {
		return limit
	}
	return left
}

// chargeOrRefuse charges the call to its grant. If that fails it responds with
// a refusal and reports false.
func (p *Proxy) chargeOrRefuse(ctx context.Context, w http.ResponseWriter, in *admitted, began time.Time) bool {
	refusal, wait := p.charge(ctx, in)
	if refusal == nil {
		return true
	}
	p.refuseEntry(w, in.route, refusal, wait, began)
	return false
}

func (p *Proxy) charge(ctx context.Context, in *admitted) (*fault.Refusal, time.Duration) {
	if in.spec.Open {
		return nil, 0
	}
	in.share = p.intake.share(in.route, in.standing())
	if p.draw() >= in.share {
		return p.refuseInflow(in, remaining(ctx, p.opt.Clock.Now()))
	}
	if in.workspace == "" {
		return nil, 0 // no workspaces are configured, so there are no keys or grants
	}
	name, grant, ok := in.config.Grant(in.workspace, in.route)
	if !ok {
		return fault.Refuse(fault.ReasonNoGrant, "workspace %s may not call route %s", in.workspace, in.route), 0
	}
	if grant.Rate == 0 {
		return nil, 0
	}
	wait, err := p.opt.Quota.Charge(ctx, name)
	if err != nil {
		return chargeRefusal(err), 0
	}
	if wait > 0 {
		return fault.Refuse(fault.ReasonOverRate, "grant %s allows %v calls per second, burst %v", name, grant.Rate, grant.Burst), wait
	}
	in.charged = name
	return nil, 0
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
func (p *Proxy) refund(in *admitted, r *fault.Refusal) {
	if in.charged != "" && r.NotRun {
		p.opt.Quota.Refund(in.charged)
	}
}

// runOnce claims an action, and runs it or responds according to the verdict.
func (p *Proxy) runOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, in *admitted, began time.Time) {
	id := dedup.ID{Workspace: in.workspace, Action: in.action}
	run := p.opt.Records.Begin(ctx, id, fingerprint(r, in), remaining(ctx, p.opt.Clock.Now()))
	switch v := run.Verdict.(type) {
	case dedup.Run:
		p.runFirst(ctx, w, r, in, run, began)
	case dedup.Replay:
		p.replay(w, in, v.Response, began)
	default:
		p.refuseEntry(w, in.route, refuseVerdict(v), 0, began)
	}
}

// refuseVerdict returns the refusal for a verdict that neither runs the action
// nor replays its response.
func refuseVerdict(v dedup.Verdict) *fault.Refusal {
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

func (p *Proxy) runFirst(ctx context.Context, w http.ResponseWriter, r *http.Request, in *admitted, run *record.Claim, began time.Time) {
	if refusal, wait := p.charge(ctx, in); refusal != nil {
		p.opt.Records.End(run, "", dedup.Response{})
		p.refuseEntry(w, in.route, refusal, wait, began)
		return
	}
	// The action continues if the caller disconnects, so that its outcome is recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining(ctx, p.opt.Clock.Now()))
	defer cancel()
	answer, _, refusal := p.dispatch(ctx, p.outbound(r, in))
	if refusal != nil {
		p.endRefused(run, in, refusal)
		p.refuseEntry(w, in.route, refusal, 0, began)
		return
	}
	p.keep(run, answer)
	p.write(w, in.route, answer, began)
}

func (p *Proxy) endRefused(run *record.Claim, in *admitted, r *fault.Refusal) {
	p.refund(in, r)
	if r.NotRun {
		p.opt.Records.End(run, "", dedup.Response{})
		return
	}
	p.opt.Records.End(run, dedup.PhaseUnknown, dedup.Response{})
	p.opt.Log.Emit(event.ActionOutcomeUnknown, zap.String("route", string(in.route)), zap.String("reason", string(r.Reason)))
}

// keep records the response to an action before it is sent to the caller. An
// action that was proved not to have run is released instead.
func (p *Proxy) keep(run *record.Claim, a *answered) {
	if a.header.Get(header.NotRun) == "true" {
		p.opt.Records.End(run, "", dedup.Response{})
		return
	}
	h := http.Header{}
	copyHeader(h, a.header)
	p.opt.Records.End(run, dedup.PhaseDone, dedup.Response{Stored: a.rest == nil, Status: a.status, Header: h, Body: a.whole})
}

func (p *Proxy) replay(w http.ResponseWriter, in *admitted, a dedup.Response, began time.Time) {
	if !a.Stored {
		refusal := fault.Failed(fault.ReasonActionDone, "the action was run; its answer was too large to be kept")
		p.refuseEntry(w, in.route, refusal, 0, began)
		return
	}
	p.opt.Metrics.replays.Inc()
	h := http.Header(a.Header).Clone()
	h.Set(header.IdempotencyReplayed, "true")
	p.write(w, in.route, &answered{status: a.Status, header: h, whole: a.Body, length: int64(len(a.Body))}, began)
}

func fingerprint(r *http.Request, in *admitted) dedup.Fingerprint {
	h := sha256.New()
	h.Write([]byte(r.Method + " " + r.URL.RequestURI() + "\n" + strconv.FormatInt(in.body.length, 10) + "\n"))
	h.Write(in.body.head)
	return dedup.Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

func (p *Proxy) run(ctx context.Context, w http.ResponseWriter, r *http.Request, in *admitted, began time.Time) {
	answer, refusal := p.send(ctx, p.outbound(r, in), in.parent)
	if refusal != nil {
		p.refund(in, refusal)
		p.refuseEntry(w, in.route, refusal, 0, began)
		return
	}
	p.write(w, in.route, answer, began)
}

func (p *Proxy) outbound(r *http.Request, in *admitted) *outbound {
	action := in.action
	if action == "" {
		action = ident.ActionID(p.newToken())
	}
	h := r.Header.Clone()
	header.StripInbound(h)
	h.Set("Host", r.Host)
	if p.opt.Dialect.ForwardedFor {
		addForwarded(h, r)
	}
	return &outbound{
		call: header.Call{
			Action:             action,
			Workspace:          in.workspace,
			Route:              in.route,
			Service:            in.service,
			Caller:             p.opt.Config().Daemon.Service,
			WorkspaceTier:      in.standing().WorkspaceTier,
			Class:              in.standing().Class,
			Rank:               rankOf(in.workspace, action),
			Nested:             in.inner(),
			AdmittedShare:      in.letIn(),
			FairShareWorkspace: in.payer(),
			Idempotent:         in.spec.Idempotent,
			Depth:              1,
			Retries:            in.retries(),
		},
		method: r.Method,
		url:    r.URL,
		header: h,
		body:   in.body,
		print:  printOf(r, in.body),
	}
}

// printOf returns the fingerprint of a request's content, which is independent
// of the sender.
func printOf(r *http.Request, body *payload) poison.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = d.Write(body.head)
	return poison.Fingerprint(strconv.FormatUint(d.Sum64(), 36))
}

// rankOf returns the rank of an action, a hash that is the same on all daemons.
func rankOf(w ident.Workspace, a ident.ActionID) admit.Rank {
	return admit.Rank(xxhash.Sum64String(string(w) + "\x00" + string(a)))
}

func addForwarded(h http.Header, r *http.Request) {
	host, _, ok := strings.Cut(r.RemoteAddr, ":")
	if ok && strings.Count(r.RemoteAddr, ":") == 1 {
		h.Set("X-Forwarded-For", host)
	}
}

// write sends a response to the caller. If the body ends early the connection
// is aborted, so that the caller does not take the response for a complete one.
func (p *Proxy) write(w http.ResponseWriter, name ident.Route, a *answered, began time.Time) {
	copyHeader(w.Header(), a.header)
	p.opt.Metrics.call("entry", name, strconv.Itoa(a.status), p.opt.Clock.Now().Sub(began))
	if a.rest == nil {
		if a.length >= 0 && w.Header().Get("Content-Length") == "" && len(a.whole) > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(a.whole)))
		}
		w.WriteHeader(a.status)
		_, _ = w.Write(a.whole)
		return
	}
	defer a.rest.Close()
	w.WriteHeader(a.status)
	err := stream(w, a.rest, a.length)
	a.finish(err)
	if err != nil {
		p.opt.Log.Emit(event.AnswerIncomplete, zap.String("route", string(name)), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

func (p *Proxy) refuseEntry(w http.ResponseWriter, name ident.Route, r *fault.Refusal, wait time.Duration, began time.Time) {
	p.opt.Metrics.refused("entry", r.Reason)
	p.opt.Metrics.call("entry", name, strconv.Itoa(HTTPStatus(r)), p.opt.Clock.Now().Sub(began))
	WriteProblem(w, p.opt.Dialect, r, wait)
}
