package queue

import "time"

const (
	// leastWait is how long a request may always wait for its place.
	leastWait = 100 * time.Millisecond
	// shortLine is how long a line may have stood for a request to be let into it
	// although it will be late: a group that its steward has left in a change stands
	// for about so long.
	shortLine = time.Second
	// closedWait is how long a request at its first try waits while no target takes
	// requests. What is over in that time was a restart; a lost rank takes seconds, and the
	// caller had better come back then, with a try left, than when all others do.
	closedWait = 700 * time.Millisecond
	// defaultPatience is how long the caller of a stream waits for its first event where
	// the route does not tell.
	defaultPatience = 2 * time.Second
	// startMargin is what is left between the first event and the end of its caller's
	// patience: the time on the wire, and of a pass that takes longer than usual.
	startMargin = 150 * time.Millisecond
)

// Wait is what decides how long a request may wait for its place.
type Wait struct {
	// Objective is the time within which its route wants the first part of the
	// answer, Service the time that engines take to it from the start.
	Objective, Service time.Duration
	// Patience is how long its caller waits for the first part of the answer; 0 if that
	// is not known.
	Patience time.Duration
	// BacklogAge is how long others have been waiting without a break.
	BacklogAge time.Duration
	// Retry says that its caller has been refused before, Closed that no target takes
	// requests now.
	Retry, Closed bool
}

// Longest returns how long the request may wait from its arrival.
//
// The load patterns it answers are engines that are away for a moment, and more
// requests than they take, for seconds. The first is over soon, and nobody need be sent
// away for it: a request waits as long as its caller may still get an answer. In the second, whoever can't be on time any
// more is told so, and comes back a moment later: a line of requests that are late already
// makes all that come after them late as well. Who comes back waits as long as it can,
// since a second refusal is mostly its last.
func (w Wait) Longest() time.Duration {
	switch {
	case w.Retry:
		return w.CallerLimit()
	case w.Closed:
		return min(closedWait, w.CallerLimit())
	case w.BacklogAge <= shortLine:
		return w.CallerLimit()
	}
	return min(max(w.Objective-w.Service, leastWait), w.CallerLimit())
}

// CallerLimit returns how long after its arrival the request must have started for its caller
// to be there still when its answer begins.
func (w Wait) CallerLimit() time.Duration {
	patience := w.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	return max(patience-w.Service-startMargin, leastWait)
}
