// Package retry decides whether a request that met an error is tried again.
//
// Three things decide. Truth comes first: a request that may not be repeated is
// tried again only if it is certain that no target ran it. Then the budget:
// retries are a small part of the requests of each workspace and hop, so that
// an outage does not multiply the load (Site Reliability Engineering, chapter
// 22). Then time: a retry that would start after the deadline is not made.
//
// A request that is given up gets its final outcome at once, with a
// Retry-After that spreads the callers' return over the time in which the
// targets can take them.
//
// Everything is pure: time and randomness are arguments.
//
// # Usage
//
//	budgets.Request(key, now) // once for each request
//	d := retry.Decide(&attempts, kind, budgets.For(key), returns, deadline, now, rng)
//	if d.Retry {
//		sleepUntil(d.At) // then pick a target with the tried ones excluded
//		return again()
//	}
//	return d.Err // an *outcome.Error
package retry

import (
	"math/rand/v2"
	"time"

	"verbenashift/core/request/outcome"
)

// Kind says how an attempt ended.
type Kind int

// The kinds of errors. The zero value claims the least.
const (
	// Broken is a transport error after the first byte left: the target may
	// have run the request.
	Broken Kind = iota
	// NotSent is a transport error before the first byte left.
	NotSent
	// Refused is an agent's word that the request was not run and that
	// another target may take it.
	Refused
	// RefusedAll is a refusal that holds at any target, such as one for the
	// workspace's limit. It is not tried elsewhere.
	RefusedAll
	// Failed says that the target ran the request and failed.
	Failed
)

// Attempts is what is known of one request so far. The zero value is a request
// before its first error.
type Attempts struct {
	// MayNotRepeat says that the request runs at most once.
	MayNotRepeat bool
	// Urgent says that a person waits for the answer.
	Urgent bool
	// Errors counts the attempts that ended in an error.
	Errors int
	// MayHaveRun and HasFailed are set by Decide.
	MayHaveRun bool
	HasFailed  bool
}

// Decision is what to do next: retry at a time, or end with an error.
type Decision struct {
	Retry bool
	At    time.Time
	// Err is the final word on the request if Retry is false.
	Err *outcome.Error
}

// The reasons for giving up.
const (
	ReasonMayNotRepeat = "may-not-repeat"
	ReasonAttempts     = "attempts-spent"
	ReasonBudget       = "retry-budget-spent"
	ReasonDeadline     = "deadline"
	ReasonRefused      = "refused"
)

const (
	// maxErrors is how many attempts may fail; it stays below the number of
	// targets that a route query can exclude.
	maxErrors = 4
	// baseBackoff and maxBackoff bound the wait before a retry.
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Decide records an error of the request and decides what follows. A zero
// deadline means none.
func Decide(a *Attempts, kind Kind, budget *Budget, returns *ReturnScheduler, deadline, now time.Time, rng *rand.Rand) Decision {
	a.Errors++
	switch kind {
	case Broken:
		a.MayHaveRun = true
	case Failed:
		a.HasFailed = true
	}
	at := now.Add(backoff(a.Errors, kind, rng))
	reason := forbidden(a, kind, at, deadline)
	if reason == "" && !budget.Take(now) {
		reason = ReasonBudget
	}
	if reason == "" {
		return Decision{Retry: true, At: at}
	}
	return Decision{Err: giveUp(a, reason, returns, now, rng)}
}

// forbidden returns why a retry is out of the question, or "".
func forbidden(a *Attempts, kind Kind, at, deadline time.Time) string {
	switch {
	case a.MayNotRepeat && (a.MayHaveRun || a.HasFailed):
		// A caption job is billed, a chapel is booked: after the first byte
		// has left nobody can tell whether the target ran it, so a second
		// attempt might be a second run. The caller hears "unknown".
		return ReasonMayNotRepeat
	case kind == RefusedAll:
		return ReasonRefused
	case a.Errors >= maxErrors:
		return ReasonAttempts
	case !deadline.IsZero() && !at.Before(deadline):
		return ReasonDeadline
	}
	return ""
}

// giveUp returns the final word. It is about all attempts, not the last: a
// request that was refused after an attempt that broke may still have run, and
// a caller who heard "not-run" would send it a second time.
func giveUp(a *Attempts, reason string, returns *ReturnScheduler, now time.Time, rng *rand.Rand) *outcome.Error {
	return &outcome.Error{Outcome: a.Outcome(), Reason: reason, RetryAfter: returns.NextRetryAfter(now, rng)}
}

// Outcome returns what is known of the request if nothing more is done for it.
func (a *Attempts) Outcome() outcome.Outcome {
	switch {
	case a.MayHaveRun:
		return outcome.Unknown
	case a.HasFailed:
		return outcome.Failed
	}
	return outcome.NotRun
}

// backoff returns a wait with full jitter, doubled with each error. The first
// refusal is not waited for: another target may be idle now.
func backoff(errors int, kind Kind, rng *rand.Rand) time.Duration {
	if errors == 1 && kind != Failed {
		return 0
	}
	limit := min(maxBackoff, baseBackoff<<errors)
	return time.Duration(rng.Int64N(int64(limit)))
}

// hedgeFactor is how many usual times to the first token a request waits
// before it is sent a second time.
const hedgeFactor = 3

// Hedge reports whether a second attempt starts now beside one that has not
// answered for a time. Only urgent requests that may be repeated are hedged,
// only once, and out of the same budget as retries: hedging doubles work just
// when targets are slow. Usual is a high percentile of the time to the first
// token; 0 is unknown and prevents hedging.
func Hedge(a *Attempts, waited, usual time.Duration, budget *Budget, now time.Time) bool {
	if a.MayNotRepeat || !a.Urgent || a.Errors > 0 || usual <= 0 {
		return false
	}
	return waited > hedgeFactor*usual && budget.Take(now)
}
