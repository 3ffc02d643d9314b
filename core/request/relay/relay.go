// Package relay decides what an entry does for one request, step by step.
//
// A Relay is a state machine without side effects: the entry carries out one
// Action at a time and reports the result as an Event. The machine guarantees
// for each request that one that may not be repeated is submitted again only
// after an agent has stated that the earlier attempt will never run, that an
// interrupted answer continues where it stopped, and that the request ends with
// exactly one outcome.
//
// # Usage
//
//	r := relay.New(relay.Request{Repeatable: true}, relay.Limits{Tries: 3})
//	for a := r.Start(); ; a = r.Next(do(a)) {
//		if a.Kind == relay.Finish {
//			return a.Err
//		}
//	}
package relay

import (
	"net/http"
	"time"

	"verbenashift/core/request/outcome"
)

// The reasons for the end of a request. They are returned to callers.
const (
	ReasonNoTarget       = "no-target"
	ReasonRegister       = "register-unavailable"
	ReasonKeyReused      = "key-reused-with-other-body"
	ReasonEarlierAttempt = "earlier-attempt-unknown"
	ReasonInterrupted    = "interrupted"
	ReasonAnswerGone     = "answer-no-longer-kept"
	ReasonCallerGone     = "caller-gone"
	ReasonOverDeadline   = "deadline-exceeded"
)

// maxLookups is how often an earlier attempt is looked up before it is sealed.
const maxLookups = 2

// Request holds the properties of a request that the machine depends on.
type Request struct {
	// Repeatable means that running the request twice does no harm.
	Repeatable bool
	// CallerKey means that the caller set the idempotency key, so that an earlier attempt with
	// the same key may exist.
	CallerKey bool
	// Refused, if set, is the error with which the entry refuses to run the request. If the
	// caller set the key, its home is queried first: an earlier attempt may have run, and its
	// answer is then returned nevertheless.
	Refused *outcome.Error
}

// Limits bound the attempts of one request.
type Limits struct {
	// Tries is how many targets in a row, including the first, may be tried without a piece of
	// the answer from any of them.
	Tries int
	// Submits bounds the total number of attempts.
	Submits int
	// Claims is how often the home of a key is queried.
	Claims int
	// Attaches is how often an interrupted answer of a request that may not be repeated is
	// requested again.
	Attaches int
	// Backoff is the delay before a second claim or attach. It doubles each time.
	Backoff time.Duration
	// RetryAfter is returned to callers if no better value is known.
	RetryAfter time.Duration
}

// Relay is the state of one request.
type Relay struct {
	req Request
	lim Limits

	tries, claims, attaches, submits int
	// lookups counts how often an earlier attempt was not found yet.
	lookups int
	// progressed means that a piece of the answer was received.
	progressed bool
	// decided means that the home has decided on the key for this request.
	decided bool
	// granted means that this request holds its key.
	granted bool
	// held means that the request reads an earlier attempt's answer.
	held bool
	// readOnly means that the request only reads an earlier answer.
	readOnly bool
	// started means that a target may have begun to run the request.
	started bool
	// lastRefusal is the latest refusal. It is returned to the caller if no target is left.
	lastRefusal *outcome.Error
	// afterRelease is the step that follows a Release.
	afterRelease Action
}

// New returns the state machine of one request.
func New(req Request, lim Limits) *Relay {
	return &Relay{req: req, lim: lim}
}

// refusedAtEntry ends a refused request, or queries the key's home first.
func (r *Relay) refusedAtEntry() Action {
	if r.req.CallerKey {
		return Action{Kind: Claim}
	}
	return Action{Kind: Finish, Err: r.lastRefusal}
}

// NewReader returns the state machine for a caller that requests the answer of an earlier
// request again. It only reads and runs nothing.
func NewReader(lim Limits) *Relay {
	return &Relay{lim: lim, held: true, started: true, readOnly: true}
}

// Start returns the first step.
func (r *Relay) Start() Action {
	if r.readOnly {
		return Action{Kind: Attach}
	}
	if r.req.Refused != nil {
		r.lastRefusal = r.req.Refused
		return r.refusedAtEntry()
	}
	return Action{Kind: Pick}
}

// Next returns the step that follows an event.
func (r *Relay) Next(e Event) Action {
	if e.Progress {
		r.tries, r.attaches, r.progressed = 0, 0, true
	}
	switch e.Kind {
	case Picked:
		return r.picked()
	case NoTarget:
		return r.noTarget(e)
	case Granted:
		r.decided, r.granted = true, true
		return r.submit()
	case Held:
		r.decided, r.held = true, true
		return Action{Kind: Attach}
	case Mismatch:
		a := finish(outcome.NotRun, ReasonKeyReused, 0)
		a.Err.Status = http.StatusUnprocessableEntity
		return a
	case Uncertain:
		return finish(outcome.Unknown, ReasonEarlierAttempt, e.RetryAfter)
	case ClaimFailed:
		return r.claimFailed(e)
	case Free:
		r.decided = true
		return r.noTarget(e)
	case Ended:
		return r.ended(e)
	case Disconnected:
		return r.disconnected(e)
	case NotSeen:
		return r.notSeen()
	case RecordLost:
		return r.recordLost()
	case Sealed:
		return r.sealed()
	case Seen:
		r.started = true
		return r.continueAnswer()
	case Released:
		return r.afterRelease
	}
	return finish(outcome.Unknown, ReasonInterrupted, 0)
}
