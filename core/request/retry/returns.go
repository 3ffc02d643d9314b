package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minReturn and maxReturn bound a Retry-After.
	minReturn = time.Second
	maxReturn = 60 * time.Second
	// headroom is the part of the recent rate of completions that returning
	// callers may add to the load.
	headroom = 0.15
	// minRate is how many callers a second may come back where little or
	// nothing completes. Without it the second of two callers of an idle entry
	// would be sent away for up to a minute.
	minRate = 1.0
	// rateMemory is the time constant of the rate of completions.
	rateMemory = 20 * time.Second
	// jitter is the part of a Retry-After that is random, so that callers
	// whose clocks round alike don't meet.
	jitter = 0.2
)

// ReturnScheduler spreads the return of callers whose requests were given up. Each is
// given a place in a virtual queue that empties at the headroom of the recent
// rate of completions, so that however many were refused at once, they come
// back at a rate which the targets can take. A window drawn at random for each
// caller does not do this: the first callers draw from narrow windows, and the
// later ones fall on top of them. The zero value is ready.
type ReturnScheduler struct {
	completed float64 // requests completed, decaying
	at        time.Time
	began     time.Time
	// free is when the next place of the virtual queue is.
	free time.Time
}

// Completed records a request that got its whole answer.
func (r *ReturnScheduler) Completed(now time.Time) {
	r.decay(now)
	r.completed++
}

// NextRetryAfter records a request that was given up, and returns the time after which
// its caller may come back, between one second and a minute. If the queue is
// longer than that, callers are spread over a minute.
func (r *ReturnScheduler) NextRetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	r.decay(now)
	first := now.Add(minReturn)
	if r.free.Before(first) {
		r.free = first
	}
	wait := r.free.Sub(now)
	if wait < maxReturn {
		gap := time.Duration(float64(time.Second) / max(r.rate(now), minRate))
		r.free = r.free.Add(min(gap, maxReturn))
		// Jitter only shortens: cut off at the maximum, all the longest waits
		// would end at one moment.
		wait -= time.Duration(jitter * rng.Float64() * float64(wait-minReturn))
		return wait
	}
	return minReturn + time.Duration(rng.Float64()*float64(maxReturn-minReturn))
}

// rate returns how many callers a second may come back.
func (r *ReturnScheduler) rate(now time.Time) float64 {
	// Since the start less than the memory may have passed.
	memory := rateMemory.Seconds()
	span := memory * (1 - math.Exp(-now.Sub(r.began).Seconds()/memory))
	return headroom * r.completed / max(span, minReturn.Seconds())
}

func (r *ReturnScheduler) decay(now time.Time) {
	if r.at.IsZero() {
		r.at, r.began = now, now
	}
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.completed *= math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
		r.at = now
	}
}
