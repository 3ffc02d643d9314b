// Package outcome names the four ways in which a request can end.
//
// Every answer to a caller is exactly one of them: Complete, NotRun, Unknown
// or Failed. A caller decides from the outcome alone whether a retry is safe.
//
// # Usage
//
//	var refusal *outcome.Error
//	if errors.As(err, &refusal) && refusal.Outcome == outcome.NotRun {
//		retryAfter(refusal.RetryAfter)
//	}
package outcome

import (
	"fmt"
	"time"
)

// Outcome is the final word on a request.
type Outcome int

// The outcomes. The zero value means that no outcome is known yet.
const (
	// None is the zero value: the request has not ended.
	None Outcome = iota
	// Complete says that the caller got the whole answer.
	Complete
	// NotRun says that no target ran the request, so that a retry is safe.
	NotRun
	// Unknown says that the request may have run and will not be run again.
	Unknown
	// Failed says that the request ran and failed.
	Failed
)

var names = [...]string{None: "none", Complete: "complete", NotRun: "not-run", Unknown: "unknown", Failed: "failed"}

// String returns the outcome's name as callers see it.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(names) {
		return fmt.Sprintf("outcome(%d)", int(o))
	}
	return names[o]
}

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// Error is the end of a request other than Complete.
type Error struct {
	Outcome Outcome
	// Reason is a stable kebab-case word such as "queue-full". It never holds
	// any part of a request or an answer.
	Reason string
	// RetryAfter is when to come back; zero means that no time is known.
	RetryAfter time.Duration
	// Status is the HTTP status for the caller; zero lets the edge choose.
	Status int
}

// Error returns the outcome and its reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}
