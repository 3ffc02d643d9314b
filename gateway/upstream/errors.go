package upstream

import (
	"errors"
	"fmt"
)

// NotSentError says that no byte of the request has left.
type NotSentError struct{ Err error }

// Error tells the cause.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError says that the answer did not come, or not whole, after bytes of
// the request had left: the server may have run it.
type BrokenError struct {
	// Phase is what was going on: write, head or body.
	Phase string
	Err   error
}

// Error tells the phase and the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer broken in %s: %v", e.Phase, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// errStray is the cause when a server sent something that answers no request.
var errStray = errors.New("unexpected answer on the connection")

// withCause tells why the attempt was ended rather than how it showed.
func withCause(err, cause error) error {
	var broken *BrokenError
	if errors.As(err, &broken) {
		return &BrokenError{Phase: broken.Phase, Err: cause}
	}
	return &NotSentError{cause}
}
