package main

import (
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/standin/scripted"
)

// coldRig has the warm target t0 and the target t1, which the returned function registers again
// after a start. Cold targets tolerate two requests a second from all gateways.
func coldRig(t *testing.T, script func(*scripted.Exchange)) (r *rig, starts func(coldFor time.Duration), warm, cold *scripted.Server) {
	t.Helper()
	warm, cold = scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "warm") }), scripted.Serve(t, script)
	r = newRig(t, routeOf(deployment.Safe), warm, cold)
	r.gateway.fleet.coldFactor = 1
	r.gateway.shareRetries(1, time.Now())
	r.view.Config.Services = []deployment.Service{{Name: "pool", ColdStart: time.Minute, ColdRate: 2}}
	r.gateway.update(&r.view)
	starts = func(coldFor time.Duration) {
		target := r.view.Targets["t1"]
		target.StartedAt++
		target.ColdFor = coldFor
		r.view.Targets["t1"] = target
		r.gateway.update(&r.view)
	}
	return r, starts, warm, cold
}

// sendMany sends 40 requests and returns how many a cold target may have got meanwhile.
func (r *rig) sendMany() int {
	began := time.Now()
	for range 40 {
		r.send()
	}
	return 2 + int(time.Since(began)/time.Second)
}

// Guards against crashes of a cold target by the requests of all gateways, although its entry
// does not say yet that it is cold.
func TestColdTargetGetsFewRequests(t *testing.T) {
	r, starts, warm, cold := coldRig(t, func(x *scripted.Exchange) { x.Respond(200, "cold") })
	starts(0)
	allowed := r.sendMany()
	r.True(total(cold) <= allowed)
	r.Equal(total(cold, warm), 40)
}

// Guards against limits on targets that were warm when this gateway started: it has seen none of
// them start.
func TestTargetsOfTheFirstViewAreWarm(t *testing.T) {
	r, _, _, cold := coldRig(t, func(x *scripted.Exchange) { x.Respond(200, "cold") })
	allowed := r.sendMany()
	r.True(total(cold) > allowed)
}

// Guards against a target that turns cold at any moment and says so in its answers.
func TestTargetThatSaysItIsCold(t *testing.T) {
	r, _, _, cold := coldRig(t, func(x *scripted.Exchange) { x.Cold("60000", "cold") })
	allowed := r.sendMany()
	r.True(total(cold) <= allowed)
}

// Guards against a zone whose cold targets get the requests of all gateways at once when it is
// restored.
func TestRestoredZoneIsCold(t *testing.T) {
	r, _, _, cold := coldRig(t, func(x *scripted.Exchange) { x.Respond(200, "cold") })
	r.inZones("east", "west")
	r.evacuate("west")
	r.evacuate()
	allowed := r.sendMany()
	r.True(total(cold) <= allowed)
}

// Guards against callers that wait for a cold target until their deadline.
func TestOnlyColdTargetRefusesWithATime(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "cold") })
	r := newRig(t, routeOf(deployment.Safe), s)
	r.gateway.fleet.coldFactor = 1
	r.gateway.shareRetries(500, time.Now())
	r.view.Config.Services = []deployment.Service{{Name: "pool", ColdStart: time.Minute, ColdRate: 2}}
	r.gateway.update(&r.view)
	target := r.view.Targets["t0"]
	target.StartedAt++
	r.view.Targets["t0"] = target
	r.gateway.update(&r.view)
	_, got := r.send()
	r.Equal(got.Status, 503)
	r.True(got.RetryAfter() > 0)
	r.Equal(total(s), 0)
}
