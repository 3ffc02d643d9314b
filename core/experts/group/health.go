package group

import (
	"time"

	"verbenashift/core/membership/lease"
)

// Health is an agent's view of its own rank.
type Health int

// The states of a rank. The zero value says nothing.
const (
	// Unknown means that the agent has not read the rank yet.
	Unknown Health = iota
	// Stepping means that the rank is getting on with its steps.
	Stepping
	// Held means that the rank waits for the outcome of a switch.
	Held
	// Waiting means that the rank has waited for the others for a while: one of
	// them is stalled, dead or cut off.
	Waiting
	// Stalled means that the rank answers but has not done its part of a step
	// for a while, so that it holds back the others.
	Stalled
	// Empty means that the engine answers but belongs to no epoch: it has just
	// started, or started again.
	Empty
	// Dead means that the engine does not answer.
	Dead
)

var healthNames = [...]string{Unknown: "unknown", Stepping: "stepping", Held: "held", Waiting: "waiting", Stalled: "stalled", Empty: "empty", Dead: "dead"}

// String returns the name operators see.
func (h Health) String() string {
	if h < 0 || int(h) >= len(healthNames) {
		return "unknown"
	}
	return healthNames[h]
}

// pulse watches one rank's steps.
type pulse struct {
	epoch   lease.Number
	next    uint64
	moved   time.Duration
	started bool
	refused bool
	perStep time.Duration
	// lastAnswer is when the engine last answered a reading.
	lastAnswer time.Duration
}

// observe takes one reading of the rank. A rank that answers is alive however
// slow its steps are; only one that answers nothing for a while is dead.
func (p *pulse) observe(now time.Duration, s RankState) {
	p.refused, p.lastAnswer = false, now
	// A new epoch starts at a step of its own; the leap tells nothing about the
	// time for a step.
	if p.started && s.Epoch == p.epoch && s.Next > p.next {
		p.perStep = (now - p.moved) / time.Duration(s.Next-p.next)
	}
	if !p.started || s.Epoch != p.epoch || s.Next != p.next {
		p.epoch, p.next, p.moved, p.started = s.Epoch, s.Next, now, true
	}
}

func (p *pulse) health(now time.Duration, s RankState, cfg MemberConfig) Health {
	switch {
	case p.refused:
		return Dead
	case now-p.lastAnswer >= cfg.DeadAfter:
		return Dead
	case !p.started:
		return Unknown
	case s.Epoch.IsZero():
		return Empty
	case s.Held():
		return Held
	case now-p.moved < cfg.StallAfter:
		return Stepping
	case s.Waiting:
		return Waiting
	default:
		return Stalled
	}
}
