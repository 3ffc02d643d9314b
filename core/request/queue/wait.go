package queue

import "time"

const (
	// minWait is how long any request may wait for a slot.
	minWait = 100 * time.Millisecond
	// ShortBacklog is the age of a backlog up to which a request is accepted although it will
	// be late: a group that its coordinator has left in the middle of a change is stalled for
	// about that long.
	ShortBacklog = time.Second
	// maxClosedWait is how long a request at its first attempt waits while no target accepts
	// requests. An outage that ends in that time was a restart; a lost rank takes seconds, and
	// then the caller had better come back with an attempt left than when all others do.
	maxClosedWait = 700 * time.Millisecond
	// defaultCallerTimeout is how long the caller of a stream waits for its first event if the
	// route does not specify it.
	defaultCallerTimeout = 2 * time.Second
	// startMargin is the time left between the first event and the end of its caller's
	// timeout: for the network, and for a forward pass that takes longer than expected.
	startMargin = 150 * time.Millisecond
)

// Wait holds the inputs that determine how long a request may wait for a slot.
type Wait struct {
	// Objective is the time within which its route wants the first event of the response,
	// Service the time that engines take to it from the start.
	Objective, Service time.Duration
	// CallerTimeout is how long its caller waits for the first event; 0 means unknown.
	CallerTimeout time.Duration
	// BacklogAge is for how long requests have been waiting without a break.
	BacklogAge time.Duration
	// Retry reports whether its caller has been refused before, Closed whether no target
	// accepts requests now.
	Retry, Closed bool
}

// Longest returns how long the request may wait from its arrival.
//
// The load patterns it handles are engines that are unavailable for a moment, and more requests
// than they can serve, for seconds. The first is over soon, and no request need be refused for
// it: a request waits as long as its caller may still get a response. In the second, a request
// that can't be on time any more is refused, and its caller comes back a moment later: a queue
// of requests that are late already makes all requests behind them late as well. A retrying
// caller waits as long as it can, since a second refusal is mostly final.
func (w Wait) Longest() time.Duration {
	switch {
	case w.Retry:
		return w.CallerLimit()
	case w.Closed:
		return min(maxClosedWait, w.CallerLimit())
	case w.BacklogAge <= ShortBacklog:
		return w.CallerLimit()
	}
	return min(max(w.Objective-w.Service, minWait), w.CallerLimit())
}

// CallerLimit returns how long after its arrival the request must have started for its caller
// to be still connected when its response begins.
func (w Wait) CallerLimit() time.Duration {
	timeout := w.CallerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	return max(timeout-w.Service-startMargin, minWait)
}
