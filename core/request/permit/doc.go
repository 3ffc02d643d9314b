// Package permit enforces the rate limit that a target sets for all its senders together,
// without a central counter of their requests.
//
// An overloaded target names in its responses how many requests a second it accepts from all
// senders. The limit is divided into a few permits, each of which allows its holder an equal
// part of the limit and never more than one request at once. Senders claim permits in the store,
// one holder each; a sender without a permit sends nothing. Permits are stored under a lease of
// their holder: when it expires, others may claim them, and the holder has stopped before.
//
// The load pattern it handles is a target that accepts one request a second from some hundred
// senders, each of which has a request for it now and then. If each sender enforced the limit by
// itself, the target would get some hundred times as much. If each had an equal part, their
// accumulated allowances would still be used at once when many callers arrive together.
//
// A store that comes back from an older copy may have lost claims and leases. The senders then use
// what they held for the rest of its time and claim it again, and claim nothing else before all leases
// from before the restore have ended.
//
// A Tracker is the knowledge of one sender about all limits and permits. It has no clock, no lock
// and no input or output: its owner passes it the updates of targets and of the store, asks
// whether a target may be sent a request now, and executes the changes of the store that it
// requests.
//
// # Usage
//
//	tr := permit.NewTracker("gateway-1", start, rng)
//	tr.Observe(permit.Response{Target: id, Service: service, Limit: limit, Sent: sent}, now)
//	tr.Apply(items, snapshot, now) // the items of the store under Prefix
//	if tr.Ready(id, now) {
//		tr.RecordSent(id, now)
//		send(id)
//	}
//	tr.Restored(era, now) // when the store has come back from an older copy
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
	// minPermits is how many permits the lowest limits are divided into, and maxPermits the
	// highest: each permit is a key of the store.
	minPermits = 4
	maxPermits = 16
	// minRate is the rate in requests a second at which requests are sent to a target whose
	// limit is zero: only its responses show when it accepts requests again.
	minRate = 0.1
)

// Count returns the number of permits into which a limit in requests a second is divided. In t
// seconds all holders together send at most limit*t + Count requests.
func Count(limit float64) int {
	if limit >= maxPermits-minPermits {
		return maxPermits
	}
	return minPermits + int(limit)
}

// spacing returns the minimum time between two requests of a sender that holds the given
// number of permits.
func spacing(limit float64, permits int) time.Duration {
	seconds := float64(Count(limit)) / (max(limit, minRate) * float64(permits))
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}
