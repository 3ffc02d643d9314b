package lockstep

import (
	"time"

	"verbenashift/core/experts/engine"
)

// Predecessor is the coordinator whose announcement was received last.
type Predecessor struct {
	// Rank is the rank beside which it ran, Salt the salt passed to its NewCoordinator.
	Rank int
	Salt uint64
}

// abandonAfter is how long the ranks must have reported the same before a hold is abandoned.
// By then, an order that an agent accepted from the predecessor just before it received the
// new coordinator's announcement has been answered, or never will be.
const abandonAfter = 150 * time.Millisecond

// abandon gives up a hold while the rank of the predecessor does not answer.
//
// This happens when a coordinator's instance stops answering between its hold and the end of
// its change: the group would stay held until it is back. The missing rank is not armed as
// long as another one is not: a coordinator arms its own rank last, after all the others, and
// nobody else has armed for this hold; see holdOfPredecessor. The agents beside the other
// ranks accept no more orders from that coordinator. So first all unarmed ranks prepare
// another map, then the armed ranks are disarmed and prepare it as well, and then the hold is
// released.
func (s *Coordinator) abandon(ranks []Rank, now time.Time) []Command {
	step := lowestHeld(ranks)
	if step == 0 || !s.holdOfPredecessor(ranks) || allArmed(ranks) {
		s.abandonableSince = time.Time{}
		s.endBlocking()
		return nil
	}
	s.now = now
	version, _ := armed(ranks)
	if s.abandonableSince.IsZero() || s.abandonableArmed != version {
		s.abandonableSince, s.abandonableArmed = now, version
	}
	switch {
	case now.Sub(s.abandonableSince) < abandonAfter:
		return nil
	case !s.armingBlocked(ranks):
		return s.blockArming(ranks)
	case version != 0:
		return s.disarm(ranks, version)
	}
	return s.release(ranks, step)
}

// blockArming has all known and unarmed ranks prepare the placeholder, under a number of this
// coordinator that is never armed. An order to arm the old map that is carried out late,
// perhaps just before the release, then finds its map replaced; otherwise one rank would
// switch alone.
func (s *Coordinator) blockArming(ranks []Rank) []Command {
	if s.Placeholder == nil {
		return nil
	}
	if !s.blocking {
		s.enterEpoch(epochOf(ranks))
		s.observeVersions(ranks)
		s.blocking, s.version, s.content = true, s.nextNumber(), s.Placeholder
	}
	var cmds []Command
	for _, c := range s.prepare(ranks) {
		if ranks[c.Rank].Known && ranks[c.Rank].State.ArmedMap == 0 {
			cmds = append(cmds, c)
		} else {
			s.prepareSentAt[c.Rank] = time.Time{} // The order is due as soon as the rank can take it.
		}
	}
	return cmds
}

// epochOf returns the epoch of the known ranks.
func epochOf(ranks []Rank) int64 {
	for i := range ranks {
		if ranks[i].Known {
			return ranks[i].State.Epoch
		}
	}
	return 0
}

// armingBlocked reports whether no known rank that is not armed yet can still be armed.
func (s *Coordinator) armingBlocked(ranks []Rank) bool {
	return s.blocking && allKnown(ranks, func(st *engine.State) bool { return st.Prepared == s.version || st.ArmedMap != 0 })
}

// endBlocking drops the placeholder, which must not become the map in force.
func (s *Coordinator) endBlocking() {
	if s.blocking {
		s.blocking, s.version, s.content = false, 0, nil
	}
}

// allArmed reports whether every known rank is armed.
func allArmed(ranks []Rank) bool {
	return allKnown(ranks, func(st *engine.State) bool { return st.ArmedMap != 0 })
}

// holdOfPredecessor reports whether only the predecessor can have ordered ranks to arm under
// the hold, and only its own rank is missing: the predecessor prepared the map, the hold is
// where it places its holds, and this coordinator has not armed anything. If another
// coordinator was involved, the missing rank may be armed. The prepared map is no evidence any
// more once this coordinator has begun to replace it.
func (s *Coordinator) holdOfPredecessor(ranks []Rank) bool {
	missing := s.onlyMissing(ranks)
	if s.predecessor == nil || missing < 0 || missing != s.predecessor.Rank {
		return false
	}
	holder := (missing + 1) % len(ranks)
	for i := range ranks {
		st := &ranks[i].State
		if i == missing {
			continue
		}
		if !s.madeByPredecessor(st.Prepared) && !s.blocking || st.ArmedMap != 0 && !s.madeByPredecessor(st.ArmedMap) || st.Held != 0 && i != holder {
			return false
		}
	}
	return true
}

// madeByPredecessor reports whether a map number was issued by the predecessor.
func (s *Coordinator) madeByPredecessor(version int64) bool {
	return version%saltRange == int64(s.predecessor.Salt%saltRange)
}

// onlyMissing returns the one rank that is not known in an otherwise complete group, or -1.
func (s *Coordinator) onlyMissing(ranks []Rank) int {
	missing, first := -1, -1
	for i := range ranks {
		st := &ranks[i].State
		switch {
		case !ranks[i].Known && missing >= 0:
			return -1
		case !ranks[i].Known:
			missing = i
			ranks[i].State = engine.State{}
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
