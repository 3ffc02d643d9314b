// Package outcome defines the four outcomes of a request.
//
// Every answer to a caller has exactly one of them: Complete, NotRun, Unknown
// or Failed. The outcome alone tells a caller whether a retry is safe.
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

// Outcome is the final result of a request.
type Outcome int

// The outcomes of a request.
const (
	// None is the zero value: the request has not ended.
	None Outcome = iota
	// Complete means that the caller got the complete answer.
	Complete
	// NotRun means that no target ran the request, so that a retry is safe.
	NotRun
	// Unknown means that the request may have run and will not be run again.
	Unknown
	// Failed means that the request ran and failed.
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

// Error is the result of a request whose outcome is not Complete.
type Error struct {
	Outcome Outcome
	// Reason is a stable kebab-case identifier such as "queue-full". It never contains any
	// part of a request or an answer.
	Reason string
	// RetryAfter is the delay before a retry; zero means unknown.
	RetryAfter time.Duration
	// Status is the HTTP status for the caller; zero selects the default of the outcome.
	Status int
}

// Error returns the outcome and its reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}
