package operator

import (
	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
)

// FleetStatus is the state of all nodes and groups as one node knows it.
type FleetStatus struct {
	Nodes  []Node        `json:"nodes"`
	Groups []GroupStatus `json:"groups,omitempty"`
}

// The kinds of nodes.
const (
	KindEntry = "entry"
	KindAgent = "agent"
)

// Node is one process of the system.
type Node struct {
	Name string `json:"name"`
	// Kind is "entry" or "agent".
	Kind string `json:"kind"`
	Zone string `json:"zone"`
	// Revision is the configuration in force on the node; 0 for none.
	Revision    uint64 `json:"revision"`
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining,omitempty"`
	// Queued is the work waiting at the node, in tokens, and Running the
	// number of requests that run.
	Queued  uint64 `json:"queued"`
	Running uint32 `json:"running"`
	// AgeMillis is the time since the node's last report, in milliseconds.
	AgeMillis int64 `json:"age-millis"`
}

// GroupStatus is the state of an expert-parallel group.
type GroupStatus struct {
	Name string `json:"name"`
	// State is "steady", "forming", "loading", "switching", "degraded" for a
	// group that runs without its failed ranks, or "no-steward" if no coordinator
	// has reported for a while: the group continues with its current map.
	State      string `json:"state"`
	MapVersion uint64 `json:"map-version"`
	Step       uint64 `json:"step"`
	// Skew is the measured load of the busiest rank over the mean.
	Skew        float64 `json:"skew"`
	Coordinator string  `json:"steward,omitempty"`
	// Fence is the fencing token of the coordinator's lease.
	Fence uint64 `json:"fence,omitempty"`
	// Reason says why the last plan moved experts or not, as a word, and
	// Explanation as a sentence.
	Reason      string `json:"reason,omitempty"`
	Explanation string `json:"explanation,omitempty"`
	// Moves, Bytes, MeanSkew and MaxSkew cover the last hour, or the time since
	// this coordinator took over; Skews are its measurements, oldest first.
	Moves    int       `json:"moves"`
	Bytes    int64     `json:"bytes"`
	MeanSkew float64   `json:"mean-skew,omitempty"`
	MaxSkew  float64   `json:"max-skew,omitempty"`
	Skews    []float64 `json:"skews,omitempty"`
	// AgeMillis is the time since the coordinator's last report, in milliseconds.
	AgeMillis int64 `json:"age-millis"`
	// Waiting lists the ranks that are not stepping.
	Waiting []RankStatus `json:"waiting,omitempty"`
}

// RankStatus is a rank that is not stepping.
type RankStatus struct {
	Target string `json:"target"`
	Health string `json:"health"`
	// Lost says that the coordinator considers the rank failed.
	Lost bool `json:"lost,omitempty"`
}

// The states of a revision.
const (
	// StateAccepted says that the store holds the revision and not all nodes
	// have it in force.
	StateAccepted = "accepted"
	// StateInForce says that all nodes have it in force.
	StateInForce = "in-force"
)

// RevisionState is one revision and its rollout.
type RevisionState struct {
	Revision   uint64 `json:"revision"`
	Operator   string `json:"operator,omitempty"`
	Action     string `json:"action,omitempty"`
	ChangeID   string `json:"change-id,omitempty"`
	UnixMillis int64  `json:"unix-millis,omitempty"`
	State      string `json:"state"`
	// InForce of Nodes nodes have this revision or a later one in force.
	InForce int `json:"in-force"`
	Nodes   int `json:"nodes"`
}

// Status is the state of the whole system as one entry sees it.
type Status struct {
	// Revision is the newest one known.
	Revision RevisionState `json:"revision"`
	// StoreReachable says whether the store answered this request. If not, a newer
	// revision may have been accepted.
	StoreReachable bool `json:"store-reachable"`
	// StoreBehind says that the store holds an older configuration than the
	// one in force; nothing can be changed until that is restored.
	StoreBehind bool `json:"store-behind,omitempty"`
	FleetStatus
}

// Document is a configuration and its source.
type Document struct {
	Config config.Config `json:"config"`
	// Source is "store", or "node" while the store is unreachable or holds an older
	// configuration.
	Source string `json:"source"`
	// StoreBehind says that the store holds an older configuration than the
	// one in force.
	StoreBehind bool `json:"store-behind,omitempty"`
}

// The sources of a document.
const (
	SourceStore = "store"
	SourceNode  = "node"
)

// Accepted is the answer to a change of the configuration.
type Accepted struct {
	config.AppliedChange
	State string `json:"state"`
}

// PutConfigRequest replaces the whole document.
type PutConfigRequest struct {
	RequestID string `json:"request-id"`
	// BaseRevision is the revision that the document was made from; the
	// change is refused if the head is at another one.
	BaseRevision uint64        `json:"base-revision"`
	Config       config.Config `json:"config"`
}

// EditsRequest makes edits on top of the current head, which must be at
// BaseRevision if that is set.
type EditsRequest struct {
	RequestID    string        `json:"request-id"`
	BaseRevision *uint64       `json:"base-revision,omitempty"`
	Action       string        `json:"action,omitempty"`
	Edits        []config.Edit `json:"edits"`
}

// DeclareRequest declares an intent.
type DeclareRequest struct {
	RequestID string        `json:"request-id"`
	Intent    intent.Intent `json:"intent"`
}

// CloseRequest confirms or abandons a plan.
type CloseRequest struct {
	RequestID string `json:"request-id"`
}

// TargetStatus is a target with the state of the agent beside it.
type TargetStatus struct {
	config.Target
	// Evacuated says that the target's availability zone is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Node is nil if the agent has not reported.
	Node *Node `json:"node,omitempty"`
}

// GroupView is a group as configured and as measured.
type GroupView struct {
	config.Group
	Targets []string `json:"targets,omitempty"`
	// Status is nil if the group has not reported.
	Status *GroupStatus `json:"status,omitempty"`
}
