package relay

import (
	"time"

	"verbenashift/core/request/outcome"
)

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
