package main

import (
	"expvar"
	"time"
)

// reasonEvacuated is the reason of a refusal when all targets of the service are in evacuated
// zones.
const reasonEvacuated = "zones evacuated"

// evacuatedRetryShare is the part of its remaining time after which a caller may retry when all
// targets of the service are in evacuated zones. Nobody knows when a zone is restored.
const evacuatedRetryShare = 1.0 / 3

// metricEvacuated is the number of evacuated zones.
var metricEvacuated = expvar.NewInt("zones-evacuated")

// refuseIfEvacuated refuses the request at once if no target of its service may get it, and
// reports whether it did.
func (c *call) refuseIfEvacuated() bool {
	if !c.fleet.evacuatedWhole(c.service) {
		return false
	}
	left := time.Until(c.deadline)
	c.refuse(reasonEvacuated, time.Duration(float64(left)*evacuatedRetryShare))
	return true
}
