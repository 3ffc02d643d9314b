package main

import (
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/platform"
	"verbenashift/standin/scripted"
)

// inZones puts the targets t0, t1 and so on in zones.
func (r *rig) inZones(zones ...string) {
	for id, t := range r.view.Targets {
		t.Zone = zones[int(id[1]-'0')]
		r.view.Targets[id] = t
	}
	r.gateway.update(&r.view)
}

// evacuate publishes a new view of the store in which exactly these zones are evacuated.
func (r *rig) evacuate(zones ...string) {
	r.view.Evacuated = map[string]bool{}
	for _, zone := range zones {
		r.view.Evacuated[zone] = true
	}
	r.gateway.update(&r.view)
}

// Guards against requests to a target in an evacuated zone: first attempts, retries, and those
// that may go to a failing target as a last resort.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe, deployment.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			a := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "a") })
			b := scripted.Serve(t, func(x *scripted.Exchange) { x.Refuse() })
			r := newRig(t, routeOf(kind), a, b)
			r.inZones("east", "west")
			r.evacuate("east")
			for range 5 {
				_, got := r.send()
				r.True(got.Status != 200)
			}
			r.Equal(total(a), 0)
			r.True(total(b) > 0)
			r.evacuate()
			r.send()
			r.Equal(total(a), 1)
		})
	}
}

// Guards against callers that wait for their deadline although no target may get their requests.
func TestEvacuationOfTheLastZoneRefusesAtOnce(t *testing.T) {
	a := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "a") })
	r := newRig(t, routeOf(deployment.Safe), a)
	r.inZones("east")
	r.evacuate("east", "nowhere")
	_, got := r.send()
	r.Equal(got.Status, platform.StatusNotRun)
	r.True(got.RetryAfter() > time.Second)
	r.Equal(total(a), 0)
}

// Guards against a stream that is broken off because its zone is evacuated.
func TestStreamsInAnEvacuatedZoneEndThere(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	script := func(x *scripted.Exchange) {
		x.Stream()
		x.Chunk(scripted.Event(1))
		close(begun)
		<-proceed
		x.Chunk(scripted.Event(2))
		x.End()
	}
	a, b := scripted.Serve(t, script), scripted.Serve(t, script)
	r := newRig(t, routeOf(deployment.Stream), a, b)
	r.inZones("east", "east")
	got := make(chan scripted.Answer, 1)
	go func() { got <- r.call().Do(t.Context()) }()
	<-begun
	r.evacuate("east")
	close(proceed)
	answer := <-got
	r.True(answer.Complete)
	r.Equal(answer.Body, scripted.Event(1)+scripted.Event(2))
	r.Equal(total(a, b), 1)
}

// Guards against admitting requests for the slots of targets that get none, which would wait at
// the engines of the other zones.
func TestEvacuatedTargetsHaveNoSlots(t *testing.T) {
	a := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "a") })
	b := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "b") })
	r := newRig(t, routeOf(deployment.Stream), a, b)
	r.inZones("east", "west")
	r.Equal(r.gateway.fleet.slots()["pool"][""], 24)
	r.evacuate("east")
	r.Equal(r.gateway.fleet.slots()["pool"][""], 12)
	r.evacuate("east", "west")
	slots, known := r.gateway.fleet.slots()["pool"][""]
	r.True(known)
	r.Equal(slots, 0)
}
