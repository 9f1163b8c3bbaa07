// Package trace makes a span for every hop of a call and carries the W3C
// trace context through callers, daemons and upstreams.
//
// # Usage
//
//	tr, err := trace.Open(cfg.Trace, vm)
//	ctx, span := tr.Start(trace.Extract(r), "serve")
//	trace.Inject(ctx, out.Header, token)
//	defer span.End()
//
// The tracestate member "chicorymast" holds a random token that names the
// call at the daemon beside the upstream. An upstream that passes the trace
// context on, as W3C asks, thereby ties its own calls to that call.
package trace

import (
	"context"
	"net/http"
	"os"

	"chicorymast/config"
	"chicorymast/core/fault"
	"chicorymast/core/ident"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const stateKey = "chicorymast"

var propagator = propagation.TraceContext{}

// Tracer makes spans.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// Open returns a tracer that exports as the settings say.
func Open(cfg config.Trace, vm ident.VM) (t *Tracer, err error) {
	defer fault.Note(&err, "open tracer")
	options := []sdk.TracerProviderOption{
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(cfg.Sample))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "chicorymast"), attribute.String("host.name", string(vm)))),
	}
	t = &Tracer{}
	if cfg.Exporter == config.ExporterFile {
		const ownerOnly = 0o600
		t.file, err = os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, ownerOnly)
		if err != nil {
			return nil, err
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(t.file))
		if err != nil {
			return nil, err
		}
		options = append(options, sdk.WithBatcher(exporter))
	}
	t.provider = sdk.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("chicorymast")
	return t, nil
}

// Close writes what is left.
func (t *Tracer) Close(ctx context.Context) {
	_ = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
}

// Start begins a span.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Extract returns a context with the trace context of a request.
func Extract(r *http.Request) context.Context {
	return propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// Inject writes the trace context to a request's header. A token, if given,
// becomes the tracestate member of ours; without one the member is removed.
func Inject(ctx context.Context, h http.Header, token string) {
	sc := trace.SpanContextFromContext(ctx)
	state := sc.TraceState().Delete(stateKey)
	if token != "" {
		if with, err := state.Insert(stateKey, token); err == nil {
			state = with
		}
	}
	h.Del("Tracestate")
	ctx = trace.ContextWithSpanContext(ctx, sc.WithTraceState(state))
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// CallToken returns the token that an upstream passed on, or nothing.
func CallToken(ctx context.Context) string {
	return trace.SpanContextFromContext(ctx).TraceState().Get(stateKey)
}
