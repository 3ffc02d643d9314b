package intent

import (
	"fmt"
	"strings"
)

// ConflictError says that another change was made first. Nothing was changed.
type ConflictError struct {
	// Winner is the plan that was confirmed first; empty for a direct edit.
	Winner string
	// ChangeID identifies the winning change.
	ChangeID string
	// Operator is who made the winning change.
	Operator string
	// Revision is the revision that the winner made.
	Revision uint64
}

// Error returns the winning change, its operator and its revision.
func (e *ConflictError) Error() string {
	what := "plan " + e.Winner
	if e.Winner == "" {
		what = "change " + e.ChangeID
	}
	return fmt.Sprintf("conflict: %s by %s made revision %d first", what, e.Operator, e.Revision)
}

// StateError says that a plan cannot be confirmed or abandoned in its state.
type StateError struct {
	Plan   string
	State  State
	Reason string
}

// Error returns the plan, its state and the reason.
func (e *StateError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("plan %s is %s", e.Plan, e.State)
	}
	return fmt.Sprintf("plan %s is %s: %s", e.Plan, e.State, e.Reason)
}

// BoundError says that a plan's forecast exceeds the bounds of its intent.
type BoundError struct {
	Plan     string
	Breaches []string
}

// Error returns the plan and the bounds that it exceeds.
func (e *BoundError) Error() string {
	return fmt.Sprintf("plan %s exceeds its bounds: %s", e.Plan, strings.Join(e.Breaches, "; "))
}

// RegressedError says that the store holds an older revision than the one in
// force. A change on top of it would give two configurations the same number.
type RegressedError struct {
	Stored  uint64
	InForce uint64
}

// Error returns both revisions.
func (e *RegressedError) Error() string {
	return fmt.Sprintf("the store holds revision %d but %d is in force: was the store restored from a copy?", e.Stored, e.InForce)
}

// BusyError says that each attempt of a change lost to a concurrent change.
// Nothing was changed; a retry is safe.
type BusyError struct {
	Attempts int
}

// Error returns the number of attempts.
func (e *BusyError) Error() string {
	return fmt.Sprintf("gave up after %d attempts: others keep changing the same key", e.Attempts)
}
