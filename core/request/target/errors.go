package target

import "fmt"

// NotSentError says that no byte of a request left this process: the target
// surely did not run it.
type NotSentError struct{ Cause error }

// Error returns the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError says that the connection was lost after the request was sent,
// in part or whole, and before the answer ended: the target may have run it.
type BrokenError struct{ Cause error }

// Error returns the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("target connection broken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// RefusedError is an answer of the target other than success.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the target's Retry-After header as it stands.
	RetryAfter   string
	Backpressure Backpressure
	// Body is the answer's body, at most 64 KiB of it. It may hold content of
	// the request and does not show in Error.
	Body []byte
}

// Error returns the status alone.
func (e *RefusedError) Error() string { return fmt.Sprintf("target refused with status %d", e.Status) }

// StaleFenceError says that the target has taken an order with a higher
// fencing number.
type StaleFenceError struct {
	// Fence is the number that the target holds.
	Fence uint64
}

// Error returns the target's number.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("stale fence: target holds %d", e.Fence)
}

// BodyError says that the caller's body is not one JSON object.
type BodyError struct {
	// Offset is where in the body the fault lies, in bytes.
	Offset int64
}

// Error returns the offset.
func (e *BodyError) Error() string {
	return fmt.Sprintf("body is not one JSON object: fault at byte %d", e.Offset)
}
