package main

import (
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/boot"
	"verbenashift/standin/scripted"
)

// Guards against more retries of all gateways together than the platform allows, when all lose
// streams at once.
func TestRetryBurstIsSharedByAllGateways(t *testing.T) {
	const burst, all = 264, 53
	r := newRig(t, routeOf(deployment.Safe), scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") }))
	bounds := boot.Bounds{RetryRatio: 0.2, RetryBurst: burst, RetryWindow: 10 * time.Second}
	now := time.Now()
	r.gateway.retries = newRetries(boot.Settings{Bounds: bounds, FirstStart: true}, now)
	left := func() float64 { return r.gateway.retriesLeft("pool") }
	r.True(left()*all <= burst)
	r.gateway.shareRetries(all, now)
	r.True(left() >= 1)
	r.True(left()*all <= burst)
	r.gateway.shareRetries(0, now) // a coordinator that does not know
	r.True(left()*all <= burst)
	r.gateway.digest(&rankpeer.Digest{Gateways: 2 * all}, time.Now())
	r.True(left()*2*all <= burst)
	// The number of gateways after a restart of a few is not taken as the total.
	r.gateway.shareRetries(3, now)
	r.True(left() <= burst/(2*all))
}
