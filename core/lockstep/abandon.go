package lockstep

import (
	"time"

	"verbenashift/platform"
)

// Predecessor is the steward that was heard last.
type Predecessor struct {
	// Rank is that beside which it ran, Salt the one that it was made with.
	Rank int
	Salt uint64
}

// abandonAfter is how long a hold must have been without any armed rank before
// it is given up: an order that an agent took from the steward before, just
// before it heard of the new one, has been answered by then or never will be.
const abandonAfter = 150 * time.Millisecond

// abandon gives up a hold while the rank of the steward before does not answer.
//
// That happens when a steward's instance stops answering just after its hold:
// the group would stand until it is back. No rank that answers is armed, and
// the agents beside them take no orders from that steward any more. The missing
// rank is not armed either: a steward arms its own rank last, after all the
// others, and nobody else has armed for this hold; see ownHold.
func (s *Steward) abandon(ranks []Rank, now time.Time) []Command {
	step := lowestHeld(ranks)
	version, _ := armed(ranks)
	if version != 0 || step == 0 || !s.ownHold(ranks) {
		s.standing = time.Time{}
		return nil
	}
	if s.standing.IsZero() {
		s.standing = now
	}
	if now.Sub(s.standing) < abandonAfter {
		return nil
	}
	return s.release(ranks, step)
}

// ownHold reports whether only the steward before can have given orders to arm
// for the hold, and only its own rank is missing: it is the one that prepared
// the map, the hold is where it places its holds, and this steward has not armed
// anything. If another steward had a hand in it, the missing rank may be armed.
func (s *Steward) ownHold(ranks []Rank) bool {
	missing := s.onlyMissing(ranks)
	if s.before == nil || missing < 0 || missing != s.before.Rank {
		return false
	}
	holder := (missing + 1) % len(ranks)
	for i := range ranks {
		st := &ranks[i].State
		if i != missing && (st.Prepared%saltRange != int64(s.before.Salt%saltRange) || st.Held != 0 && i != holder) {
			return false
		}
	}
	return true
}

// onlyMissing returns the one rank that is not known in an otherwise whole
// group, or -1.
func (s *Steward) onlyMissing(ranks []Rank) int {
	missing, first := -1, -1
	for i := range ranks {
		st := &ranks[i].State
		switch {
		case !ranks[i].Known && missing >= 0:
			return -1
		case !ranks[i].Known:
			missing = i
			ranks[i].State = platform.RankState{}
		case !st.Open || st.Size != len(ranks):
			return -1
		case first < 0:
			first = i
		case st.Epoch != ranks[first].State.Epoch:
			return -1
		}
	}
	return missing
}
