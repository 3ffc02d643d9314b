// Package permit keeps to the rate that a target takes from all its senders together, without
// a place that counts their requests.
//
// A target in need names in its answers how many requests a second it takes from all senders.
// Its limit is cut into a few permits, each of which allows its holder an equal part of the
// limit and never more than one request at once. Senders claim permits in the store, one
// holder each; whoever has none sends nothing. Permits stand under a lease of their holder:
// when it ends, others may claim them, and the holder has stopped before.
//
// The load pattern it answers is a target that takes one request a second before some hundred
// senders, each of which has a request for it now and then. If each kept the limit for itself,
// the target would get some hundred times as much. If each had an equal part, what they have
// saved up would still come all at once when callers do.
//
// A Tracker is what one sender knows of all limits and permits. It has no clock, no lock and no
// input or output: its owner tells it what targets and the store say, asks whether a target
// may be sent a request now, and carries out the changes of the store that it wants.
//
// # Usage
//
//	tr := permit.NewTracker("gateway-1", start, rng)
//	tr.Observe(permit.Answer{Target: id, Service: service, Limit: limit, Sent: sent}, now)
//	tr.Apply(items, whole, now) // what the store says under Prefix
//	if tr.Ready(id, now) {
//		tr.Use(id, now)
//		send(id)
//	}
//	if c, ok := tr.NextChange(now); ok { // after SetLease
//		revision, err := store.Change(ctx, c.Change)
//		tr.Complete(c, revision, err == nil, now)
//	}
package permit

import (
	"math"
	"time"
)

const (
	// leastPermits is how many permits the lowest limits are cut into, and maxPermits the
	// highest: each permit is a key of the store.
	leastPermits = 4
	maxPermits   = 16
	// leastRate is the rate in requests a second at which a target is sent requests that
	// takes none: only its answers tell when it takes some again.
	leastRate = 0.1
)

// Count returns into how many permits a limit in requests a second is cut. In t seconds all
// holders together send limit*t + Count requests at most.
func Count(limit float64) int {
	if limit >= maxPermits-leastPermits {
		return maxPermits
	}
	return leastPermits + int(limit)
}

// spacing returns the least time between two requests of a holder of so many permits.
func spacing(limit float64, permits int) time.Duration {
	seconds := float64(Count(limit)) / (max(limit, leastRate) * float64(permits))
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}
