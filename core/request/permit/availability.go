package permit

import "time"

const (
	// claimTime is how long it takes a sender at most to claim permits of a target that has
	// some left.
	claimTime = time.Second
	// waitPart is the part of its caller's time for which a request waits: callers who are
	// refused come back no later, and have a try less then.
	waitPart = 1.0 / 3
)

// ReasonThrottled is why a request is refused that no target takes yet.
const ReasonThrottled = "targets-throttled"

// Availability is what is known of the targets of a service that may take a request but not yet.
//
// The load pattern it answers is a service all of whose targets name limits. What they take is
// a part of what comes, so that whoever can't have its turn soon is told at once when to come
// back, and the others wait instead of losing one of their few tries.
type Availability struct {
	// At is when the first of them takes a request; zero if this is not known, since permits
	// are still to be claimed.
	At time.Time
	// Rate is how many requests a second they take of this sender together.
	Rate float64
	// Waiting is how many requests wait for them already.
	Waiting int
}

// WaitDeadline returns until when a request may wait that came at a time and whose caller has gone
// at a deadline.
func WaitDeadline(came, deadline time.Time) time.Time {
	return came.Add(time.Duration(float64(deadline.Sub(came)) * waitPart))
}

// ExpectedStart returns when a request has its turn, if it comes now.
func (o Availability) ExpectedStart(now time.Time) time.Time {
	turn := o.At
	if turn.IsZero() {
		turn = now.Add(claimTime)
	}
	if turn.Before(now) {
		turn = now
	}
	if o.Waiting > 0 && o.Rate > 0 {
		turn = turn.Add(time.Duration(float64(o.Waiting) / o.Rate * float64(time.Second)))
	}
	return turn
}

// Add takes a further target into the opening: when it takes a request, zero if this is not
// known, and how many a second.
func (o *Availability) Add(at time.Time, rate float64) {
	if !at.IsZero() && (o.At.IsZero() || at.Before(o.At)) {
		o.At = at
	}
	o.Rate += rate
}
