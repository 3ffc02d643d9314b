package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/membership/health"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/standin/scripted"
)

const (
	// smallPool is the size of a pool that has no room for long bodies, fitting what it has room for.
	smallPool = 128 << 10
	fitting   = smallPool / 2
	shortWait = 20 * time.Millisecond
)

// Guards against a request that is sent, or that its caller believes to be sent, without room for its
// body.
func TestNoRoomForTheBody(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		if x.Header.Get("X-Break") != "" {
			x.Close()
			return
		}
		x.Respond(http.StatusOK, "ok")
	})
	r := newRig(t, routeOf(deployment.Unsafe), s)
	r.gateway.bodies = buffers.NewPool(smallPool, shortWait)
	long := r.call()
	long.Body = strings.Repeat("x", 4*smallPool)
	got := long.Do(t.Context())
	r.Equal(got.Status, http.StatusServiceUnavailable)
	r.Equal(total(s), 0)
	for range 10 { // each releases its room, whether it is answered or not
		c := r.call()
		c.Body = strings.Repeat("x", fitting)
		r.Equal(c.Do(t.Context()).Status, http.StatusOK)
		c.ID, c.Header = c.ID+"-broken", http.Header{"X-Break": {"1"}}
		r.Equal(c.Do(t.Context()).Status, http.StatusBadGateway)
	}
}

// Guards against taking a target for broken because there was no room for its answer, and against
// room that is lost with such answers.
func TestNoRoomForTheAnswer(t *testing.T) {
	for name, kind := range map[string]deployment.RouteKind{"lookup": deployment.Safe, "booking": deployment.Unsafe} {
		t.Run(name, func(t *testing.T) {
			script := func(x *scripted.Exchange) {
				n := fitting
				if x.Body == "long" {
					n *= 8
				}
				x.Respond(http.StatusOK, strings.Repeat("x", n))
			}
			r := newRig(t, routeOf(kind), scripted.Serve(t, script), scripted.Serve(t, script))
			r.gateway.answers = buffers.NewPool(smallPool, shortWait)
			for range 10 {
				long := r.call()
				long.Body = "long"
				r.Equal(long.Do(t.Context()).Status, http.StatusBadGateway) // it has run
			}
			f := r.gateway.fleet
			f.mu.Lock()
			for i := range 2 {
				r.Equal(f.monitor.State(i), health.Healthy)
			}
			f.mu.Unlock()
			for range 10 {
				_, got := r.send()
				r.Equal(got.Status, http.StatusOK)
			}
		})
	}
}

// Guards against a booking that is made and then not told to its caller, since others read slowly.
func TestNoRoomForAnyAnswer(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(http.StatusOK, "booked") })
	r := newRig(t, routeOf(deployment.Unsafe), s)
	r.gateway.answers = buffers.NewPool(smallPool, shortWait)
	var others []*buffers.Buffer
	for {
		b, err := r.gateway.answers.Reserve(t.Context(), reservedAnswer)
		if err != nil {
			break
		}
		others = append(others, b)
	}
	others[0].Release()
	_, got := r.send() // there is just enough
	r.Equal(got.Status, http.StatusOK)
	b, err := r.gateway.answers.Reserve(t.Context(), reservedAnswer)
	r.NoErr(err)
	_, got = r.send()
	r.Equal(got.Status, http.StatusServiceUnavailable)
	r.Equal(total(s), 1)
	b.Release()
	_, got = r.send()
	r.Equal(got.Status, http.StatusOK)
}

// Guards against room that is lost with a server's own error answers.
func TestRoomOfErrorAnswers(t *testing.T) {
	fail := func(x *scripted.Exchange) {
		x.Respond(http.StatusInternalServerError, strings.Repeat("x", fitting/4))
	}
	a, b := scripted.Serve(t, fail), scripted.Serve(t, fail)
	r := newRig(t, routeOf(deployment.Safe), a, b)
	r.gateway.answers = buffers.NewPool(smallPool, shortWait)
	const calls = 10
	for range calls {
		_, got := r.send()
		r.Equal(got.Status, http.StatusInternalServerError)
	}
	r.Equal(total(a, b), 2*calls)
	for range fitting / reservedAnswer { // all of the room is free
		_, err := r.gateway.answers.Reserve(t.Context(), reservedAnswer)
		r.NoErr(err)
	}
}
