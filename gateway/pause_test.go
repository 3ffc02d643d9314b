package main

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/membership/health"
	"verbenashift/core/request/route"
	"verbenashift/standin/scripted"
)

// pausing refuses requests and requests a pause of the given seconds while on is set.
func pausing(seconds string, on *atomic.Bool) func(x *scripted.Exchange) {
	return func(x *scripted.Exchange) {
		if !on.Load() {
			x.Respond(200, "ok")
			return
		}
		x.RefuseFor(seconds)
	}
}

// Guards against requests to a server during the pause that it has requested.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		var on atomic.Bool
		on.Store(true)
		paused := scripted.Serve(t, pausing("60", &on))
		other := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
		r := newRig(t, routeOf(kind), paused, other)
		for range 40 {
			_, got := r.send()
			r.Equal(got.Status, 200)
		}
		r.Equal(len(paused.Seen()), 1)
	}
}

// pair returns a fleet of two targets, and the first of them.
func pair() (f *fleet, first *targetState) {
	f = newFleet("front-1", "z1", slog.New(slog.DiscardHandler))
	f.update(&mirror.Snapshot{Targets: map[string]deployment.Target{"t0": {ID: "t0", Service: "pool", Slots: 1}, "t1": {ID: "t1", Service: "pool", Slots: 1}}})
	return f, f.targetStates["t0"]
}

// picked returns how many of forty requests at the given time go to a target.
func (f *fleet) picked(id string, exclude route.Exclude, now time.Time) (n int) {
	for range 40 {
		if s, ok := f.pick(&route.Query{Service: "pool", Cost: 1, Exclude: exclude}, now); ok {
			if s.target.ID == id {
				n++
			}
			f.end(s)
		}
	}
	return n
}

// Guards against a pause that is shorter or longer than requested.
func TestPauseEnds(t *testing.T) {
	is := is.New(t)
	f, first := pair()
	now := time.Now()
	f.mu.Lock()
	f.pause(first, "r1", 3*time.Second, now)
	f.pause(first, "r2", time.Second, now) // a shorter one does not end it
	f.mu.Unlock()
	is.Equal(f.picked("t0", route.Exclude{}, now.Add(3*time.Second-1)), 0)
	is.True(f.picked("t0", route.Exclude{}, now.Add(3*time.Second)) > 0)
}

// Guards against spending retries on a target that refuses everything while another has
// capacity, and against avoiding the only one that is left.
func TestRefusingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	f, first := pair()
	now := time.Now()
	f.mu.Lock()
	f.refused(first, now)
	other, _ := f.table.Lookup("t1")
	f.mu.Unlock()
	is.Equal(f.picked("t0", route.Exclude{}, now.Add(time.Millisecond)), 0)
	var exclude route.Exclude
	exclude.Add(other)
	is.Equal(f.picked("t0", exclude, now.Add(time.Millisecond)), 40)
	is.True(f.picked("t0", route.Exclude{}, now.Add(time.Second)) > 0)
}

// Guards against sending the requests that its peers refuse to a target that breaks off all
// answers, because it alone is not avoided.
func TestBrokenTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	f, first := pair()
	now := time.Now()
	index, _ := f.table.Lookup("t0")
	f.failed(activeAttempt{index: index, target: first}, health.Soft, now)
	is.Equal(f.picked("t0", route.Exclude{}, now.Add(time.Millisecond)), 0)
	f.mu.Lock()
	f.refused(f.targetStates["t1"], now)
	f.mu.Unlock()
	got := f.picked("t0", route.Exclude{}, now.Add(time.Millisecond))
	is.True(got > 0 && got < 40) // both are tried if no other is left
}

// Guards against callers that are held, or get the wrong retry time, when all servers have
// requested a pause.
func TestAllTargetsPause(t *testing.T) {
	var on atomic.Bool
	on.Store(true)
	s := scripted.Serve(t, pausing("3", &on))
	r := newRig(t, routeOf(deployment.Unsafe), s)
	r.send()
	_, got := r.send()
	r.Equal(got.Status, 503)
	r.True(got.RetryAfter() > 2*time.Second && got.RetryAfter() <= 3*time.Second)
	r.Equal(len(s.Seen()), 1)
}

// Guards against refusing callers that could have been served after a short pause.
func TestShortPauseIsWaitedFor(t *testing.T) {
	var on atomic.Bool
	on.Store(true)
	s := scripted.Serve(t, pausing("0.5", &on))
	r := newRig(t, routeOf(deployment.Unsafe), s)
	r.send()
	on.Store(false)
	_, got := r.send()
	r.Equal(got.Status, 200)
}

// Guards against new requests to a server that has announced its shutdown, also when it is the
// only one or after a new view of the store, and against treating its next incarnation as
// shutting down.
func TestTargetThatAnnouncesItsShutdown(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		leaving := scripted.Serve(t, func(x *scripted.Exchange) { x.Leaving("ok") })
		r := newRig(t, routeOf(kind), leaving)
		_, got := r.send()
		r.Equal(got.Status, 200)
		for range 2 {
			_, got = r.send()
			r.Equal(got.Status, 503)
			r.gateway.update(&r.view)
		}
		r.Equal(len(leaving.Seen()), 1)
		r.True(!r.gateway.fleet.serves(r.view.Targets["t0"])) // its end is no crash
		restarted := r.view.Targets["t0"]
		restarted.StartedAt = 9
		r.view.Targets = map[string]deployment.Target{"t0": restarted}
		r.gateway.update(&r.view)
		_, got = r.send()
		r.Equal(got.Status, 200)
	}
}
