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

	"verbenashift/core/outcome"
)

// Reasons that the machine gives for an end. Callers see them.
const (
	ReasonNoTarget     = "no-target"
	ReasonRegister     = "register-unavailable"
	ReasonKeyReused    = "key-reused-with-other-body"
	ReasonEarlierTry   = "earlier-attempt-unknown"
	ReasonInterrupted  = "interrupted"
	ReasonAnswerGone   = "answer-no-longer-kept"
	ReasonCallerGone   = "caller-gone"
	ReasonOverDeadline = "deadline-exceeded"
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

// ActionKind is what the entry has to do next.
type ActionKind int

// The actions.
const (
	// Pick chooses a target that was not tried yet; reply Picked or NoTarget.
	Pick ActionKind = iota + 1
	// Claim asks the key's home for the picked target, or, after NoTarget,
	// only whether an earlier attempt holds the key; reply Granted, Held,
	// Mismatch, Uncertain, ClaimFailed or Free.
	Claim
	// Submit sends the request to the picked target and relays its frames;
	// reply Ended or Broke.
	Submit
	// Attach reads the answer of an earlier attempt; reply Ended, Broke or
	// NotSeen.
	Attach
	// Seal makes the executor refuse an attempt for ever; reply Sealed,
	// Seen or Broke.
	Seal
	// Release gives the key back to its home; reply Released.
	Release
	// Finish ends the request with Err, nil for complete.
	Finish
)

// Action is one step for the entry to take.
type Action struct {
	Kind ActionKind
	// Wait is how long to pause before the step.
	Wait time.Duration
	// Resume says that a Submit continues an answer that broke.
	Resume bool
	// Err is the end of the request when Kind is Finish.
	Err *outcome.Error
}

// EventKind is what happened.
type EventKind int

// The events.
const (
	// Picked says that a target was chosen.
	Picked EventKind = iota + 1
	// NoTarget says that there is none left to try.
	NoTarget
	// Granted says that the key is this request's to run.
	Granted
	// Held says that an earlier attempt holds the key.
	Held
	// Mismatch says that the key was used with another body.
	Mismatch
	// Uncertain says that an earlier attempt may have run.
	Uncertain
	// ClaimFailed says that the home gave no decision.
	ClaimFailed
	// Free says that the home knows no attempt that holds the key, in answer
	// to a Claim without a target.
	Free
	// Ended says that the answer came to an explicit end.
	Ended
	// Broke says that the connection ended without one.
	Broke
	// NotSeen says that the executor never saw the request.
	NotSeen
	// Gone says that the executor has lost its memory of the request.
	Gone
	// Sealed says that the attempt never ran and never will.
	Sealed
	// Seen says that the executor has the attempt after all.
	Seen
	// Released says that the home was told.
	Released
)

// Event reports how a step ended.
type Event struct {
	Kind EventKind
	// Ending is set with Ended.
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
	Handover   bool
	// NotSent is set with Broke when the request surely never left.
	NotSent bool
	// Progress says that the attempt brought a piece of the answer.
	Progress bool
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
		return finish(outcome.Unknown, ReasonEarlierTry, e.RetryAfter)
	case ClaimFailed:
		return r.claimFailed(e)
	case Free:
		r.asked = true
		return r.noTarget(e)
	case Ended:
		return r.ended(e)
	case Broke:
		return r.broke(e)
	case NotSeen:
		return r.notSeen()
	case Gone:
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

func finish(o outcome.Outcome, reason string, after time.Duration) Action {
	if o == outcome.Complete {
		return Action{Kind: Finish}
	}
	return Action{Kind: Finish, Err: &outcome.Error{Outcome: o, Reason: reason, RetryAfter: after}}
}

func (r *Relay) picked() Action {
	if r.req.Repeatable {
		return r.submit()
	}
	r.claims = 0
	return Action{Kind: Claim}
}

func (r *Relay) submit() Action {
	r.tries++
	r.submits++
	return Action{Kind: Submit, Resume: r.started}
}

// noTarget ends the request. Nothing ran unless an attempt was started, and
// only a repeatable one can come here after that: its answer is then broken
// off for good. A caller's key may have run at an earlier try, though: without
// a word of its home "not run" would be a guess, and the caller could book the
// same slot under another key.
func (r *Relay) noTarget(e Event) Action {
	if r.started {
		return finish(r.brokenOff(), ReasonInterrupted, max(e.RetryAfter, r.lim.RetryAfter))
	}
	if r.last != nil {
		return Action{Kind: Finish, Err: r.last}
	}
	if r.req.CallerKey && !r.asked {
		r.claims = 0
		return Action{Kind: Claim}
	}
	return finish(outcome.NotRun, ReasonNoTarget, max(e.RetryAfter, r.lim.RetryAfter))
}

// claimFailed asks the home again, a bounded number of times. Claims of one
// request are idempotent, so a lost answer does no harm. In the end the answer
// is unknown if the caller may have tried this key before, since that earlier
// try may have run; a key made by the entry itself has no earlier try.
func (r *Relay) claimFailed(e Event) Action {
	r.claims++
	if r.claims < r.lim.Claims {
		return Action{Kind: Claim, Wait: r.backoff(r.claims)}
	}
	if r.req.CallerKey {
		return finish(outcome.Unknown, ReasonRegister, max(e.RetryAfter, r.lim.RetryAfter))
	}
	return finish(outcome.NotRun, ReasonRegister, max(e.RetryAfter, r.lim.RetryAfter))
}

func (r *Relay) backoff(n int) time.Duration {
	return r.lim.Backoff << min(n-1, 6)
}

func (r *Relay) ended(e Event) Action {
	if e.Handover {
		r.started = true
		return r.goOn()
	}
	switch e.Outcome {
	case outcome.Complete:
		return finish(outcome.Complete, "", 0)
	case outcome.NotRun:
		return r.refused(e)
	case outcome.Failed:
		return finish(outcome.Failed, e.Reason, e.RetryAfter)
	}
	if r.req.Repeatable {
		r.started = true
		return r.again(ReasonInterrupted)
	}
	return finish(outcome.Unknown, e.Reason, e.RetryAfter)
}

// refused handles a not-run: the target has not run it and will not, so that
// another may be asked. A request that holds its key must give it back first,
// since the caller's next try would otherwise wait for an attempt that never
// comes.
func (r *Relay) refused(e Event) Action {
	if r.reader {
		return finish(outcome.NotRun, e.Reason, max(e.RetryAfter, r.lim.RetryAfter))
	}
	r.last = &outcome.Error{Outcome: outcome.NotRun, Reason: e.Reason, RetryAfter: max(e.RetryAfter, r.lim.RetryAfter)}
	if r.started && r.req.Repeatable {
		return r.again(e.Reason)
	}
	next := Action{Kind: Finish, Err: r.last}
	if r.mayTry() {
		next = Action{Kind: Pick}
	}
	return r.release(next)
}

// mayTry reports whether another target may be asked.
func (r *Relay) mayTry() bool {
	return r.tries < r.lim.Tries && r.submits < r.lim.Submits
}

func (r *Relay) release(next Action) Action {
	if !r.granted && !r.held {
		return next
	}
	r.granted, r.held = false, false
	r.afterRelease = next
	return Action{Kind: Release}
}

// again tries another target for a repeatable request whose answer broke.
func (r *Relay) again(reason string) Action {
	if !r.mayTry() {
		return finish(r.brokenOff(), reason, r.lim.RetryAfter)
	}
	return Action{Kind: Pick}
}

// brokenOff is the outcome of a repeatable request that is given up after an
// attempt began: it failed if a piece of the answer came, and otherwise nobody
// can say whether it ran.
func (r *Relay) brokenOff() outcome.Outcome {
	if r.progressed {
		return outcome.Failed
	}
	return outcome.Unknown
}

// goOn continues an answer that stopped without its end: a repeatable one at
// another target, any other only where it already runs.
func (r *Relay) goOn() Action {
	if r.req.Repeatable {
		return r.again(ReasonInterrupted)
	}
	if r.attaches >= r.lim.Attaches {
		return finish(outcome.Unknown, ReasonInterrupted, r.lim.RetryAfter)
	}
	r.attaches++
	return Action{Kind: Attach, Wait: r.backoff(r.attaches)}
}

// broke handles a connection that ended without a word. Only where the request
// surely never left may it count as refused; in every other case the target
// may be running it.
func (r *Relay) broke(e Event) Action {
	if e.NotSent && !r.started && !r.held {
		return r.refused(Event{Reason: ReasonNoTarget})
	}
	r.started = r.started || !e.NotSent
	return r.goOn()
}

// notSeen follows an executor's word that it has no answer for the attempt. An
// earlier attempt that holds the key may still be on its way from its own
// entry: it gets a moment before it is sealed, which would only make its
// caller try again.
func (r *Relay) notSeen() Action {
	if r.reader {
		return finish(outcome.Unknown, ReasonAnswerGone, 0)
	}
	if r.req.Repeatable {
		r.started = true
		return r.goOn()
	}
	if r.held && r.looks < maxLooks {
		r.looks++
		return Action{Kind: Attach, Wait: r.backoff(r.looks)}
	}
	return Action{Kind: Seal}
}

// gone ends a request whose executor has lost its memory. It may have run.
func (r *Relay) gone() Action {
	r.started = true
	if r.attaches < r.lim.Attaches && !r.held {
		return r.goOn()
	}
	return finish(outcome.Unknown, ReasonAnswerGone, 0)
}

// sealed follows an executor's word that the attempt never ran and never will.
// A reader of an earlier attempt may now claim the key itself.
func (r *Relay) sealed() Action {
	r.started = false
	next := Action{Kind: Finish, Err: &outcome.Error{Outcome: outcome.NotRun, Reason: ReasonInterrupted, RetryAfter: r.lim.RetryAfter}}
	if r.mayTry() {
		next = Action{Kind: Pick}
	}
	return r.release(next)
}
