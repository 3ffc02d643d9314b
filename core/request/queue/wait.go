package queue

import "time"

const (
	// leastWait is how long a request may always wait for its place.
	leastWait = 100 * time.Millisecond
	// longWait is how long a new request may wait that will be late: one that a target
	// has refused, until it is tried again, or one that finds a line which has only
	// begun to form. Callers of streams wait two seconds for a first event.
	longWait = 1400 * time.Millisecond
	// shortLine is how long a line may have stood for a request to be let into it
	// although it will be late: a group that its steward has left in a change stands
	// for about so long.
	shortLine = time.Second
	// returnWait is how long a caller that has been refused before may wait: a
	// second refusal is mostly its last.
	returnWait = 1700 * time.Millisecond
	// closedWait is how long a new request waits while all targets refuse. What
	// is over in that time was a restart; a lost rank takes seconds, and the
	// caller had better come back then.
	closedWait = 700 * time.Millisecond
)

// Wait is what decides how long a request may wait for its place.
type Wait struct {
	// Objective is the time within which its route wants the first part of the
	// answer, Service the time that engines take to it from the start.
	Objective, Service time.Duration
	// Line is how long others have been waiting without a break.
	Line time.Duration
	// Returning says that its caller has been refused before, Closed that all targets
	// refuse now.
	Returning, Closed bool
}

// Longest returns how long the request may wait from its arrival.
//
// The load patterns it answers are a group that stands still for a moment, and more
// requests than the engines take, for seconds. The first is over soon, and nobody need
// be sent away for it. In the second, whoever can't be on time any more is told so, and
// comes back a moment later: a line of requests that are late already makes all that
// come after them late as well. With a quarter more callers than places six of ten are
// on time, and hardly any with a line of 1.4 s (TestOverload).
func (w Wait) Longest() time.Duration {
	switch {
	case w.Returning:
		return returnWait
	case w.Closed:
		return closedWait
	case w.Line <= shortLine:
		return longWait
	}
	return max(w.Objective-w.Service, leastWait)
}

// LongestAgain returns how long a request may wait from its arrival to be tried again
// after a target has refused it.
func LongestAgain(returning bool) time.Duration {
	if returning {
		return returnWait
	}
	return longWait
}
