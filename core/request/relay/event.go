package relay

import (
	"time"

	"verbenashift/core/request/outcome"
)

// ActionKind is what the entry has to do next.
type ActionKind int

// The actions.
const (
	// Pick chooses a target that was not tried yet; reply Picked or NoTarget.
	Pick ActionKind = iota + 1
	// Claim asks the key's home for the picked target, or, after NoTarget,
	// only whether an earlier attempt holds the key; reply Granted, Held,
	// Mismatch, Uncertain, ClaimFailed or Free.
	Claim
	// Submit sends the request to the picked target and relays its frames;
	// reply Ended or Broke.
	Submit
	// Attach reads the answer of an earlier attempt; reply Ended, Broke or
	// NotSeen.
	Attach
	// Seal makes the executor refuse an attempt for ever; reply Sealed,
	// Seen or Broke.
	Seal
	// Release gives the key back to its home; reply Released.
	Release
	// Finish ends the request with Err, nil for complete.
	Finish
)

// Action is one step for the entry to take.
type Action struct {
	Kind ActionKind
	// Wait is how long to pause before the step.
	Wait time.Duration
	// Resume says that a Submit continues an answer that broke.
	Resume bool
	// Err is the end of the request when Kind is Finish.
	Err *outcome.Error
}

// EventKind is what happened.
type EventKind int

// The events.
const (
	// Picked says that a target was chosen.
	Picked EventKind = iota + 1
	// NoTarget says that there is none left to try.
	NoTarget
	// Granted says that the key is this request's to run.
	Granted
	// Held says that an earlier attempt holds the key.
	Held
	// Mismatch says that the key was used with another body.
	Mismatch
	// Uncertain says that an earlier attempt may have run.
	Uncertain
	// ClaimFailed says that the home gave no decision.
	ClaimFailed
	// Free says that the home knows no attempt that holds the key, in answer
	// to a Claim without a target.
	Free
	// Ended says that the answer came to an explicit end.
	Ended
	// Disconnected says that the connection ended without one.
	Disconnected
	// NotSeen says that the executor never saw the request.
	NotSeen
	// RecordLost says that the executor has lost its memory of the request.
	RecordLost
	// Sealed says that the attempt never ran and never will.
	Sealed
	// Seen says that the executor has the attempt after all.
	Seen
	// Released says that the home was told.
	Released
)

// Event reports how a step ended.
type Event struct {
	Kind EventKind
	// Ending is set with Ended.
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
	Handover   bool
	// NotSent is set with Broke when the request surely never left.
	NotSent bool
	// Progress says that the attempt brought a piece of the answer.
	Progress bool
}
