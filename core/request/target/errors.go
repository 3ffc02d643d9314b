package target

import "fmt"

// NotSentError reports that no byte of a request left this process: the target has certainly
// not run it.
type NotSentError struct{ Cause error }

// Error returns the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError reports that the connection was lost after the request was sent, partly or
// completely, and before the response ended: the target may have run it.
type BrokenError struct{ Cause error }

// Error returns the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("target connection broken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// RefusedError is a response of the target other than success.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the value of the target's Retry-After header, unchanged.
	RetryAfter   string
	Backpressure Backpressure
	// Body is the body of the response, at most 64 KiB of it. It may hold content of the
	// request and is not part of Error.
	Body []byte
}

// Error returns the status only.
func (e *RefusedError) Error() string { return fmt.Sprintf("target refused with status %d", e.Status) }

// StaleFenceError reports that the target has accepted an order with a higher fencing token.
type StaleFenceError struct {
	// Fence is the target's current fencing token.
	Fence uint64
}

// Error returns the target's fencing token.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("stale fence: target holds %d", e.Fence)
}

// BodyError reports that the caller's body is not one JSON object.
type BodyError struct {
	// Offset is the position of the error in the body, in bytes.
	Offset int64
}

// Error returns the offset.
func (e *BodyError) Error() string {
	return fmt.Sprintf("body is not one JSON object: fault at byte %d", e.Offset)
}
