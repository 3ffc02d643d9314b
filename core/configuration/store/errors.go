package store

import "fmt"

// ConflictError says that a compare-and-swap or a delete found a different
// version than expected. Nothing was changed.
type ConflictError struct {
	Key string
	// Current is what the store held at that moment; its Version is 0 if the
	// key was absent.
	Current KV
}

// Error returns the key and the version found.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conflict: %s is at version %d", e.Key, e.Current.Version)
}

// UnavailableError says that a call certainly had no effect: no connection could
// be established, or the store's rate limit rejected it. Every failed read is one.
type UnavailableError struct {
	// Op is the kind of call, such as "get".
	Op string
	// Err is the cause, if one is known.
	Err error
}

// Error returns the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s: unavailable: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError says that the answer to a write was lost, so that the write may
// have taken effect or may still do so. The caller reads the key back.
type UnknownError struct {
	// Op is the kind of call, such as "compare-and-swap".
	Op string
	// Err is the cause.
	Err error
}

// Error returns the operation and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: %s: effect unknown: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// TooLargeError says that a value exceeded the store's limit and was not sent,
// or that an answer exceeded the client's limit.
type TooLargeError struct {
	Key string
	// Size is the value's size in bytes; 0 for an answer, which is not read to its
	// end.
	Size int
	// Limit is in bytes.
	Limit int
}

// Error returns the sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("store: %s: size %d is over the limit of %d bytes", e.Key, e.Size, e.Limit)
}

// LeaseNotFoundError says that the lease of a call has expired or was revoked.
// Nothing was changed.
type LeaseNotFoundError struct {
	ID int64
}

// Error returns the lease.
func (e *LeaseNotFoundError) Error() string {
	return fmt.Sprintf("store: lease %d has expired or was revoked", e.ID)
}

// CompactedError says that the store no longer retains the changes that a watch
// requested. The caller reads the key and watches from its version.
type CompactedError struct {
	Key string
	// Version is the oldest that can still be watched, or 0 if it isn't known.
	Version int64
}

// Error returns the key and the version.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: watch of %s: changes before version %d were compacted", e.Key, e.Version)
}

// RefusedError says that the store rejected a call as invalid or not permitted.
type RefusedError struct {
	// Op is the kind of call.
	Op string
	// Status is the HTTP status.
	Status int
}

// Error returns the operation and the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: %s: refused with status %d", e.Op, e.Status)
}
