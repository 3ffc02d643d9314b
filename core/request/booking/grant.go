package booking

import (
	"time"

	"verbenashift/core/request/outcome"
)

// Grant is the right to run a key once, given by its home.
type Grant struct {
	Key Key
	// Home is the agent that gave the grant. It is empty for a key that only
	// the submitting entry knows, such as a fresh request id: there the entry
	// itself answers for the single try.
	Home            string
	HomeIncarnation uint64
	// Attempt numbers the grants of one key, from 1.
	Attempt uint64
}

// Claim asks the home of a key for a grant.
type Claim struct {
	Key       Key
	Body      Digest
	RequestID string
	// Executor and ExecutorIncarnation are where the entry means to run it.
	Executor            string
	ExecutorIncarnation uint64
	// Revision is the configuration that the entry acts on.
	Revision uint64
}

// AnswerKind is the home's decision on a claim.
type AnswerKind int

// The decisions on a claim.
const (
	// Granted says: submit Grant to Executor at ExecutorIncarnation.
	Granted AnswerKind = iota + 1
	// Held says that RequestID has the key at Executor; settle it there.
	Held
	// Mismatch says that the key was used with another body.
	Mismatch
	// Unknown says that an earlier attempt may have run and cannot be asked.
	Unknown
	// Rebuilding says: not granted now, come back after RetryAfter.
	Rebuilding
	// Moved says that this agent is not the key's home.
	Moved
	// Full says: not granted, the register is at its bound.
	Full
	// BadExecutor says: not granted, choose another executor than the home.
	BadExecutor
	// NeedTransfer is for the home's own agent: call Transfer at each of From,
	// report it with Transferred, then claim again.
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

// Answer is the home's answer to a claim.
type Answer struct {
	Kind AnswerKind
	// Grant is set for Granted and Held; Held names the attempt to settle.
	Grant               Grant
	RequestID           string
	Executor            string
	ExecutorIncarnation uint64
	RetryAfter          time.Duration
	// Reason tells why, for Unknown, Rebuilding and Moved.
	Reason string
	// From lists the previous homes to ask, for NeedTransfer.
	From []string
}

// Outcome returns what the caller is told if the entry gives up at this answer
// without submitting. Only a home that knows all of a key's attempts can say
// that none ran; where an earlier try of the key may have run, the outcome is
// Unknown and the caller may ask again with the same key.
func (a Answer) Outcome() outcome.Outcome {
	switch a.Kind {
	case Granted, Full, BadExecutor, Mismatch:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// Proof says that an attempt never ran and never will: its executor has sealed
// it, or its only holder got a refusal and gave it up.
type Proof struct {
	Key         Key
	Attempt     uint64
	Executor    string
	Incarnation uint64
}
