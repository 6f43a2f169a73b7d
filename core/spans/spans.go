// Package spans sets up tracing, with one span for each hop of a request, and
// propagates the trace context between processes.
package spans

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	mn "mustardnotch"
)

const traceparent = "traceparent"

// Provider creates tracers. Closing it flushes their spans.
type Provider struct {
	trace.TracerProvider
	close func(ctx context.Context) error
}

// New returns a provider for the process on vm. exporter is "none" or empty,
// "file" with a file name as target, or "otlp" with a URL as target. Without an
// exporter the tracers are no-ops.
func New(ctx context.Context, exporter, target string, vm mn.VMID) (*Provider, error) {
	switch exporter {
	case "", "none":
		return &Provider{TracerProvider: noop.NewTracerProvider(), close: func(context.Context) error { return nil }}, nil
	case "file":
		return newFileProvider(target, vm)
	case "otlp":
		exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target))
		if err != nil {
			return nil, fmt.Errorf("otlp exporter to %q: %w", target, err)
		}
		return newSDKProvider(exp, vm, func() error { return nil }), nil
	}
	return nil, mn.Errorf(mn.BadSetting, "trace exporter %q: want none, file or otlp", exporter)
}

func newFileProvider(name string, vm mn.VMID) (*Provider, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("trace file: %w", err)
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, err
	}
	return newSDKProvider(exp, vm, f.Close), nil
}

func newSDKProvider(exp sdk.SpanExporter, vm mn.VMID, closeOutput func() error) *Provider {
	res := resource.NewSchemaless(attribute.String("service.name", "mustardnotch"), attribute.String("service.instance.id", string(vm)))
	tp := sdk.NewTracerProvider(sdk.WithBatcher(exp), sdk.WithResource(res))
	return &Provider{TracerProvider: tp, close: func(ctx context.Context) error {
		if err := tp.Shutdown(ctx); err != nil {
			return err
		}
		return closeOutput()
	}}
}

// Close flushes and stops the exporter.
func (p *Provider) Close(ctx context.Context) error { return p.close(ctx) }

// Inject returns the traceparent of the span in ctx, or an empty string if
// there is none.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceparent]
}

// Extract returns ctx with the remote span that parent identifies, if any.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparent: parent})
}

// RecordError marks span as failed with the result code of err.
func RecordError(span trace.Span, err error) {
	e := mn.AsError(err)
	span.SetAttributes(attribute.String("result_code", e.Code.String()), attribute.String("outcome", e.Outcome.String()))
	span.SetStatus(codes.Error, e.Code.Doc().Title)
}
