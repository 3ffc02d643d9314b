package retry

import (
	"math"
	"time"
)

const (
	// payingSpans is how many windows pay for the retries of one: a retry and what pays for it are
	// at most a window apart.
	payingSpans = 2
	// creditSteps is the number of steps in which credits are counted. A credit is valid for at most
	// that many.
	creditSteps = 20
)

// credits are retries that requests have paid for and that were not made yet. Each expires a window
// after its request.
//
// It serves the loss of many attempts at once: a server or a whole group crashes and everything in
// flight there breaks. As a moment may use all credits, most of it can be retried.
//
// Whichever process makes a retry, its request is one that no other process counts. Retries within
// a window are therefore paid for by the requests of two windows at most, however many processes
// were lost or lost their callers meanwhile.
type credits struct {
	step time.Duration
	// startedAt is when the first step began, on the monotonic clock.
	startedAt time.Time
	newest    int64
	steps     [creditSteps]float64
}

// newCredits returns credits that are valid for a span.
func newCredits(span time.Duration) *credits { return &credits{step: span / creditSteps} }

// expire removes the credits that have expired, and returns the index of the newest step. A time
// before the newest step counts as in it.
func (c *credits) expire(now time.Time) int64 {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	n := int64(now.Sub(c.startedAt) / c.step)
	c.newest = max(c.newest, n-creditSteps)
	for c.newest < n {
		c.newest++
		c.steps[c.newest%creditSteps] = 0
	}
	return c.newest % creditSteps
}

// add adds credits that n retries cost.
func (c *credits) add(n float64, now time.Time) { c.steps[c.expire(now)] += n }

// left returns how many retries have been paid for.
func (c *credits) left(now time.Time) (left float64) {
	c.expire(now)
	for _, n := range c.steps {
		left += n
	}
	return left
}

// take uses the credits of at most n retries, the oldest first, and returns how many there were.
func (c *credits) take(n float64, now time.Time) (taken float64) {
	newest := c.expire(now)
	for i := int64(1); i <= creditSteps && taken < n; i++ {
		step := &c.steps[(newest+i)%creditSteps]
		part := min(*step, n-taken)
		*step -= part
		taken += part
	}
	return taken
}

// reserve is a bucket of retries beyond what requests pay for. It refills over a window.
type reserve struct {
	tokens float64
	at     time.Time
}

// newReserve returns the reserve of a process: full, or empty at startedAt if that is set.
func newReserve(startedAt time.Time) reserve {
	if startedAt.IsZero() {
		return reserve{tokens: math.Inf(1)}
	}
	return reserve{at: startedAt}
}

// left returns how many retries the reserve holds, of the given most.
func (r *reserve) left(most float64, window time.Duration, now time.Time) float64 {
	refilled := most * max(now.Sub(r.at), 0).Seconds() / window.Seconds()
	return min(most, r.tokens+refilled)
}
