package relay

import (
	"time"

	"verbenashift/core/request/outcome"
)

// ActionKind is the kind of the next step of the entry.
type ActionKind int

// The actions.
const (
	// Pick chooses a target that was not tried yet. The reply is Picked or NoTarget.
	Pick ActionKind = iota + 1
	// Claim requests a grant from the key's home for the picked target or, after NoTarget,
	// only queries whether an earlier attempt holds the key. The reply is Granted, Held,
	// Mismatch, Uncertain, ClaimFailed or Free.
	Claim
	// Submit sends the request to the picked target and relays its frames. The reply is Ended
	// or Disconnected.
	Submit
	// Attach reads the answer of an earlier attempt. The reply is Ended, Disconnected or
	// NotSeen.
	Attach
	// Seal makes the executor refuse an attempt from now on. The reply is Sealed, Seen or
	// Disconnected.
	Seal
	// Release returns the key to its home. The reply is Released.
	Release
	// Finish ends the request with Err, which is nil for a complete answer.
	Finish
)

// Action is one step for the entry to take.
type Action struct {
	Kind ActionKind
	// Wait is the delay before the step.
	Wait time.Duration
	// Resume means that a Submit continues an interrupted answer.
	Resume bool
	// Err is the final error of the request if Kind is Finish.
	Err *outcome.Error
}

// EventKind is the kind of an event that the entry reports.
type EventKind int

// The events.
const (
	// Picked means that a target was chosen.
	Picked EventKind = iota + 1
	// NoTarget means that no target is left to try.
	NoTarget
	// Granted means that this request may run the key.
	Granted
	// Held means that an earlier attempt holds the key.
	Held
	// Mismatch means that the key was used with another body.
	Mismatch
	// Uncertain means that an earlier attempt may have run.
	Uncertain
	// ClaimFailed means that the home returned no decision.
	ClaimFailed
	// Free means that the home knows of no attempt that holds the key. It is a reply to a
	// Claim without a target.
	Free
	// Ended means that the answer came to an explicit end.
	Ended
	// Disconnected means that the connection ended without an explicit end of the answer.
	Disconnected
	// NotSeen means that the executor has not received the request.
	NotSeen
	// RecordLost means that the executor has lost its record of the request.
	RecordLost
	// Sealed means that the attempt never ran and never will.
	Sealed
	// Seen means that the executor has received the attempt after all.
	Seen
	// Released means that the home has received the release.
	Released
)

// Event reports the result of a step.
type Event struct {
	Kind EventKind
	// Outcome, Reason, RetryAfter and Handover are set with Ended.
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
	Handover   bool
	// NotSent is set with Disconnected if it is certain that the request was never sent.
	NotSent bool
	// Progress means that the attempt delivered a piece of the answer.
	Progress bool
}
