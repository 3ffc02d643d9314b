// Package relay decides what an entry does for one request, step by step.
//
// A Relay is a pure state machine: the entry carries out one Action at a time
// and reports what happened as an Event. The machine keeps the promises of a
// single request: a request that may not be repeated is submitted again only
// after an agent has said that the earlier attempt never will run; an answer
// that broke is continued where it stopped; and every request ends with
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

// Reasons that the machine gives for an end. Callers see them.
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

// maxLooks is how often an earlier attempt is looked for before it is sealed.
const maxLooks = 2

// Request is what the machine has to know of a request.
type Request struct {
	// Repeatable says that running it twice does no harm.
	Repeatable bool
	// CallerKey says that the caller gave the idempotency key, so that an
	// earlier try with the same key may exist.
	CallerKey bool
	// Refused, if set, is why the entry does not run the request. With a
	// caller's key the home is asked first: an earlier try may have run, and
	// its answer is given all the same.
	Refused *outcome.Error
}

// Limits bound the tries of one request.
type Limits struct {
	// Tries is how many targets may be asked in a row, the first included,
	// without a piece of the answer from any of them.
	Tries int
	// Submits bounds the attempts in all.
	Submits int
	// Claims is how often the home of a key is asked.
	Claims int
	// Attaches is how often a broken answer of a request that may not be
	// repeated is asked for again.
	Attaches int
	// Backoff is the pause before a second claim or attach; it doubles.
	Backoff time.Duration
	// RetryAfter is what callers are told when nothing better is known.
	RetryAfter time.Duration
}

// Relay is the state of one request.
type Relay struct {
	req Request
	lim Limits

	tries, claims, attaches, submits int
	// looks counts how often an earlier attempt was not there yet.
	looks int
	// progressed says that a piece of the answer came.
	progressed bool
	// asked says that the home has decided on the key for this request.
	asked bool
	// granted says that this request holds its key.
	granted bool
	// held says that the request reads an earlier attempt's answer.
	held bool
	// reader says that the request only reads an earlier answer.
	reader bool
	// started says that a target may have begun to run it.
	started bool
	// last is the latest refusal, given to the caller if no target is left.
	last *outcome.Error
	// afterRelease is the step that follows a Release.
	afterRelease Action
}

// New returns the machine of one request.
func New(req Request, lim Limits) *Relay {
	return &Relay{req: req, lim: lim}
}

// refusedAtEntry ends a refused request, or asks the key's home first.
func (r *Relay) refusedAtEntry() Action {
	if r.req.CallerKey {
		return Action{Kind: Claim}
	}
	return Action{Kind: Finish, Err: r.last}
}

// NewReader returns the machine of a caller that asks again for the answer of
// an earlier request: it reads and runs nothing.
func NewReader(lim Limits) *Relay {
	return &Relay{lim: lim, held: true, started: true, reader: true}
}

// Start returns the first step.
func (r *Relay) Start() Action {
	if r.reader {
		return Action{Kind: Attach}
	}
	if r.req.Refused != nil {
		r.last = r.req.Refused
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
		r.asked, r.granted = true, true
		return r.submit()
	case Held:
		r.asked, r.held = true, true
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
		r.asked = true
		return r.noTarget(e)
	case Ended:
		return r.ended(e)
	case Disconnected:
		return r.broke(e)
	case NotSeen:
		return r.notSeen()
	case RecordLost:
		return r.gone()
	case Sealed:
		return r.sealed()
	case Seen:
		r.started = true
		return r.goOn()
	case Released:
		return r.afterRelease
	}
	return finish(outcome.Unknown, ReasonInterrupted, 0)
}
