package main

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/membership/health"
	"verbenashift/core/plumbing/instance"
	"verbenashift/core/request/retry"
	"verbenashift/core/request/route"
	"verbenashift/standin/scripted"
)

// Guards against a random generator that two goroutines use at once; the race detector tells.
func TestConcurrentDecisionsDoNotShareRandomState(_ *testing.T) {
	g := newGateway(instance.Env{Log: slog.New(slog.DiscardHandler)}, noop.NewTracerProvider().Tracer("test"), nil)
	rt := &deployment.Route{MaxAttempts: 3, Split: []deployment.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	targets := map[string]deployment.Target{}
	for _, id := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"} {
		targets[id] = deployment.Target{ID: id, Service: "a"}
	}
	g.fleet.update(&mirror.Snapshot{Targets: targets})
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

// Guards against a target that gets no requests after a restart under its name because the
// table still has the state of its earlier incarnation.
func TestRestartedTargetIsSentRequests(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	other := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Unsafe), s, other)
	f := r.gateway.fleet
	f.mu.Lock()
	i, ok := f.table.Lookup("t0")
	r.True(ok)
	f.monitor.Fail(i, health.Hard, time.Now())
	f.monitor.Fail(i, health.Hard, time.Now())
	f.table.SetLeaving(i, true)
	f.mu.Unlock()
	f.tick(time.Now())
	f.mu.Lock()
	r.Equal(f.monitor.State(i), health.Ejected)
	f.mu.Unlock()
	t0 := r.view.Targets["t0"]
	t0.StartedAt = 8
	view := r.view
	view.Targets = map[string]deployment.Target{"t0": t0}
	r.gateway.update(&view)
	_, got := r.send()
	r.Equal(got.Status, http.StatusOK)
}

// Guards against memory for the parsed headers of requests that wait: a header line takes many times
// its bytes.
func TestHeaderIsDropped(t *testing.T) {
	is := is.New(t)
	g := newGateway(instance.Env{Log: slog.New(slog.DiscardHandler)}, noop.NewTracerProvider().Tracer("test"), nil)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("X-Request-Id", "1")
	r.Header.Set("Traceparent", "parent")
	r.Header.Set("Authorization", "Token secret")
	c := newCall(g, httptest.NewRecorder(), r)
	is.Equal(len(c.r.Header), 0)
	is.Equal(c.req.ID, "1")
	is.Equal(c.req.Key, "secret")
	is.Equal(c.parent, "parent")
	is.True(bytes.Contains(c.headers, []byte("X-Request-Id: 1\r\n")))
	is.True(!bytes.Contains(c.headers, []byte("secret")))
}

// Guards against reading what an update of the targets writes, without the lock; the race detector tells.
func TestUpdateDuringCalls(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				r.gateway.update(&r.view)
			}
		}
	})
	for range 100 {
		_, got := r.send()
		r.Equal(got.Status, http.StatusOK)
	}
	close(done)
	wg.Wait()
}
