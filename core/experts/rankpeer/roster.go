package rankpeer

import (
	"net/netip"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
)

// Roster is what a steward has to know of its group. All agents keep the last one
// that they were told: the steward may die while the store is away, and whoever
// takes over must find the ranks without it.
type Roster struct {
	// Group is the life of the group whose members these are.
	Group   engine.GroupID
	Members []Member
	// Steward is the ID of the member beside which the steward runs.
	Steward string
	Engine  deployment.Engine
	// Gap is the longest pause between events that callers are to see.
	Gap time.Duration
}

// Member is one rank of a group.
type Member struct {
	// ID is that of the target.
	ID   string
	Addr netip.AddrPort
	// Zone is the availability zone of its instance.
	Zone string
	// Born is when the target's server started; 0 if it does not say.
	Born int64
}
