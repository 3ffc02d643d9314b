// Package deployment holds what a deployment consists of, in the words of this project: the
// operator's configuration in force, with its routes, services, engines and workspaces, and
// the targets that have registered themselves.
//
// # Usage
//
//	for i := range cfg.Routes {
//		if r := &cfg.Routes[i]; r.Kind == deployment.Stream && r.Repeatable() {
//			resume(r)
//		}
//	}
package deployment

import (
	"net/netip"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/engine"
)

// Formats is how a deployment stands in the store.
type Formats struct {
	// ConfigKey holds the newest configuration, TargetPrefix begins the keys of the
	// targets' entries and is followed by their IDs.
	ConfigKey, TargetPrefix string
	// Config and Target decode what stands there.
	Config func(value []byte) (*Config, error)
	Target func(it kv.Item) (Target, error)
}

// Config is the operator's configuration in force.
type Config struct {
	// Version increases with each configuration, in uneven steps.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// RouteKind says what may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Stream requests are answered by a series of events. They may be repeated
	// only if the route is resumable.
	Stream RouteKind = "stream"
)

// Route says where requests of a host and a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that the operator wants a request kept.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// MaxEventGap is the longest pause between events for which a stream is on time.
	MaxEventGap time.Duration
	// StreamIdleTimeout is how long callers of a stream wait for its next event, also for the
	// first, before they leave; 0 if they wait until their deadline.
	StreamIdleTimeout time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Split says which services share the requests, by weight.
	Split []Share
	// MaxAttempts is how many servers one client attempt may be sent to.
	MaxAttempts int
	// Public says that requests need no key.
	Public bool
	// Resumable says that a broken stream may go on at another server.
	Resumable bool
	// Sticky says that requests carry a prompt.
	Sticky bool
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of servers that can stand in for each other.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many a server accepts from all callers together.
	MaxConnections int
	Engine         *Engine
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests a server runs at once.
	Slots int
	// MemoryTokens is how many tokens a server's memory holds.
	MemoryTokens int
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	UsualPrompt, UsualAnswer int
	// Sets, Experts and Places describe the expert groups: sets of layers,
	// experts in each, and places for experts on a rank in each. Sets is 0
	// where the servers form no groups.
	Sets, Experts, Places int
	// Spare is how many experts of a set may be new to a rank in one order.
	Spare int
	// ExpertTime is how long a rank takes to copy one expert.
	ExpertTime time.Duration
}

// Workspace is a customer of the operator, with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority, if it is not nil, takes precedence over that of routes.
	Priority *int
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Target is a server as it has registered itself in the store.
type Target struct {
	// ID names a server. One that has started again may have the same; Born
	// tells its lives apart.
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	Slots   int
	// Draining says that the server leaves and wants no new requests.
	Draining bool
	// CreateRevision is the revision of the store at which the server registered.
	CreateRevision int64
	// StartedAt is when the server started, in Unix milliseconds by its own clock; 0
	// if it does not say.
	StartedAt int64
	// Group is the expert group that the server's rank belongs to; its name is
	// empty if the server does not say. Open is false while that group has lost
	// a rank.
	Group         engine.GroupID
	GroupComplete bool
}
