package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/quota"
	"chicorymast/core/route"
	"chicorymast/core/sample"
	"chicorymast/io/event"
	"chicorymast/io/header"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// subject identifies a request in the lines about decisions.
type subject struct {
	// request is the caller's id, or one of this daemon where the caller sent none;
	// parent is that of the call for which an upstream made this one.
	request, parent ident.ActionID
	route           ident.Route
	service         ident.Service
	priority        ident.Priority
}

func (s subject) key(reason string) sample.Key {
	return sample.Key{Reason: reason, Route: s.route, Service: s.service}
}

func (s subject) fields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(s.request)), zap.String("route", string(s.route)), zap.String("service", string(s.service)),
		zap.Int("workspace_tier", s.priority.WorkspaceTier), zap.String("class", string(s.priority.Class)),
	}
	if s.parent != "" {
		fields = append(fields, zap.String("parent", string(s.parent)))
	}
	return fields
}

func (in *incomingCall) subject() subject {
	s := subject{request: in.action, route: in.route, service: in.service}
	if in.parent != nil {
		s.parent = in.parent.call.Action
	}
	if in.config != nil {
		s.priority = in.priority()
	}
	return s
}

func (o *outboundCall) subject() subject {
	return subject{request: o.call.Action, parent: o.parent, route: o.call.Route, service: o.call.Service, priority: o.call.Priority()}
}

func callSubject(c header.Call) subject {
	return subject{request: c.Action, route: c.Route, service: c.Service, priority: c.Priority()}
}

// noInputs stands for a decision that the other fields of its line explain.
func noInputs() []zap.Field { return nil }

// inputAge is the age of the newest input of a decision, in every line that has one.
func inputAge(age time.Duration) zap.Field {
	return zap.Int64("input_age_ms", age.Milliseconds())
}

func (p *Proxy) noteRefused(s subject, r *fault.Refusal, wait time.Duration, start time.Time, inputs func() []zap.Field) {
	p.opt.Trail.Note(event.RequestRefused, s.key(string(r.Reason)), func() []zap.Field {
		fields := append(s.fields(), refusalFields(r)...)
		fields = append(fields, zap.Int64("retry_after_ms", wait.Milliseconds()),
			zap.Int64("elapsed_ms", p.opt.Clock.Now().Sub(start).Milliseconds()),
			zap.Uint64("revision", uint64(p.opt.Board.Config.Read().State.Revision)))
		return append(fields, inputs()...)
	})
}

func refusalFields(r *fault.Refusal) []zap.Field {
	return []zap.Field{
		zap.String("reason", string(r.Reason)), zap.String("detail", r.Detail),
		zap.Int("status", HTTPStatus(r)), zap.Bool("not_run", r.NotRun),
	}
}

func (p *Proxy) freshnessInputs() []zap.Field {
	f := p.opt.Board.Freshness.Read()
	if f.AsOf.IsZero() {
		return []zap.Field{zap.Bool("confirmed", false)}
	}
	return []zap.Field{inputAge(f.Age(p.opt.Clock.Now())), zap.String("input_from", string(f.Source))}
}

// sheddingInputs explains a refusal at the entry: what the services of the call tree
// ask for, and the newest daemon that reported it.
func (p *Proxy) sheddingInputs(in *incomingCall) []zap.Field {
	now := p.opt.Clock.Now()
	inputs := p.entryAdmission.inputs(now, in.route)
	fields := []zap.Field{zap.Float64("admitted_share", in.entryShare), zap.Objects("asked_by", inputs)}
	if accepted := p.entryAdmission.acceptanceInputs(now, in.route); len(accepted) > 0 {
		fields = append(fields, zap.Any("accepted", accepted))
	}
	if len(inputs) == 0 {
		return fields
	}
	newest := inputs[0].Age
	for _, i := range inputs {
		newest = min(newest, i.Age)
	}
	return append(fields, inputAge(newest))
}

func (c costInput) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("service", string(c.Service))
	enc.AddFloat64("refuse_share", c.RefuseShare)
	enc.AddFloat64("slot_seconds", c.SlotSeconds)
	enc.AddInt64("age_ms", c.Age.Milliseconds())
	enc.AddString("from", string(c.from))
	return nil
}

