package booking

import (
	"time"

	"verbenashift/core/request/outcome"
)

// Grant is the right to run a key once, issued by its home.
type Grant struct {
	Key Key
	// Home is the agent that issued the grant. It is empty for a key that only the submitting
	// entry knows, such as a new request ID: the entry itself then ensures that there is only
	// one attempt.
	Home            string
	HomeIncarnation uint64
	// Attempt numbers the grants of one key, from 1.
	Attempt uint64
}

// Claim requests a grant from the home of a key.
type Claim struct {
	Key       Key
	Body      Digest
	RequestID string
	// Executor and ExecutorIncarnation are where the entry intends to run the request.
	Executor            string
	ExecutorIncarnation uint64
	// Revision is the configuration revision that the entry acts on.
	Revision uint64
}

// AnswerKind is the decision of a home on a claim.
type AnswerKind int

// The decisions on a claim.
const (
	// Granted means that Grant is to be submitted to Executor at ExecutorIncarnation.
	Granted AnswerKind = iota + 1
	// Held means that RequestID holds the key at Executor, where the attempt is to be
	// resolved.
	Held
	// Mismatch means that the key was used with another body.
	Mismatch
	// Unknown means that an earlier attempt may have run and that no record of it is
	// available.
	Unknown
	// Rebuilding means that the claim can be decided only after RetryAfter.
	Rebuilding
	// Moved means that this agent is not the key's home.
	Moved
	// Full means that the key was not granted because the register is at its bound.
	Full
	// BadExecutor means that the key was not granted because the home may not be its own
	// executor or the executor is not in the target list; choose another one.
	BadExecutor
	// NeedTransfer is for the home's own agent: it must call Transfer at each of From, report
	// the results with Transferred, and then claim again.
	NeedTransfer
)

var answerNames = [...]string{
	"none", "granted", "held", "mismatch", "unknown", "rebuilding",
	"moved", "register-full", "executor-is-home", "need-transfer",
}

// String returns the decision as a reason for callers.
func (k AnswerKind) String() string { return name(answerNames[:], int(k)) }

func name(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "invalid"
	}
	return names[i]
}

// Answer is the answer of a home to a claim.
type Answer struct {
	Kind AnswerKind
	// Grant is set for Granted and Held; for Held it identifies the attempt to resolve.
	Grant               Grant
	RequestID           string
	Executor            string
	ExecutorIncarnation uint64
	RetryAfter          time.Duration
	// Reason explains Unknown, Rebuilding and Moved.
	Reason string
	// From lists the previous homes to query, for NeedTransfer.
	From []string
}

// Outcome returns the outcome for the caller if the entry ends the request at this answer
// without submitting it. Only a home that knows all attempts of a key can state that none ran;
// where an earlier attempt may have run, the outcome is Unknown and the caller may retry with
// the same key.
func (a Answer) Outcome() outcome.Outcome {
	switch a.Kind {
	case Granted, Full, BadExecutor, Mismatch:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// Proof states that an attempt never ran and never will: its executor has sealed it, or its
// only holder was refused and gave it up.
type Proof struct {
	Key         Key
	Attempt     uint64
	Executor    string
	Incarnation uint64
}
