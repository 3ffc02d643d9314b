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

// resting refuses and asks for a pause of so many seconds, as long as it is told to.
func resting(seconds string, on *atomic.Bool) func(x *scripted.Exchange) {
	return func(x *scripted.Exchange) {
		if !on.Load() {
			x.Respond(200, "ok")
			return
		}
		x.RefuseFor(seconds)
	}
}

// Guards against requests to a server in the time for which it has asked to be left alone.
func TestTargetIsLeftAlone(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		var on atomic.Bool
		on.Store(true)
		pausing := scripted.Serve(t, resting("60", &on))
		other := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
		r := newRig(t, routeOf(kind), pausing, other)
		for range 40 {
			_, got := r.ask()
			r.Equal(got.Status, 200)
		}
		r.Equal(len(pausing.Seen()), 1)
	}
}

// pair returns a fleet of two targets, of which the first is the one given.
func pair() (f *fleet, first *pooled) {
	f = newFleet("front-1", "z1", slog.New(slog.DiscardHandler))
	f.update(&mirror.Snapshot{Targets: map[string]deployment.Target{"t0": {ID: "t0", Service: "pool", Slots: 1}, "t1": {ID: "t1", Service: "pool", Slots: 1}}})
	return f, f.pools["t0"]
}

// picked counts how many of forty requests at a time go to a target.
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

// Guards against leaving a target alone for less or more than it has asked for.
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

// Guards against spending retries on a target that refuses everything while another has room,
// and against keeping requests from the only one that is left.
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

// Guards against sending what its peers refuse to a target that breaks all answers off, since it
// alone is not avoided.
func TestBrokenTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	f, first := pair()
	now := time.Now()
	index, _ := f.table.Lookup("t0")
	f.failed(sent{index: index, target: first}, health.Soft, now)
	is.Equal(f.picked("t0", route.Exclude{}, now.Add(time.Millisecond)), 0)
	f.mu.Lock()
	f.refused(f.pools["t1"], now)
	f.mu.Unlock()
	got := f.picked("t0", route.Exclude{}, now.Add(time.Millisecond))
	is.True(got > 0 && got < 40) // both are tried if no other is left
}

// Guards against callers that are held, or told the wrong time, when all servers have asked to be
// left alone.
func TestAllTargetsPause(t *testing.T) {
	var on atomic.Bool
	on.Store(true)
	s := scripted.Serve(t, resting("3", &on))
	r := newRig(t, routeOf(deployment.Unsafe), s)
	r.ask()
	_, got := r.ask()
	r.Equal(got.Status, 503)
	r.True(got.RetryAfter() > 2*time.Second && got.RetryAfter() <= 3*time.Second)
	r.Equal(len(s.Seen()), 1)
}

// Guards against refusing callers that could have been served after a short pause.
func TestShortPauseIsWaitedFor(t *testing.T) {
	var on atomic.Bool
	on.Store(true)
	s := scripted.Serve(t, resting("0.5", &on))
	r := newRig(t, routeOf(deployment.Unsafe), s)
	r.ask()
	on.Store(false)
	_, got := r.ask()
	r.Equal(got.Status, 200)
}

// Guards against new requests to a server that has said that it leaves, also when it is the only
// one, after a new view of the store, and against taking its later start for leaving.
func TestTargetThatSaysThatItLeaves(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		leaving := scripted.Serve(t, func(x *scripted.Exchange) { x.Leaving("ok") })
		r := newRig(t, routeOf(kind), leaving)
		_, got := r.ask()
		r.Equal(got.Status, 200)
		for range 2 {
			_, got = r.ask()
			r.Equal(got.Status, 503)
			r.gateway.update(&r.view)
		}
		r.Equal(len(leaving.Seen()), 1)
		r.True(!r.gateway.fleet.serves(r.view.Targets["t0"])) // its end is no crash
		later := r.view.Targets["t0"]
		later.StartedAt = 9
		r.view.Targets = map[string]deployment.Target{"t0": later}
		r.gateway.update(&r.view)
		_, got = r.ask()
		r.Equal(got.Status, 200)
	}
}
