package main

import (
	"testing"

	"verbenashift/core/configuration/deployment"
	"verbenashift/standin/scripted"
)

// Guards against another choice of targets for services whose configuration does not ask for an order
// among its requests, and against one that stays when the configuration changes.
func TestPlacementBySlotsFollowsTheConfiguration(t *testing.T) {
	r := newRig(t, routeOf(deployment.Stream), scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") }))
	slots := func(engine *deployment.Engine, priorities ...int) int {
		cfg := *r.view.Config
		cfg.Version++
		cfg.Services = []deployment.Service{{Name: "pool", Engine: engine}}
		cfg.Routes = nil
		for _, p := range priorities {
			route := routeOf(deployment.Stream)
			route.Priority = p
			cfg.Routes = append(cfg.Routes, route)
		}
		r.view.Config = &cfg
		r.gateway.update(&r.view)
		i, ok := r.gateway.fleet.table.Lookup("t0")
		r.True(ok)
		return r.gateway.fleet.table.Target(i).Slots
	}
	engine := &deployment.Engine{Slots: 12}
	r.Equal(slots(engine, 1, 1), 0)
	r.Equal(slots(engine, 0, 2), 12)
	r.Equal(slots(nil, 0, 2), 0) // a plain service
	r.Equal(slots(engine, 2, 2), 0)
}
