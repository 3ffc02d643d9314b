package rankpeer

import (
	"net/netip"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
)

// Roster is what a coordinator has to know of its group. Every agent retains the last
// one that it received, so that an agent that takes over from a failed coordinator
// finds the ranks even while the store is unavailable.
type Roster struct {
	// Group is the group and the membership epoch that the members belong to.
	Group   engine.GroupID
	Members []Member
	// Steward is the ID of the member beside which the coordinator runs.
	Steward string
	Engine  deployment.Engine
	// Gap is the longest pause between events that callers may see.
	Gap time.Duration
}

// Member is one rank of a group.
type Member struct {
	// ID is the ID of the target.
	ID   string
	Addr netip.AddrPort
	// Zone is the availability zone of its instance.
	Zone string
	// Born is when the target's server started; 0 if the server does not report it.
	Born int64
}
