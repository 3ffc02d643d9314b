package main

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
	"verbenashift/standin/scripted"
)

// Guards against a gateway that ends, or serves no more, because another writer left an entry whose
// numbers are as large as they may be.
func TestEntryWithLargeNumbers(t *testing.T) {
	const most = 1 << 53
	for name, change := range map[string]func(*deployment.Target){
		"slots":   func(d *deployment.Target) { d.Slots = most },
		"start":   func(d *deployment.Target) { d.StartedAt = most },
		"no time": func(d *deployment.Target) { d.StartedAt = -most },
		"epoch":   func(d *deployment.Target) { d.Group.Epoch = math.MaxInt64 },
		"all": func(d *deployment.Target) {
			d.Slots, d.StartedAt, d.Group, d.GroupComplete = most, most, engine.GroupID{Name: "g", Epoch: math.MaxInt64}, true
		},
	} {
		for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Stream} {
			t.Run(fmt.Sprint(name, " ", kind), func(t *testing.T) {
				s := scripted.Serve(t, func(x *scripted.Exchange) {
					x.Stream()
					x.Chunk(scripted.Event(1))
					x.End()
				})
				r := newRig(t, routeOf(kind), s)
				r.view.Config.Services[0].Engine = &deployment.Engine{Slots: 12, PassTime: 10 * time.Millisecond, RequestTime: time.Millisecond}
				odd := r.view.Targets["t0"]
				odd.ID = "odd"
				change(&odd)
				r.view.Targets = map[string]deployment.Target{"t0": r.view.Targets["t0"], "odd": odd}
				next := *r.view.Config
				next.Version++
				r.view.Config = &next
				r.gateway.update(&r.view)
				for range 20 {
					_, got := r.send()
					r.Equal(got.Status, http.StatusOK)
					r.gateway.tick(time.Now())
				}
			})
		}
	}
}
