package main

import (
	"expvar"
	"time"
)

// The reasons of a refusal when all targets of the service that may get the request are in evacuated
// zones, and when none is in a region in which the request must stay.
const (
	reasonEvacuated  = "zones evacuated"
	reasonNotAllowed = "no target in an allowed region"
)

// outOfReachRetryShare is the part of its remaining time after which a caller may retry when no target
// may get its request. Nobody knows when a zone is restored.
const outOfReachRetryShare = 1.0 / 3

// metricEvacuated is the number of evacuated zones.
var metricEvacuated = expvar.NewInt("zones-evacuated")

// refuseIfOutOfReach refuses the request at once if no target of its service may get it, and reports
// whether it did.
func (c *call) refuseIfOutOfReach() bool {
	reason := ""
	switch c.fleet.reachOf(c.service, c.zones) {
	case allEvacuated:
		reason = reasonEvacuated
	case notAllowed:
		reason = reasonNotAllowed
	default:
		return false
	}
	left := time.Until(c.deadline)
	c.refuse(reason, time.Duration(float64(left)*outOfReachRetryShare))
	return true
}
