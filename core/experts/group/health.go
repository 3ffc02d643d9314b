package group

import (
	"time"

	"verbenashift/core/membership/lease"
)

// Health is an agent's view of its own rank.
type Health int

// The states of a rank. The zero value means unknown.
const (
	// Unknown means that the agent has not read the rank yet.
	Unknown Health = iota
	// Stepping means that the rank makes progress.
	Stepping
	// Held means that the rank waits for the outcome of a switch.
	Held
	// Waiting means that the rank has waited for the others for a while: one of them is
	// stalled, dead or cut off.
	Waiting
	// Stalled means that the rank answers but has not completed its part of a step for a
	// while, and so delays the others.
	Stalled
	// Empty means that the engine answers but belongs to no epoch: it has just started or
	// restarted.
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

// progress tracks the steps of one rank.
type progress struct {
	epoch        lease.Number
	next         uint64
	lastProgress time.Duration
	started      bool
	unreachable  bool
	perStep      time.Duration
	// lastAnswer is when the engine last answered a reading.
	lastAnswer time.Duration
}

// observe records one reading of the rank. A rank that answers is alive however slow its steps
// are; it is dead only when it has not answered for a while.
func (p *progress) observe(now time.Duration, s RankState) {
	p.unreachable, p.lastAnswer = false, now
	// A new epoch starts at a step of its own; the jump says nothing about the time for a
	// step.
	if p.started && s.Epoch == p.epoch && s.Next > p.next {
		p.perStep = (now - p.lastProgress) / time.Duration(s.Next-p.next)
	}
	if !p.started || s.Epoch != p.epoch || s.Next != p.next {
		p.epoch, p.next, p.lastProgress, p.started = s.Epoch, s.Next, now, true
	}
}

func (p *progress) health(now time.Duration, s RankState, cfg MemberConfig) Health {
	switch {
	case p.unreachable:
		return Dead
	case now-p.lastAnswer >= cfg.DeadAfter:
		return Dead
	case !p.started:
		return Unknown
	case s.Epoch.IsZero():
		return Empty
	case s.Held():
		return Held
	case now-p.lastProgress < cfg.StallAfter:
		return Stepping
	case s.Waiting:
		return Waiting
	default:
		return Stalled
	}
}
