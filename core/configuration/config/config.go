// Package config holds the operators' configuration and its revisions.
//
// A Config is one document with one revision number. It is changed only by
// compare-and-swap on the head key of the platform's store, so that revisions
// form a single line; every node keeps the highest revision it has seen and
// never goes back. The package does no I/O: Apply returns the next revision, Diff
// lists the changes between two, Index answers the lookups of the request path,
// Tracker holds the revision in force, and Bootstrap decides when a node that
// starts while the store is down may serve.
//
// # Usage
//
//	next, err := config.Apply(cur, change)
//	if err != nil {
//		return err // a *config.InvalidError names the invalid field
//	}
//	if tracker.Offer(next, now) {
//		index.Store(config.NewIndex(next))
//	}
package config

// Config is one revision of the operators' configuration.
type Config struct {
	// Revision numbers the accepted configurations, from 1 without gaps.
	Revision uint64 `json:"revision"`
	// ChangeID identifies the change that made this revision. After a lost
	// answer from the store it is read back to find the outcome of the write.
	ChangeID string `json:"change-id"`
	// Changes are the identifiers of recent changes, newest last.
	Changes    []AppliedChange `json:"changes,omitempty"`
	Workspaces []Workspace     `json:"workspaces,omitempty"`
	Models     []Model         `json:"models,omitempty"`
	Services   []Service       `json:"services,omitempty"`
	Targets    []Target        `json:"targets,omitempty"`
	Groups     []Group         `json:"groups,omitempty"`
	Operators  []Operator      `json:"operators,omitempty"`
	// EvacuatedZones are the availability zones whose targets get no new work, sorted.
	EvacuatedZones []string `json:"evacuated-zones,omitempty"`
	// PastTargets are the target lists before the current one, oldest first:
	// keys of idempotent requests may still be stored at the homes of an older
	// list.
	PastTargets []PastTargets `json:"past-targets,omitempty"`
	// Audit holds the last confirmed changes, newest last.
	Audit []AuditRecord `json:"audit,omitempty"`
}

// AppliedChange records that a change became a revision.
type AppliedChange struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Operator string `json:"operator"`
}

// Workspace is one customer of the system.
type Workspace struct {
	Name string `json:"name"`
	// TokenHashes are SHA-256 digests of the caller tokens, in hex.
	TokenHashes []string `json:"token-hashes"`
	// Share is the weight in fair queueing; 0 means 1.
	Share float64 `json:"share,omitempty"`
	// TokensPerSecond and RequestsPerSecond limit the whole workspace over
	// all entries; 0 means no limit.
	TokensPerSecond   float64 `json:"tokens-per-second,omitempty"`
	RequestsPerSecond float64 `json:"requests-per-second,omitempty"`
	// MaxStreams limits open streams at one entry; 0 means the entry's default.
	MaxStreams int `json:"max-streams,omitempty"`
	// SharedPrefix lets the workspace use the prefix cache without a salt.
	SharedPrefix bool `json:"shared-prefix,omitempty"`
	// Region is the region of the agents that own the workspace's keys; empty
	// means any.
	Region string `json:"region,omitempty"`
}

// Model is a model that targets serve.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Service is an HTTP service that is not a model engine.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes,omitempty"`
}

// Route matches calls of a service by method and path prefix.
type Route struct {
	// Method is an HTTP method; empty means any.
	Method string `json:"method,omitempty"`
	Prefix string `json:"prefix"`
	// MayNotRepeat says that a call runs at most once.
	MayNotRepeat bool `json:"may-not-repeat,omitempty"`
}

// Target is one server with its agent.
type Target struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone"`
	// Agent is the IP address and port of the agent beside the target.
	Agent string `json:"agent"`
	// Model or Service names what the target serves; one of them is set.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Service string `json:"service,omitempty"`
	// Group is the expert-parallel group; empty for none.
	Group string `json:"group,omitempty"`
	// Role is "prefill", "decode" or empty for both.
	Role string `json:"role,omitempty"`
	// ChecksOrders says that the target authenticates the sender of an order.
	ChecksOrders bool `json:"checks-orders,omitempty"`
	// HonoursFencing says that the target rejects a stale fencing token.
	HonoursFencing bool `json:"honours-fencing,omitempty"`
	// Drained says that the target gets no new work.
	Drained bool `json:"drained,omitempty"`
}

// Group is an expert-parallel group of ranks.
type Group struct {
	Name   string `json:"name"`
	Model  string `json:"model"`
	Ranks  int    `json:"ranks"`
	Layers int    `json:"layers"`
	// Experts is the number of experts in a layer.
	Experts int `json:"experts"`
	// SlotsPerRank is how many expert replicas of a layer a rank can hold.
	SlotsPerRank int `json:"slots-per-rank"`
	// SkewWeight and CostWeight come from the confirmed intent.
	SkewWeight float64 `json:"skew-weight,omitempty"`
	CostWeight float64 `json:"cost-weight,omitempty"`
}

// Operator may use the administration API.
type Operator struct {
	Name string `json:"name"`
	// Role is "viewer", "operator" or "admin".
	Role      string `json:"role"`
	TokenHash string `json:"token-hash"`
}

// PastTargets is a target list that was replaced.
type PastTargets struct {
	// Revision is the last one with this list.
	Revision uint64 `json:"revision"`
	// Homes and Names are as HomeNames and TargetNames returned them.
	Homes []string `json:"homes"`
	Names []string `json:"names"`
	// ReplacedUnixMillis is the wall time at which another list replaced it.
	ReplacedUnixMillis int64 `json:"replaced-unix-millis"`
}

// AuditRecord records who made which change.
type AuditRecord struct {
	Revision uint64 `json:"revision"`
	Operator string `json:"operator"`
	Action   string `json:"action"`
	// UnixMillis is the wall time at the entry that accepted the change.
	UnixMillis int64 `json:"unix-millis"`
}
