package lockstep

import (
	"time"

	"verbenashift/core/experts/engine"
)

// Predecessor is the steward that was heard last.
type Predecessor struct {
	// Rank is that beside which it ran, Salt the one that it was made with.
	Rank int
	Salt uint64
}

// abandonAfter is how long the ranks must have said the same before a hold is
// given up: an order that an agent took from the steward before, just before it
// heard of the new one, has been answered by then or never will be.
const abandonAfter = 150 * time.Millisecond

// abandon gives up a hold while the rank of the steward before does not answer.
//
// That happens when a steward's instance stops answering between its hold and the
// end of its change: the group would stand until it is back. The missing rank is
// not armed as long as another one is not: a steward arms its own rank last, after
// all the others, and nobody else has armed for this hold; see ownHold. The agents
// beside the others take no orders from that steward any more. So those that are
// armed are taken back. Then all prepare another map, and the hold is released.
func (s *Coordinator) abandon(ranks []Rank, now time.Time) []Command {
	step := lowestHeld(ranks)
	if step == 0 || !s.ownHold(ranks) || allArmed(ranks) {
		s.standing = time.Time{}
		s.endBar()
		return nil
	}
	s.now = now
	version, _ := armed(ranks)
	if s.standing.IsZero() || s.standingArmed != version {
		s.standing, s.standingArmed = now, version
	}
	switch {
	case now.Sub(s.standing) < abandonAfter:
		return nil
	case !s.barred(ranks):
		return s.bar(ranks)
	case version != 0:
		return s.disarm(ranks, version)
	}
	return s.release(ranks, step)
}

// bar has all ranks that are known and not armed prepare the stopgap, under a number of this
// steward's own that nobody will ever arm. An order to arm the old map that is
// carried out late, perhaps just before the release, finds its map replaced;
// otherwise one rank would switch alone.
func (s *Coordinator) bar(ranks []Rank) []Command {
	if s.Stopgap == nil {
		return nil
	}
	if !s.barring {
		s.enter(epochOf(ranks))
		s.see(ranks)
		s.barring, s.version, s.content = true, s.number(), s.Stopgap
	}
	var cmds []Command
	for _, c := range s.prepare(ranks) {
		if ranks[c.Rank].Known && ranks[c.Rank].State.ArmedMap == 0 {
			cmds = append(cmds, c)
		} else {
			s.asked[c.Rank] = time.Time{} // It is due as soon as it may be asked.
		}
	}
	return cmds
}

// epochOf returns the epoch of the ranks that are known.
func epochOf(ranks []Rank) int64 {
	for i := range ranks {
		if ranks[i].Known {
			return ranks[i].State.Epoch
		}
	}
	return 0
}

// barred reports whether no rank that is known, and is not armed yet, can be armed any
// more.
func (s *Coordinator) barred(ranks []Rank) bool {
	return s.barring && allKnown(ranks, func(st *engine.State) bool { return st.Prepared == s.version || st.ArmedMap != 0 })
}

// endBar forgets the stopgap: it is not to become the map in force.
func (s *Coordinator) endBar() {
	if s.barring {
		s.barring, s.version, s.content = false, 0, nil
	}
}

// allArmed reports whether every rank that is known is armed.
func allArmed(ranks []Rank) bool {
	return allKnown(ranks, func(st *engine.State) bool { return st.ArmedMap != 0 })
}

// ownHold reports whether only the steward before can have given orders to arm
// for the hold, and only its own rank is missing: it is the one that prepared
// the map, the hold is where it places its holds, and this steward has not armed
// anything. If another steward had a hand in it, the missing rank may be armed.
// What is prepared says nothing any more once this steward has begun to replace it.
func (s *Coordinator) ownHold(ranks []Rank) bool {
	missing := s.onlyMissing(ranks)
	if s.before == nil || missing < 0 || missing != s.before.Rank {
		return false
	}
	holder := (missing + 1) % len(ranks)
	for i := range ranks {
		st := &ranks[i].State
		if i == missing {
			continue
		}
		if !s.madeBefore(st.Prepared) && !s.barring || st.ArmedMap != 0 && !s.madeBefore(st.ArmedMap) || st.Held != 0 && i != holder {
			return false
		}
	}
	return true
}

// madeBefore reports whether a number of a map is one of the steward before.
func (s *Coordinator) madeBefore(version int64) bool {
	return version%saltRange == int64(s.before.Salt%saltRange)
}

// onlyMissing returns the one rank that is not known in an otherwise whole
// group, or -1.
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
