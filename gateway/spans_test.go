package main

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"verbenashift/core/configuration/deployment"
	"verbenashift/standin/scripted"
)

// Guards against a trace that lacks a hop or does not show which one failed.
func TestSpanOfEachHop(t *testing.T) {
	is := is.New(t)
	bad := scripted.Serve(t, func(x *scripted.Exchange) { x.Refuse() })
	good := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), bad, good)
	spans := tracetest.NewSpanRecorder()
	r.gateway.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	for range 40 {
		c := r.call()
		c.Header = http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}
		is.Equal(c.Do(t.Context()).Status, 200)
	}
	hops, failed, requests := 0, 0, 0
	for _, s := range spans.Ended() {
		is.Equal(s.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
		switch s.Name() {
		case spanRequest:
			requests++
			is.Equal(s.Parent().SpanID().String(), "b7ad6b7169203331")
		case spanTarget:
			hops++
			if s.Status().Code == codes.Error {
				failed++
			}
		}
	}
	is.Equal(requests, 40)
	is.Equal(hops, len(bad.Seen())+len(good.Seen()))
	is.Equal(failed, len(bad.Seen()))
	is.True(failed > 0)
}
