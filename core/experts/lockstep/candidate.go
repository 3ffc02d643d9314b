package lockstep

import "time"

// Candidate decides when an agent should take over the role of a group's coordinator. The
// agent receives announcements several times a second; if none arrive, the coordinator is
// dead, frozen or cut off. The zero value has received nothing since the zero time; use
// NewCandidate.
type Candidate struct {
	lastObserved time.Time
	lastAttempt  time.Time
	// held says that the coordinator held the group, or was about to, at its last
	// announcement.
	held bool
}

const (
	// silenceLimit is how long a coordinator may be silent: several of its rounds, so that a
	// slow round does not cause a change of coordinators.
	silenceLimit = 600 * time.Millisecond
	// heldSilenceLimit is the limit while the group is held: no request is served then, and
	// the coordinator sends announcements every few tens of milliseconds. A needless change of
	// coordinators costs less than waiting.
	heldSilenceLimit = 350 * time.Millisecond
	// heldStagger replaces stagger while the group is held.
	heldStagger = 20 * time.Millisecond
	// stagger is added for each agent earlier in the succession order, so that usually only
	// one agent takes over: all others receive a new coordinator's announcement within it.
	stagger = 120 * time.Millisecond
	// maxStagger bounds the sum. It has room for 250 turns: if the agents of a large group
	// became due together, they would supersede each other, and the group would have no
	// coordinator for long.
	maxStagger = 30 * time.Second
	// retryInterval is the pause between attempts.
	retryInterval = 500 * time.Millisecond
)

// NewCandidate returns a candidate whose silence counts from now.
func NewCandidate(now time.Time) *Candidate { return &Candidate{lastObserved: now} }

// Observe records an announcement of the coordinator. Held says that the group is held, or is
// about to be.
func (c *Candidate) Observe(now time.Time, held bool) { c.lastObserved, c.held = now, held }

// Due reports whether an agent should attempt to take over. Turn is its position in the
// succession order, from 0.
func (c *Candidate) Due(turn int, now time.Time) bool {
	limit := silenceLimit + min(time.Duration(turn)*stagger, maxStagger)
	if c.held {
		limit = min(limit, heldSilenceLimit+time.Duration(turn)*heldStagger)
	}
	return now.Sub(c.lastObserved) >= limit && now.Sub(c.lastAttempt) >= retryInterval
}

// Attempted records that the agent has attempted to take over.
func (c *Candidate) Attempted(now time.Time) { c.lastAttempt = now }