func (p *Proxy) grantInputs(g ident.Grant) func() []zap.Field {
	return func() []zap.Field {
		i := p.opt.Quota.Inputs(g)
		fields := []zap.Field{
			zap.Float64("tokens", i.Tokens), zap.Float64("demand_per_second", i.Demand), zap.Int64("backoff_ms", i.Backoff.Milliseconds()),
			zap.String("owner", string(i.Owner)), zap.String("owner_data_centre", string(i.OwnerDataCentre)),
			zap.String("last_reply", string(i.LastReply)),
		}
		if i.LastReply == quota.ReplyNone {
			return fields
		}
		return append(fields, inputAge(i.ReplyAge), zap.String("input_from", string(i.ReplyFrom)))
	}
}

// dispatchInputs explains why a call that was dispatched has failed: the attempts, and
// the VMs that it could go to.
func (p *Proxy) dispatchInputs(ctx context.Context, o *outboundCall) func() []zap.Field {
	return func() []zap.Field {
		now := p.opt.Clock.Now()
		candidates := p.router.status(o.call.Service)
		return []zap.Field{
			zap.Int64("deadline_left_ms", remaining(ctx, now).Milliseconds()), zap.Int("attempts", o.attempts),
			zap.Int("candidates", len(candidates)),
			zap.Objects("first_candidates", candidateLines(candidates[:min(len(candidates), maxLoggedCandidates)])),
		}
	}
}

// maxLoggedCandidates bounds the length of a line.
const maxLoggedCandidates = 4

func candidateLines(list []route.Status) (lines []candidateLine) {
	for _, s := range list {
		lines = append(lines, candidateLine(s))
	}
	return lines
}

type candidateLine route.Status

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c candidateLine) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("vm", string(c.VM))
	enc.AddInt("outstanding", c.Outstanding)
	enc.AddInt("running", c.Reported.Running)
	enc.AddInt("waiting", c.Reported.Waiting)
	enc.AddInt("limit", c.Reported.Limit)
	enc.AddFloat64("limit_per_second", float64(c.Reported.RateLimit))
	enc.AddFloat64("rate_use", c.Reported.RateUse)
	enc.AddInt64("age_ms", c.ReportAge.Milliseconds())
	enc.AddInt64("ejected_ms", c.EjectedFor.Milliseconds())
	return nil
}

// noteAttempt logs whether a failed attempt is followed by another one.
func (p *Proxy) noteAttempt(ctx context.Context, o *outboundCall, vm route.Candidate, a attempt, sent time.Time, retries int, d retryDecision) {
	reason := attemptReason(a)
	if reason == "" {
		return
	}
	id := event.CallNotRetried
	if d == retryAgain {
		id = event.CallRetried
	}
	p.opt.Trail.Note(id, o.subject().key(reason+"/"+string(d)), func() []zap.Field {
		now := p.opt.Clock.Now()
		fields := append(o.subject().fields(), zap.String("to", string(vm.VM)), zap.String("to_data_centre", string(vm.DataCentre)),
			zap.String("reason", reason), zap.String("why", string(d)), zap.Int("attempt", o.attempts),
			zap.Int64("took_ms", now.Sub(sent).Milliseconds()), zap.Int64("deadline_left_ms", remaining(ctx, now).Milliseconds()),
			zap.Int("retries_left", retries), zap.Float64("service_retries_left", p.router.retryCredit(o.call.Service)))
		if a.refusal != nil {
			return append(fields, zap.Bool("not_run", a.refusal.NotRun), zap.String("detail", a.refusal.Detail))
		}
		return append(fields, zap.Bool("not_run", a.response.header.Get(header.NotRun) == "true"))
	})
}

// attemptReason returns why an attempt failed, empty for a success.
func attemptReason(a attempt) string {
	switch {
	case a.refusal != nil:
		return string(a.refusal.Reason)
	case a.response.header.Get(header.NotRun) == "true":
		return "upstream_shed"
	case a.response.status >= http.StatusInternalServerError:
		return "upstream_error"
	}
	return ""
}

