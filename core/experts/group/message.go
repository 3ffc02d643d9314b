package group

import (
	"time"

	"verbenashift/core/membership/lease"
)

// Message is what agents send each other about a group. Every message may be lost, duplicated,
// delayed and reordered.
type Message interface{ message() }

// Probe requests a Report from a member. A coordinator sends it with its fencing token.
type Probe struct {
	Fence uint64 `json:"fence,omitzero"`
	// Known is the epoch whose members the coordinator knows.
	Known lease.Number `json:"known,omitzero"`
}

// Report is a member's state as seen by its agent.
type Report struct {
	// Incarnation grows with every start of the agent; Sequence orders the reports of one
	// incarnation.
	Incarnation uint64 `json:"incarnation,omitzero"`
	Sequence    uint64 `json:"sequence,omitzero"`
	// Fence is the highest fencing token that the agent has received.
	Fence uint64 `json:"fence,omitzero"`
	// Health is the agent's own observation of the rank.
	Health Health `json:"health,omitzero"`
	// Rank is the rank's state. It lists the members only if the coordinator lacks them.
	Rank RankState `json:"rank,omitzero"`
	// StepTime is the recent time for one step.
	StepTime time.Duration `json:"step-time,omitzero"`
}

// Prepare tells a member to load a map's weights beside those in use.
type Prepare struct {
	Number  lease.Number `json:"number,omitzero"`
	Version Version      `json:"version,omitzero"`
}

// Arm requests a member's vote on a switch: to arm its rank for it, or to refuse it
// permanently. Members send each other the same request when the coordinator is unreachable.
type Arm struct {
	Switch Switch `json:"switch,omitzero"`
}

// VoteResponse is a member's vote. Armed and Refused never change once sent.
type VoteResponse struct {
	Number lease.Number `json:"number,omitzero"`
	Vote   Vote         `json:"vote,omitzero"`
}

// Outcome says how a switch ended. It is a function of the votes, so that it is the same for
// everyone who counts them.
type Outcome struct {
	Number lease.Number `json:"number,omitzero"`
	Epoch  lease.Number `json:"epoch,omitzero"`
	Commit bool         `json:"commit,omitzero"`
}

// Form tells a member to leave its epoch and to join a new one.
type Form struct {
	Number  lease.Number `json:"number,omitzero"`
	Members []string     `json:"members,omitzero"`
	Version Version      `json:"version,omitzero"`
	// Step is the first step of the epoch.
	Step uint64 `json:"step,omitzero"`
	// Incarnation is that of the receiver's engine as the coordinator knows it. An engine that
	// has been in the epoch and has lost its memory since must not rejoin it on the epoch's
	// first map.
	Incarnation uint64 `json:"incarnation,omitzero"`
}

// Handover tells a member's agent that the coordinator has given up its lease, and that the
// agent should request it without waiting.
type Handover struct {
	Fence uint64 `json:"fence,omitzero"`
}

// before reports whether r was made before o by the same member.
func (r Report) before(o Report) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation < o.Incarnation
	}
	return r.Sequence < o.Sequence
}

func (Probe) message()        {}
func (Report) message()       {}
func (Prepare) message()      {}
func (Arm) message()          {}
func (VoteResponse) message() {}
func (Outcome) message()      {}
func (Form) message()         {}
func (Handover) message()     {}

// Action is something that the adapter has to do.
type Action interface{ action() }

// Send sends a message to the agent of a member.
type Send struct {
	To      string
	Message Message
}

// Apply sends an order to the agent's own rank. The answer goes to Member.Applied with the
// same ID.
type Apply struct {
	ID    uint64
	Order Order
}

// Read reads the state of the agent's own rank. The answer goes to
// Member.Observed with the same ID.
type Read struct {
	ID uint64
}

// Done reports that a switch or a group formation has ended, for operators and counters. It
// may come twice for a switch that was left undecided by another coordinator.
type Done struct {
	Number lease.Number
	// Formed says that it was a new epoch and not a switch.
	Formed bool
	Commit bool
	Took   time.Duration
}

func (Send) action()  {}
func (Apply) action() {}
func (Read) action()  {}
func (Done) action()  {}

// Vote is a member's vote on a switch.
type Vote int

// The votes. The zero value is no vote.
const (
	// Open means that the rank has neither armed nor refused.
	Open Vote = iota
	// Armed means that the rank stops before the step until the outcome.
	Armed
	// Refused means that the rank will never arm for the switch.
	Refused
	// Passed means that the rank is beyond the switch, by a later one or in a later epoch, and
	// no longer knows its vote. It counts as no vote.
	Passed
)

// Vote derives the rank's vote on a switch from its state alone, so that an agent with empty
// memory answers as its predecessor did.
func (s RankState) Vote(sw Switch) Vote {
	switch {
	case s.Epoch.Less(sw.Epoch):
		return Open
	case s.Epoch != sw.Epoch:
		return Passed
	case s.Since == sw.Number, s.Armed.Number == sw.Number:
		return Armed
	case sw.Number.Less(s.Since):
		return Passed
	case sw.Number.Add(mainOffset).Less(s.Last):
		return Refused
	default:
		return Open
	}
}

// VoteCount counts the votes on one switch.
type VoteCount struct {
	Switch Switch
	votes  map[string]Vote
}

// NewVoteCount returns a count without votes.
func NewVoteCount(sw Switch) *VoteCount {
	return &VoteCount{Switch: sw, votes: make(map[string]Vote)}
}

// Add counts a vote; only the first Armed or Refused of a member counts.
func (t *VoteCount) Add(member string, v Vote) {
	if (v == Armed || v == Refused) && t.votes[member] == Open {
		t.votes[member] = v
	}
}

// Missing reports whether a member's vote is still missing.
func (t *VoteCount) Missing(member string) bool {
	return t.votes[member] == Open
}

// Outcome returns the outcome once the votes determine it: abort as soon as one member has
// refused, commit when every member of the epoch is armed.
func (t *VoteCount) Outcome(members []string) (commit, known bool) {
	all := len(members) > 0
	for _, m := range members {
		switch t.votes[m] {
		case Refused:
			return false, true
		case Armed:
		default:
			all = false
		}
	}
	return all, all
}
