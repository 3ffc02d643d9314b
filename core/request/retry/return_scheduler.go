package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound a Retry-After.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
	// headroom is the share of the recent completion rate that returning callers may add to
	// the load.
	headroom = 0.15
	// minReturnRate is how many callers a second may return where little or nothing completes.
	// Without it the second of two callers of an idle entry would have to wait for up to a
	// minute.
	minReturnRate = 1.0
	// rateTimeConstant is the time constant of the decaying completion rate.
	rateTimeConstant = 20 * time.Second
	// jitter is the random share of a Retry-After. It keeps callers whose clocks round alike
	// from returning at the same time.
	jitter = 0.2
)

// ReturnScheduler spreads the return of callers whose requests were given up. Each caller gets
// a slot in a virtual queue that drains at the headroom share of the recent completion rate, so
// that callers return at a rate which the targets can serve, however many were refused at once.
// Drawing a random delay for each caller from a growing window does not achieve this: the first
// callers draw from narrow windows, and the later ones overlap with them. The zero value is
// ready to use.
type ReturnScheduler struct {
	completed float64 // requests completed, decaying
	updatedAt time.Time
	startedAt time.Time
	// nextSlot is the time of the next free slot of the virtual queue.
	nextSlot time.Time
}

// Completed records a request that got its complete answer.
func (r *ReturnScheduler) Completed(now time.Time) {
	r.decay(now)
	r.completed++
}

// NextRetryAfter records a request that was given up, and returns the delay after which its
// caller may return, between one second and a minute. If the queue is longer than a minute,
// callers are spread over that minute at random.
func (r *ReturnScheduler) NextRetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	r.decay(now)
	first := now.Add(minRetryAfter)
	if r.nextSlot.Before(first) {
		r.nextSlot = first
	}
	wait := r.nextSlot.Sub(now)
	if wait < maxRetryAfter {
		gap := time.Duration(float64(time.Second) / max(r.rate(now), minReturnRate))
		r.nextSlot = r.nextSlot.Add(min(gap, maxRetryAfter))
		// Jitter only shortens the delay: if it lengthened delays that are then capped, all
		// the longest ones would end at the same moment.
		wait -= time.Duration(jitter * rng.Float64() * float64(wait-minRetryAfter))
		return wait
	}
	return minRetryAfter + time.Duration(rng.Float64()*float64(maxRetryAfter-minRetryAfter))
}

// rate returns how many callers a second may return.
func (r *ReturnScheduler) rate(now time.Time) float64 {
	// Less than the time constant may have passed since the start.
	memory := rateTimeConstant.Seconds()
	span := memory * (1 - math.Exp(-now.Sub(r.startedAt).Seconds()/memory))
	return headroom * r.completed / max(span, minRetryAfter.Seconds())
}

func (r *ReturnScheduler) decay(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt, r.startedAt = now, now
	}
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.completed *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		r.updatedAt = now
	}
}
