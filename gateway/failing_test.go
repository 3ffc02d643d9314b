package main

import (
	"sync/atomic"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/standin/scripted"
)

// newEngineRig starts a gateway with five engines that answer as they are told to fail.
func newEngineRig(t *testing.T) (r *rig, engines []*scripted.Server, fail []*atomic.Bool) {
	t.Helper()
	for range 5 {
		fails := new(atomic.Bool)
		fail = append(fail, fails)
		engines = append(engines, scripted.Serve(t, func(x *scripted.Exchange) {
			if fails.Load() {
				x.Respond(500, "no")
				return
			}
			x.Stream()
			x.Chunk(scripted.Event(1))
			x.End()
		}))
	}
	r = newRig(t, routeOf(deployment.Stream), engines...)
	r.view.Config.Services[0].Engine = &deployment.Engine{Slots: 12}
	r.gateway.update(&r.view)
	r.warm()
	return r, engines, fail
}

// Guards against an engine that fails all its streams at once and looks idle: it gets more requests
// than the others, until it is found out by two of them.
func TestFailingEngineIsAvoided(t *testing.T) {
	r, engines, fail := newEngineRig(t)
	fail[0].Store(true)
	before := total(engines[0])
	for range 60 {
		_, got := r.send()
		r.Equal(got.Status, 200) // another engine runs it
	}
	r.True(total(engines[0]) > before)
	r.True(total(engines[0]) <= before+2)
}

// Guards against suspecting the engines of a service all of which fail, as one after the other would
// be avoided when the service is back.
func TestServiceThatFailsKeepsItsEngines(t *testing.T) {
	r, _, fail := newEngineRig(t)
	for _, fails := range fail {
		fails.Store(true)
	}
	for range 40 {
		r.send()
	}
	r.gateway.fleet.mu.Lock()
	defer r.gateway.fleet.mu.Unlock()
	r.True(!r.gateway.fleet.suspicions.Any())
}

// Guards against requests that are admitted for the slots of a target that gets none: they wait at
// the others.
func TestSlotsOfAvoidedTargetsAreBlocked(t *testing.T) {
	r, _, _ := newEngineRig(t)
	d := &rankpeer.Digest{
		Group: engine.GroupID{Name: "g0"}, Targets: []string{"t0", "t1", "t2", "t3", "t4"}, Open: true,
		Running: []uint16{2, 5, 5, 5, 5}, Queued: make([]uint16, 5), Pace: []uint16{10, 10, 10, 10, 10},
	}
	r.Equal(r.gateway.fleet.digest(d, time.Now()).blocked, 0)
	now := time.Now()
	r.gateway.fleet.addSuspicion(suspicion{Target: "t0"}, "front-1", now)
	r.gateway.fleet.addSuspicion(suspicion{Target: "t0"}, "front-2", now)
	r.Equal(r.gateway.fleet.digest(d, now).blocked, 10)
	r.gateway.fleet.addSuspicion(suspicion{Target: "t1"}, "front-1", now)
	r.gateway.fleet.addSuspicion(suspicion{Target: "t1"}, "front-2", now)
	r.Equal(r.gateway.fleet.digest(d, now).blocked, 0) // too many fail for it to be their own fault
}
