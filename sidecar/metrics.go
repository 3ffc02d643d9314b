package main

import (
	"expvar"

	"verbenashift/core/histogram"
)

// The metrics of a sidecar; those of the group count only at its steward.
// docs/OPERATIONS.md has the table with units.
var (
	metricOrders     = expvar.NewMap("orders-by-kind-and-status")
	metricUnanswered = expvar.NewMap("orders-unanswered-by-kind")
	metricSteward    = expvar.NewInt("steward")
	metricTerm       = expvar.NewInt("steward-term")
	metricChanges    = expvar.NewInt("map-changes")
	metricSkew       = expvar.NewFloat("skew")
	metricPass       = expvar.NewInt("pass-ms")
	metricKnown      = expvar.NewInt("ranks-known")
	metricRound      = histogram.New("round-ms")
	metricHeld       = histogram.New("held-ms")
)
