// Package trace creates OpenTelemetry spans for each hop of a call and
// propagates the W3C trace context between callers, daemons and upstreams.
//
// # Usage
//
//	tr, err := trace.Open(cfg.Trace, vm)
//	ctx, span := tr.Start(trace.Extract(r), "serve")
//	trace.Inject(ctx, out.Header, token)
//	defer span.End()
//
// On requests to an upstream, the tracestate member "chicorymast" holds a random
// token that identifies the call at the daemon on the same VM. An upstream that
// propagates the trace context, as the W3C recommendation requires, sends the
// token with its nested calls, by which the daemon finds their parent.
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

const tracestateKey = "chicorymast"

var propagator = propagation.TraceContext{}

// Tracer creates and exports spans.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// Open returns a tracer with the exporter that cfg selects, if any. It returns an
// error if the export file can't be opened.
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

// Close exports the remaining spans and closes the file. Errors are ignored.
func (t *Tracer) Close(ctx context.Context) {
	_ = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
}

// Start starts a span, as a child of the one in ctx if there is one.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Exports reports whether spans go anywhere. Without an exporter they serve only to pass on a
// trace context.
func (t *Tracer) Exports() bool {
	return t.file != nil
}

// None returns a span that does nothing.
func None() trace.Span {
	return trace.SpanFromContext(context.Background())
}

// Extract returns the request's context with the trace context of its headers.
func Extract(r *http.Request) context.Context {
	return propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// Inject sets the trace context in the headers of a request. If token is not
// empty it becomes the tracestate member "chicorymast", else the member is
// removed.
func Inject(ctx context.Context, h http.Header, token string) {
	sc := trace.SpanContextFromContext(ctx)
	state := sc.TraceState().Delete(tracestateKey)
	if token != "" {
		if updated, err := state.Insert(tracestateKey, token); err == nil {
			state = updated
		}
	}
	h.Del("Tracestate")
	ctx = trace.ContextWithSpanContext(ctx, sc.WithTraceState(state))
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// CallToken returns the token that an upstream propagated, or an empty string.
func CallToken(ctx context.Context) string {
	return trace.SpanContextFromContext(ctx).TraceState().Get(tracestateKey)
}
