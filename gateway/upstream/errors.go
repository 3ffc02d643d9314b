package upstream

import (
	"errors"
	"fmt"
)

// NotSentError reports that no byte of the request was sent.
type NotSentError struct{ Err error }

// Error returns a message with the cause.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError reports that the answer was missing or incomplete after bytes of
// the request were sent: the server may have run it.
type BrokenError struct {
	// Phase is the phase of the exchange: write, head or body.
	Phase string
	Err   error
}

// Error returns a message with the phase and the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer broken in %s: %v", e.Phase, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// TooLongError reports that a part of an answer is longer than allowed.
type TooLongError struct {
	// Part is PartHead, PartLines or PartUnexpected.
	Part string
	// Read is how much of it was read, of at most Limit: bytes, or lines for PartLines.
	Read, Limit int64
}

// The parts of an answer that have a limit.
const (
	// PartHead is the head in bytes, PartLines its header lines.
	PartHead  = "head"
	PartLines = "header-lines"
	// PartUnexpected is the body of an answer to another request.
	PartUnexpected = "unexpected-body"
)

// Error returns a message with the part, what was read and the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s over the limit of %d: %d read", e.Part, e.Limit, e.Read)
}

// errUnexpected is the cause when a server has sent an answer that belongs to no request.
var errUnexpected = errors.New("unexpected answer on the connection")

// errFraming is the cause when the head of an answer contradicts itself about the end of the body.
var errFraming = errors.New("faulty framing of the answer")

// withCause replaces the cause of an error by the reason why the attempt was canceled.
func withCause(err, cause error) error {
	var broken *BrokenError
	if errors.As(err, &broken) {
		return &BrokenError{Phase: broken.Phase, Err: cause}
	}
	return &NotSentError{cause}
}
