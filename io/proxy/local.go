package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/header"
	"chicorymast/io/trace"

	"go.opentelemetry.io/otel/attribute"
)

// UpstreamPath is the URL path at which the upstream on this VM announces itself.
const UpstreamPath = "/-/upstream"

// Announcement is sent by an upstream to announce itself and to renew its lease.
type Announcement struct {
	Service    ident.Service  `json:"service"`
	Upstream   ident.Upstream `json:"upstream"`
	Address    string         `json:"address"`
	Slots      int            `json:"slots"`
	HealthPath string         `json:"health_path,omitempty"`
	LoadPath   string         `json:"load_path,omitempty"`
	// Draining is set if the upstream takes no new calls.
	Draining bool `json:"draining,omitempty"`
	// StartedMs is the start time of the upstream process in Unix milliseconds,
	// and Sequence grows with each of its announcements. With them, the daemon
	// ignores announcements that arrive out of order; without them, the last
	// one to arrive counts.
	StartedMs int64  `json:"started_ms,omitempty"`
	Sequence  uint64 `json:"sequence,omitempty"`
	// WarmupMs is the remaining time in which the upstream is slow after its start.
	WarmupMs int64 `json:"cold_ms,omitempty"`
}

// Lease is the response to an announcement, which must be renewed before the
// lease expires.
type Lease struct {
	LeaseMs int64 `json:"lease_ms"`
}

// UpstreamRegistry is notified of the state of the upstream on this VM.
type UpstreamRegistry interface {
	Announce(a Announcement) (lease time.Duration, err error)
	Drain()
	// Deregister ends the lease of an upstream; an empty id means any.
	Deregister(u ident.Upstream)
}

// LocalHandler returns the handler for the upstream on this VM: its announcements
// and the calls that it makes to other services.
func (p *Proxy) LocalHandler(registry UpstreamRegistry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+UpstreamPath, func(w http.ResponseWriter, r *http.Request) { p.announce(w, r, registry) })
	mux.HandleFunc("DELETE "+UpstreamPath, func(w http.ResponseWriter, _ *http.Request) {
		registry.Deregister("")
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+UpstreamPath+"/drain", func(w http.ResponseWriter, _ *http.Request) {
		registry.Drain()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", p.serveEgress)
	return mux
}

func (p *Proxy) announce(w http.ResponseWriter, r *http.Request, registry UpstreamRegistry) {
	const maxBytes = 16 << 10
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		WriteProblem(w, p.opt.Dialect, fault.Refuse(fault.ReasonBadRequest, "announcement: %v", err), 0)
		return
	}
	if refusal := ValidateAnnouncement(a); refusal != nil {
		WriteProblem(w, p.opt.Dialect, refusal, 0)
		return
	}
	lease, err := registry.Announce(a)
	if err != nil {
		WriteProblem(w, p.opt.Dialect, asRefusal(err), 0)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Lease{LeaseMs: lease.Milliseconds()})
}

// Bounds of announcements. What is above them comes from a faulty writer.
const (
	// maxExactInteger is the largest integer that all JSON implementations keep exactly.
	maxExactInteger = 1 << 53
	// maxWarmup is the longest warm-up time of an upstream.
	maxWarmup = time.Hour
	// maxNameLength is the longest name of an upstream, in bytes.
	maxNameLength = 256
)

// ValidateAnnouncement returns a refusal if an announcement is invalid.
func ValidateAnnouncement(a Announcement) *fault.Refusal {
	switch {
	case a.Service == "" || a.Upstream == "":
		return fault.Refuse(fault.ReasonBadRequest, "announcement: service and upstream are needed")
	case len(a.Upstream) > maxNameLength:
		return fault.Refuse(fault.ReasonBadRequest, "announcement: the name of the upstream is longer than %d bytes", maxNameLength)
	case a.Slots < 1 || a.Slots > member.MaxSlots:
		return fault.Refuse(fault.ReasonBadRequest, "announcement: slots must be from 1 to %d", member.MaxSlots)
	case a.WarmupMs < 0 || a.WarmupMs > maxWarmup.Milliseconds():
		return fault.Refuse(fault.ReasonBadRequest, "announcement: the warm-up time must be from 0 to %s", maxWarmup)
	case a.Sequence > maxExactInteger:
		return fault.Refuse(fault.ReasonBadRequest, "announcement: sequence is above %d", uint64(maxExactInteger))
	case a.StartedMs < 0:
		return fault.Refuse(fault.ReasonBadRequest, "announcement: the start time is negative")
	}
	return validateAddress(a.Address)
}

func validateAddress(address string) *fault.Refusal {
	ap, err := netip.ParseAddrPort(address)
	addr := ap.Addr()
	switch {
	case err != nil || ap.Port() == 0:
		return fault.Refuse(fault.ReasonBadRequest, "announcement: address %q is not IP:port", address)
	case addr.IsUnspecified() || addr.IsMulticast() || addr.Zone() != "":
		return fault.Refuse(fault.ReasonBadRequest, "announcement: address %q is not that of one upstream", address)
	}
	return nil
}

// serveEgress dispatches a nested call of the upstream. A call without a known
// parent is handled like one from any caller.
func (p *Proxy) serveEgress(w http.ResponseWriter, r *http.Request) {
	ctx := trace.Extract(r)
	parent := p.calls.find(trace.CallToken(ctx))
	if parent == nil {
		p.serveEntry(w, r)
		return
	}
	p.running.Add(1)
	defer p.running.Add(-1)
	start := p.opt.Clock.Now()
	ctx, span := p.opt.Tracer.Start(ctx, "egress", attribute.Int("chicorymast.depth", parent.call.Depth+1))
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, parent.deadline)
	defer cancel()
	o, refusal := p.newNestedCall(w, r, parent)
	if refusal != nil {
		p.refuseCaller(w, subject{parent: parent.call.Action}, refusal, 0, start, noInputs)
		return
	}
	resp, refusal := p.send(ctx, o, parent)
	if refusal != nil {
		p.refuseCaller(w, o.subject(), refusal, 0, start, p.dispatchInputs(ctx, o))
		return
	}
	p.writeResponse(w, o.call.Route, resp, start)
}

