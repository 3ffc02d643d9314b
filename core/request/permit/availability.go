package permit

import "time"

const (
	// maxClaimTime is the longest time that a sender needs to claim permits of a target that
	// has free ones.
	maxClaimTime = time.Second
	// maxWaitFraction is the fraction of its caller's time for which a request waits: a caller
	// that is refused retries after this fraction at the latest, and has one try less then.
	maxWaitFraction = 1.0 / 3
)

// ReasonThrottled is the reason of refusals of requests that no target accepts yet.
const ReasonThrottled = "targets-throttled"

// Availability describes the targets of a service that may accept a request, but not yet.
//
// The load pattern it handles is a service all of whose targets set limits. They accept only a
// part of the requests, so that a request that will not be sent soon is refused at once with a
// time to retry, and the others wait instead of using up one of their few tries.
type Availability struct {
	// At is when the first of them accepts a request; zero if this is not known, because
	// permits are still to be claimed.
	At time.Time
	// Rate is the number of requests a second that they accept from this sender together.
	Rate float64
	// Waiting is the number of requests that already wait for them.
	Waiting int
}

// WaitDeadline returns until when a request may wait that arrived at a time and whose caller
// disconnects at a deadline.
func WaitDeadline(arrived, deadline time.Time) time.Time {
	return arrived.Add(time.Duration(float64(deadline.Sub(arrived)) * maxWaitFraction))
}

// ExpectedStart returns when a request that arrives now is expected to be sent.
func (a Availability) ExpectedStart(now time.Time) time.Time {
	at := a.At
	if at.IsZero() {
		at = now.Add(maxClaimTime)
	}
	if at.Before(now) {
		at = now
	}
	if a.Waiting > 0 && a.Rate > 0 {
		at = at.Add(time.Duration(float64(a.Waiting) / a.Rate * float64(time.Second)))
	}
	return at
}

// Add adds a target: when it accepts a request, zero if this is not known, and how many a
// second.
func (a *Availability) Add(at time.Time, rate float64) {
	if !at.IsZero() && (a.At.IsZero() || at.Before(a.At)) {
		a.At = at
	}
	a.Rate += rate
}