func (p *Proxy) noteSpill(o *outboundCall, vm route.Candidate, s route.Spill) {
	if s.LocalVM == "" {
		return
	}
	p.opt.Trail.Note(event.PlacedElsewhere, o.subject().key("own_data_centre_full"), func() []zap.Field {
		return append(o.subject().fields(), zap.String("to", string(vm.VM)), zap.String("to_data_centre", string(vm.DataCentre)),
			zap.Float64("load", s.Load), zap.String("local_vm", string(s.LocalVM)), zap.Float64("local_load", s.LocalLoad),
			inputAge(s.LocalReportAge), zap.String("input_from", string(s.LocalVM)))
	})
}

// noteSilent logs that a data centre is avoided since its VMs are silent.
func (p *Proxy) noteSilent(o *outboundCall, vm route.Candidate, blocked bool) {
	if !blocked {
		return
	}
	p.opt.Trail.Note(event.DataCentreSilent, sample.Key{Reason: "silent/" + string(vm.DataCentre)}, func() []zap.Field {
		return append(o.subject().fields(), zap.String("to", string(vm.VM)), zap.String("to_data_centre", string(vm.DataCentre)))
	})
}

func (p *Proxy) noteEjected(o *outboundCall, vm ident.VM, r *fault.Refusal, d time.Duration) {
	if d == 0 || r == nil {
		return
	}
	p.opt.Trail.Note(event.VMEjected, o.subject().key(string(r.Reason)), func() []zap.Field {
		return append(o.subject().fields(), zap.String("to", string(vm)), zap.Int64("ejected_ms", d.Milliseconds()),
			zap.String("reason", string(r.Reason)), zap.String("detail", r.Detail))
	})
}

// minLoggedWait is the shortest wait for a slot that is logged; below it, waiting
// hardly changes when a caller gets its response.
const minLoggedWait = 20 * time.Millisecond

func (p *Proxy) noteQueued(call header.Call, waited time.Duration) {
	if waited < minLoggedWait {
		return
	}
	s := callSubject(call)
	p.opt.Trail.Note(event.CallQueued, s.key("waited"), func() []zap.Field {
		return append(append(s.fields(), zap.Int64("waited_ms", waited.Milliseconds())), p.upstreamFields(call)...)
	})
}

// noteCallRefused logs the refusal of a call beside its upstream.
func (p *Proxy) noteCallRefused(from string, call header.Call, r *fault.Refusal) {
	s := callSubject(call)
	p.opt.Trail.Note(event.CallRefused, s.key(string(r.Reason)), func() []zap.Field {
		fields := append(append(s.fields(), refusalFields(r)...), zap.String("from", hostOf(from)))
		return append(fields, p.upstreamFields(call)...)
	})
}

// upstreamFields describes the upstream on this VM, as its admission controller sees
// it at this moment.
func (p *Proxy) upstreamFields(call header.Call) []zap.Field {
	st := p.admission.status(p.opt.Clock.Now())
	u := p.opt.Board.Upstream.Read()
	return []zap.Field{
		zap.String("upstream", string(u.ID)), zap.String("upstream_phase", string(u.Phase)), zap.Int("depth", call.Depth),
		zap.Int("running", st.Running), zap.Int("waiting", st.Waiting), zap.Int("limit", st.Limit), zap.Int("slots", st.Slots),
		zap.Float64("limit_per_second", float64(st.RateLimit)),
		zap.Float64("refuse_share", st.RefuseShare), zap.Int64("mean_hold_ms", st.MeanHold.Milliseconds()),
		zap.Int64("timeout_ms", call.TimeoutMs),
	}
}

func (p *Proxy) noteNestedFailure(call header.Call, status int, held time.Duration) {
	s := callSubject(call)
	p.opt.Trail.Note(event.NestedCallFailed, s.key("nested_call_failed"), func() []zap.Field {
		return append(s.fields(), zap.Int("status", status), zap.Int64("held_ms", held.Milliseconds()),
			zap.String("upstream", string(p.opt.Board.Upstream.Read().ID)), zap.Int("depth", call.Depth))
	})
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// contextRetryDecision returns why a call whose context has ended is not sent again.
func contextRetryDecision(ctx context.Context) retryDecision {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return retryTimeUp
	}
	return retryCallerLeft
}
