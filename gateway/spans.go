package main

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"verbenashift/core/plumbing/instance"
	"verbenashift/core/plumbing/telemetry"
)

// The spans of a request: the whole, its wait for a place, and each hop to a target.
const (
	spanRequest = "gateway.request"
	spanWait    = "gateway.wait"
	spanTarget  = "target.request"
)

// parentHeader is the W3C trace context of the caller. It is passed on like all other
// headers of the caller, and not replaced: targets get what the caller has sent.
const parentHeader = "traceparent"

// newTracer returns the tracer of the program; without an address of a collector
// it makes no spans.
func newTracer(lc fx.Lifecycle, env instance.Env) (trace.Tracer, error) {
	tracer, stop, err := telemetry.NewTracer(context.Background(), telemetry.TraceConfig{
		Program: "gateway", Instance: env.Boot.Instance, Export: env.Trace, Ratio: env.TraceRatio,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(stop))
	return tracer, nil
}

// startSpan begins the span of a request.
func (c *call) startSpan() (context.Context, trace.Span) {
	ctx := telemetry.Extract(c.r.Context(), c.r.Header.Get(parentHeader))
	return c.tracer.Start(ctx, spanRequest, trace.WithAttributes(attribute.String("id", c.req.ID)))
}

// endSpan ends the span of a request, with whose it was, where it went and how many
// servers may have run it. How it ended is in its line of the log, under the same id.
func (c *call) endSpan(span trace.Span) {
	span.SetAttributes(attribute.String("service", c.service), attribute.String("workspace", c.workspaceName()),
		attribute.String("route", c.routeName()), attribute.Int("ran", c.ran))
	span.End()
}

// startTarget begins the span of a hop to a target.
func (c *call) startTarget(ctx context.Context, s sent) (context.Context, trace.Span) {
	return c.tracer.Start(ctx, spanTarget, trace.WithAttributes(attribute.String("target", s.target.ID)))
}

// endTarget ends the span of a hop. A hop that did not end the request says why.
func endTarget(span trace.Span, reason string) {
	if reason != "" {
		span.SetStatus(codes.Error, reason)
	}
	span.End()
}
