package group

import (
	"time"
)

// CoordinatorConfig configures a Coordinator. Zero values take the defaults.
type CoordinatorConfig struct {
	// Members are the ranks configured for the group, by the names of their
	// targets.
	Members []string
	// MinRanks is the least number of ranks that make a group; 0 means all.
	MinRanks int
	// Initial is the map of a group that has none.
	Initial Version
	// Lead is how many steps lie between the estimated step of the group and
	// the step of a switch. It is doubled after a switch for which it was too
	// short, up to MaxLead.
	Lead    uint64
	MaxLead uint64
	// ProbeInterval is the interval of probes in the steady state; FastProbeInterval while
	// something is under way or a rank is not stepping.
	ProbeInterval     time.Duration
	FastProbeInterval time.Duration
	// DeadAfter is how long an agent may leave fast probes unanswered.
	DeadAfter time.Duration
	// StallLimit is how long a rank may stall before the group is formed
	// without it; 0 means never.
	StallLimit time.Duration
	// RejoinAfter is how long a returned rank must have answered before the group is formed
	// again to include it.
	RejoinAfter time.Duration
}

func (c CoordinatorConfig) withDefaults() CoordinatorConfig {
	c.MinRanks = orElse(c.MinRanks, len(c.Members))
	c.Lead = orElse(c.Lead, defaultLead)
	c.MaxLead = orElse(c.MaxLead, defaultMaxLead)
	c.ProbeInterval = orElse(c.ProbeInterval, defaultProbeInterval)
	c.FastProbeInterval = orElse(c.FastProbeInterval, defaultFastProbeInterval)
	c.DeadAfter = orElse(c.DeadAfter, defaultAgentDeadAfter)
	c.RejoinAfter = orElse(c.RejoinAfter, defaultRejoinAfter)
	return c
}

func orElse[T int | uint64 | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}
