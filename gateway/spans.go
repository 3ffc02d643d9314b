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

// The spans of a request: the entire request, its wait for a slot, and each hop to a target.
const (
	spanRequest = "gateway.request"
	spanWait    = "gateway.wait"
	spanTarget  = "target.request"
)

// parentHeader is the header of the caller's W3C trace context. Like all other headers of
// the caller it is passed on unchanged: targets receive what the caller has sent.
const parentHeader = "traceparent"

// newTracer returns the tracer of the program. Without the address of a collector it
// creates no spans.
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
	ctx := telemetry.Extract(c.r.Context(), c.parent)
	return c.tracer.Start(ctx, spanRequest, trace.WithAttributes(attribute.String("id", loggedID(c.req.ID))))
}

// endSpan ends the span of a request, with its service, workspace and route and how many
// servers may have run it. Its outcome is in the log line with the same id.
func (c *call) endSpan(span trace.Span) {
	span.SetAttributes(attribute.String("service", c.service), attribute.String("workspace", c.workspaceName()),
		attribute.String("route", c.routeName()), attribute.Int("ran", c.ran))
	span.End()
}

// startTarget begins the span of a hop to a target.
func (c *call) startTarget(ctx context.Context, s activeAttempt) (context.Context, trace.Span) {
	return c.tracer.Start(ctx, spanTarget, trace.WithAttributes(attribute.String("target", s.target.id)))
}

// endTarget ends the span of a hop. A hop that did not complete the request records the reason.
func endTarget(span trace.Span, reason string) {
	if reason != "" {
		span.SetStatus(codes.Error, reason)
	}
	span.End()
}
