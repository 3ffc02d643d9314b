package expert

import "math"

// restore gives every expert its least number of replicas, loading at most so
// many, and returns the steps it made. A group lacks an expert after the
// ranks that held it were lost; its requests can't be served until then, so
// that this goes before any weighing of cost.
func (s *search) restore(most int) int {
	for e := range s.n {
		for s.n[e] < s.group.minReplicas() && s.loads < most {
			slot := s.cheapest(int32(e), func(int32) bool { return true })
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

// cheapest returns the slot that costs the least penalty to give to an expert,
// or -1 when no slot can be spared. Only experts that may give one do.
func (s *search) cheapest(e int32, gives func(f int32) bool) int32 {
	s.weigh()
	best, least := int32(-1), math.Inf(1)
	next := s.part(e, s.n[e]+1)
	for i, f := range s.m {
		r := i / s.group.Slots
		if (f != Empty && !gives(f)) || !s.mayDrop(f, r) || !s.mayAdd(e, r) {
			continue
		}
		if rise := steep(s.rank[r]+(next-s.share(f))*s.pace[r]) - s.penalty[r] + s.dropped(f, r); rise < least {
			best, least = int32(i), rise
		}
	}
	return best
}
