// Package telemetry provides the logger and the tracer of a program.
//
// Logs are JSON lines by log/slog. Traces are OpenTelemetry spans, one for
// each hop of a request, exported over OTLP/HTTP when an address is set.
// Metrics are expvar variables; package histogram provides histograms for expvar.
// None of the three ever contains a prompt, an answer or a token.
//
// # Usage
//
//	log := telemetry.NewLogger(os.Stderr, "entry", "entry-1")
//	tracer, stop, err := telemetry.NewTracer(ctx, telemetry.TraceConfig{Program: "entry", Export: "127.0.0.1:4318"})
package telemetry

import (
	"context"
	"io"
	"log/slog"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// NewLogger returns a logger that writes JSON lines, each with the names of the
// program and the instance.
func NewLogger(w io.Writer, program, instance string) *slog.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(h).With("program", program, "instance", instance)
}

// TraceConfig configures tracing.
type TraceConfig struct {
	Program  string
	Instance string
	// Export is the IP address and port of an OTLP/HTTP collector; empty
	// disables tracing.
	Export string
	// Ratio is the fraction of requests that are traced, from 0 to 1.
	Ratio float64
}

// NewTracer returns a tracer and a function that flushes and shuts it down.
func NewTracer(ctx context.Context, cfg TraceConfig) (trace.Tracer, func(context.Context) error, error) {
	if cfg.Export == "" {
		return noop.NewTracerProvider().Tracer(cfg.Program), func(context.Context) error { return nil }, nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.Export), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, nil, errors.Wrap(err, "start trace exporter")
	}
	res := resource.NewSchemaless(attribute.String("service.name", cfg.Program), attribute.String("service.instance.id", cfg.Instance))
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Ratio))),
	)
	return tp.Tracer(cfg.Program), tp.Shutdown, nil
}

// parentKey is the carrier key of the W3C trace context.
const parentKey = "traceparent"

// Inject returns the W3C trace context of ctx, or "" if it holds no span.
func Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[parentKey]
}

// Extract returns ctx with the remote parent named by a W3C trace context. A
// malformed parent is ignored, as the W3C recommendation requires.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentKey: parent})
}
