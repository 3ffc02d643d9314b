package main

import (
	"sync/atomic"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/standin/scripted"
)

// resting refuses and asks for a pause of so many seconds, as long as it is told to.
func resting(seconds string, on *atomic.Bool) func(x *scripted.Exchange) {
	return func(x *scripted.Exchange) {
		if !on.Load() {
			x.Whole(200, "ok")
			return
		}
		x.RefuseFor(seconds)
	}
}

// Guards against requests to a server in the time for which it has asked to be left alone, and
// against leaving it alone for longer.
func TestTargetIsLeftAlone(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		var on atomic.Bool
		on.Store(true)
		pausing := scripted.Serve(t, resting("0.8", &on))
		other := scripted.Serve(t, func(x *scripted.Exchange) { x.Whole(200, "ok") })
		r := newRig(t, routeOf(kind), pausing, other)
		for range 20 {
			_, got := r.ask()
			r.Equal(got.Status, 200)
		}
		r.Equal(len(pausing.Seen()), 1)
		on.Store(false)
		time.Sleep(800 * time.Millisecond)
		for range 40 {
			r.ask()
		}
		r.True(len(pausing.Seen()) > 1)
	}
}

// Guards against callers that are held, or told the wrong time, when all servers have asked to be
// left alone.
func TestAllTargetsPause(t *testing.T) {
	var on atomic.Bool
	on.Store(true)
	s := scripted.Serve(t, resting("3", &on))
	r := newRig(t, routeOf(deployment.Unsafe), s)
	came := time.Now()
	r.ask()
	_, got := r.ask()
	r.Equal(got.Status, 503)
	r.True(got.Comeback() > 2*time.Second && got.Comeback() <= 3*time.Second)
	r.True(time.Since(came) < 2*time.Second)
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

// Guards against spending retries on a server that refuses everything while another has room,
// and against keeping requests from the only one that is left.
func TestRefusingTargetIsAvoided(t *testing.T) {
	refusing := scripted.Serve(t, func(x *scripted.Exchange) { x.Refuse() })
	other := scripted.Serve(t, func(x *scripted.Exchange) { x.Whole(200, "ok") })
	r := newRig(t, routeOf(deployment.Unsafe), refusing, other)
	for range 40 {
		_, got := r.ask()
		r.Equal(got.Status, 200)
	}
	r.True(len(refusing.Seen()) <= 3)
	alone := newRig(t, routeOf(deployment.Unsafe), refusing)
	before := len(refusing.Seen())
	alone.ask()
	alone.ask()
	r.Equal(len(refusing.Seen()), before+2)
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
		later.Born = 9
		r.view.Targets = map[string]deployment.Target{"t0": later}
		r.gateway.update(&r.view)
		_, got = r.ask()
		r.Equal(got.Status, 200)
	}
}
