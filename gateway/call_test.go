package main

import (
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/plumbing/instance"
	"verbenashift/core/request/retry"
	"verbenashift/core/request/route"
)

// Guards against a random generator that two goroutines use at once; the race detector tells.
func TestConcurrentDecisionsDoNotShareRandomState(_ *testing.T) {
	g := newGateway(instance.Env{Log: slog.New(slog.DiscardHandler)}, noop.NewTracerProvider().Tracer("test"), nil)
	rt := &deployment.Route{Attempts: 3, Split: []deployment.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	targets := map[string]deployment.Target{}
	for _, id := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"} {
		targets[id] = deployment.Target{ID: id, Service: "a"}
	}
	g.fleet.update(&mirror.View{Targets: targets})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 200 {
				c := &call{gateway: g, request: request{route: rt, service: "a", deadline: time.Now().Add(time.Minute)}}
				c.drawService()
				c.decide(retry.Refused)
				g.fleet.pick(&route.Query{Service: "a"}, time.Now())
				g.fleet.tick(time.Now())
			}
		})
	}
	wg.Wait()
}