// send dispatches a call. A nested call takes its retries from the budget of the
// parent, and its duration is not part of the parent's self time.
func (p *Proxy) send(ctx context.Context, o *outboundCall, parent *servedCall) (*response, *fault.Refusal) {
	if parent == nil {
		resp, _, refusal := p.dispatch(ctx, o)
		return resp, refusal
	}
	o.served = parent
	w := p.admission.warmup
	w.nestedMade.Add(1)
	w.nestedRunning.Add(1)
	defer w.nestedRunning.Add(-1)
	lent := parent.lendRetries(p.opt.Clock.Now())
	o.call.Retries = min(o.call.Retries, lent)
	reserved := lent - o.call.Retries
	resp, retries, refusal := p.dispatch(ctx, o)
	parent.settleRetries(p.opt.Clock.Now(), lent, reserved+retries.unspentRetries, refusal != nil || retries.nestedFailure)
	return resp, refusal
}

// newNestedCall returns a nested call. It has the workspace, the rank and the
// deadline of its parent, and the higher of the classes of both.
func (p *Proxy) newNestedCall(w http.ResponseWriter, r *http.Request, parent *servedCall) (*outboundCall, *fault.Refusal) {
	var config *board.Config
	var name ident.Route
	refusal := p.refuseIfCertain(r, func() *fault.Refusal {
		config = p.opt.Board.Config.Read()
		var ok bool
		if name, ok = findRoute(config, r); !ok {
			return fault.Refuse(fault.ReasonNoRoute, "no route for %s %s", r.Method, r.URL.Path)
		}
		return nil
	})
	if refusal != nil {
		return nil, refusal
	}
	spec := config.State.Intent.Routes[name]
	p.limitReadPauses(w, r)
	body, err := readPayload(r, p.opt.Config().Calls.ReplayLimit, config.State.Intent.RouteBodyLimit(spec))
	if err != nil {
		return nil, p.unlessUnconfirmed(asRefusal(err))
	}
	call := parent.call
	call.Retries = config.State.Intent.Limits.Retries
	call.Route, call.Service = name, p.router.chooseService(name, spec.Services())
	call.Caller = p.opt.Config().Daemon.Service
	call.Idempotent = spec.Idempotent
	call.Nested = true
	call.FairShareWorkspace = parent.call.FairShareWorkspace
	call.Depth++
	if spec.Class.Above(call.Class) {
		call.Class = spec.Class
	}
	h := header.FromCaller(r.Header)
	p.opt.Dialect.DeleteUpstream(h)
	p.entryAdmission.recordNestedCall(parent.call.Route, name)
	return &outboundCall{
		call: call, parent: parent.call.Action, vmLimit: spec.Attempts, method: r.Method, url: r.URL, host: r.Host, header: h,
		body: body,
	}, nil
}
