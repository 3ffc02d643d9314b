package lockstep

import "time"

// Candidate decides when an agent should take over the duty of a group's
// steward. The agent hears the steward several times a second; a silence means
// that the steward is dead, frozen or cut off. The zero value has heard
// nothing since the beginning of time; use NewCandidate.
type Candidate struct {
	heard time.Time
	tried time.Time
	// held says that the steward was about to hold the group when it was heard
	// last, or holds it.
	held bool
}

const (
	// silence is how long a steward may be silent: several of its rounds, so
	// that a slow round does not cost a change of stewards.
	silence = 600 * time.Millisecond
	// heldSilence is the same while the group is held: nobody is served then, and
	// the steward speaks every few tens of milliseconds. A change of stewards in
	// vain costs less than waiting.
	heldSilence = 350 * time.Millisecond
	// heldStagger is added for each place then.
	heldStagger = 20 * time.Millisecond
	// stagger is added for each agent whose turn is before, so that usually one
	// agent takes over: a new steward is heard by all others within it.
	stagger = 120 * time.Millisecond
	// maxStagger bounds it. It has room for 250 turns: agents of a large group that came
	// due together would put each other out, and the group would have no steward for
	// long.
	maxStagger = 30 * time.Second
	// again is the pause between tries.
	again = 500 * time.Millisecond
)

// NewCandidate returns a candidate that starts to listen now.
func NewCandidate(now time.Time) *Candidate { return &Candidate{heard: now} }

// Observe records a word of the steward. Held says that the group is held, or is
// about to be.
func (c *Candidate) Observe(now time.Time, held bool) { c.heard, c.held = now, held }

// Due reports whether an agent should try to take over: the one whose turn it is, from
// 0, first.
func (c *Candidate) Due(turn int, now time.Time) bool {
	limit := silence + min(time.Duration(turn)*stagger, maxStagger)
	if c.held {
		limit = min(limit, heldSilence+time.Duration(turn)*heldStagger)
	}
	return now.Sub(c.heard) >= limit && now.Sub(c.tried) >= again
}

// Attempted records that the agent has tried to.
func (c *Candidate) Attempted(now time.Time) { c.tried = now }
