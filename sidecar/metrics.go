package main

import (
	"expvar"
	"sync/atomic"
	"time"

	"verbenashift/core/plumbing/histogram"
)

// The metrics of a sidecar; those of the group are set only by its coordinator.
// docs/OPERATIONS.md has the table with units.
var (
	metricOrders     = expvar.NewMap("orders-by-kind-and-status")
	metricUnanswered = expvar.NewMap("orders-unanswered-by-kind")
	metricSteward    = expvar.NewInt("steward")
	metricGroup      = expvar.NewString("steward-of-group")
	metricTerm       = expvar.NewInt("steward-term")
	metricChanges    = expvar.NewInt("map-changes")
	metricSkew       = expvar.NewFloat("skew")
	metricPass       = expvar.NewInt("pass-ms")
	metricKnown      = expvar.NewInt("ranks-known")
	metricRound      = histogram.New("round-ms")
	metricHeld       = histogram.New("held-ms")
)

var (
	processStart = time.Now()
	// lastChange is how long after processStart the last change of the map by this coordinator
	// came into force, in nanoseconds; 0 before any.
	lastChange atomic.Int64
)

func init() {
	expvar.Publish("since-map-change-ms", expvar.Func(func() any {
		at := time.Duration(lastChange.Load())
		if at == 0 {
			return -1
		}
		return (time.Since(processStart) - at).Milliseconds()
	}))
}
