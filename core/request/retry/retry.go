// Package retry decides whether a request that met an error is retried.
//
// Three checks apply in order. Safety: a request that may not be repeated is
// retried only if it is certain that no target ran it. Budget: retries are a
// small share of the requests of each workspace and hop, so that an outage does
// not multiply the load (Site Reliability Engineering, chapter 22). Deadline: a
// retry that would start after the deadline is not made.
//
// A request that is not retried gets its final outcome at once, with a
// Retry-After that spreads the returning callers over the time in which the
// targets can serve them.
//
// The package has no side effects: time and randomness are arguments.
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

// Kind classifies how an attempt ended.
type Kind int

// The kinds of errors. The zero value claims the least.
const (
	// Broken is a transport error after the first byte was sent: the target may have run the
	// request.
	Broken Kind = iota
	// NotSent is a transport error before the first byte was sent.
	NotSent
	// Refused is an agent's statement that the request was not run and that another target may
	// take it.
	Refused
	// RefusedAll is a refusal that applies at every target, such as one for the workspace's
	// limit. It is not retried elsewhere.
	RefusedAll
	// Failed means that the target ran the request and failed.
	Failed
)

// Attempts is what is known of the attempts of one request so far. The zero value is a request
// before its first error.
type Attempts struct {
	// MayNotRepeat means that the request may run at most once.
	MayNotRepeat bool
	// Urgent means that a person waits for the answer.
	Urgent bool
	// Errors counts the attempts that ended in an error.
	Errors int
	// MayHaveRun and HasFailed are set by Decide.
	MayHaveRun bool
	HasFailed  bool
}

// Decision is the next step: a retry at the given time, or the final error.
type Decision struct {
	Retry bool
	At    time.Time
	// Err is the final outcome of the request if Retry is false.
	Err *outcome.Error
}

// The reasons why a request is not retried.
const (
	ReasonMayNotRepeat = "may-not-repeat"
	ReasonAttempts     = "attempts-spent"
	ReasonBudget       = "retry-budget-spent"
	ReasonDeadline     = "deadline"
	ReasonRefused      = "refused"
)

const (
	// maxErrors is how many attempts may fail. It stays below the number of targets that a
	// route query can exclude.
	maxErrors = 4
	// baseBackoff and maxBackoff bound the wait before a retry.
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Decide records an error of the request and returns the next step. A zero deadline means none.
func Decide(a *Attempts, kind Kind, budget *Budget, returns *ReturnScheduler, deadline, now time.Time, rng *rand.Rand) Decision {
	a.Errors++
	switch kind {
	case Broken:
		a.MayHaveRun = true
	case Failed:
		a.HasFailed = true
	}
	at := now.Add(backoff(a.Errors, kind, rng))
	reason := noRetryReason(a, kind, at, deadline)
	if reason == "" && !budget.Take(now) {
		reason = ReasonBudget
	}
	if reason == "" {
		return Decision{Retry: true, At: at}
	}
	return Decision{Err: finalError(a, reason, returns, now, rng)}
}

// noRetryReason returns why the request may not be retried, or "" if it may.
func noRetryReason(a *Attempts, kind Kind, at, deadline time.Time) string {
	switch {
	case a.MayNotRepeat && (a.MayHaveRun || a.HasFailed):
		// Once the first byte of a billed job or a booking has been sent, nobody can tell
		// whether the target ran it, so a second attempt might run it twice. The caller gets
		// the outcome unknown.
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

// finalError returns the final outcome. It covers all attempts, not just the last: a request
// that was refused after a broken attempt may still have run, and a caller that got "not-run"
// would send it again.
func finalError(a *Attempts, reason string, returns *ReturnScheduler, now time.Time, rng *rand.Rand) *outcome.Error {
	return &outcome.Error{Outcome: a.Outcome(), Reason: reason, RetryAfter: returns.NextRetryAfter(now, rng)}
}

// Outcome returns the outcome of the request if no further attempt is made.
func (a *Attempts) Outcome() outcome.Outcome {
	switch {
	case a.MayHaveRun:
		return outcome.Unknown
	case a.HasFailed:
		return outcome.Failed
	}
	return outcome.NotRun
}

// backoff returns a delay with full jitter whose limit doubles with each error. The first
// refusal has no delay, as another target may be idle now.
func backoff(errors int, kind Kind, rng *rand.Rand) time.Duration {
	if errors == 1 && kind != Failed {
		return 0
	}
	limit := min(maxBackoff, baseBackoff<<errors)
	return time.Duration(rng.Int64N(int64(limit)))
}

// hedgeFactor is how many times the baseline time to the first token a request waits before a
// second attempt is sent.
const hedgeFactor = 3

// Hedge reports whether to start a second attempt beside one that has not answered for the time
// waited. Only urgent requests that may be repeated are hedged, only once, and from the same
// budget as retries, since hedging doubles the work just when targets are slow. Baseline is a
// high percentile of the time to the first token; 0 means unknown and disables hedging.
func Hedge(a *Attempts, waited, baseline time.Duration, budget *Budget, now time.Time) bool {
	if a.MayNotRepeat || !a.Urgent || a.Errors > 0 || baseline <= 0 {
		return false
	}
	return waited > hedgeFactor*baseline && budget.Take(now)
}
