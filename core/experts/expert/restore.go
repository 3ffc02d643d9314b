package expert

import "math"

// restore gives every expert its minimum number of replicas, loading at most the
// given number of replicas, and returns the number of steps made. A group lacks
// an expert after the ranks that held it failed; the expert's requests can't be
// served until it is loaded again, so this takes precedence over any cost.
func (s *search) restore(most int) int {
	for e := range s.replicas {
		for s.replicas[e] < s.group.minReplicas() && s.loads < most {
			slot := s.cheapestSlot(int32(e), func(int32) bool { return true })
			if slot < 0 {
				break
			}
			c := candidate{a: slot, b: -1, ea: int32(e)}
			s.apply(c)
			s.record(c)
		}
	}
	return len(s.steps)
}

// cheapestSlot returns the slot that increases the penalty least when the expert
// gets it, or -1 when there is none. Only experts for which the function
// mayLose returns true lose a replica.
func (s *search) cheapestSlot(e int32, mayLose func(f int32) bool) int32 {
	s.updatePenaltyChanges()
	best, least := int32(-1), math.Inf(1)
	next := s.replicaLoad(e, s.replicas[e]+1)
	for i, f := range s.m {
		r := i / s.group.Slots
		if (f != Empty && !mayLose(f)) || !s.mayDrop(f, r) || !s.mayAdd(e, r) {
			continue
		}
		if rise := penaltyOf(s.rank[r]+(next-s.slotLoad(f))*s.pace[r]) - s.penalty[r] + s.dropPenalty(f, r); rise < least {
			best, least = int32(i), rise
		}
	}
	return best
}
