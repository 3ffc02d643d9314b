package expert

// A search makes at most so many splits, of experts whose replicas are by
// this factor larger than the slots require.
const (
	splits   = 16
	tooLarge = 1.5
)

// split gives one more replica to the expert with the largest replicas when
// they are far larger than the slots require, although the rank that gets the
// new one becomes overloaded for now. It reports whether it did.
//
// It guards against a trap of the step-by-step search, seen when the mix of
// work changes over half an hour: experts that cool down keep a hundred
// replicas each, experts that warm up have a few with a whole rank's load,
// and no rank has room for another replica of that size, so that no single
// step helps any more. Kept small in time, replicas can always be exchanged.
func (s *search) split() bool {
	e := s.largest()
	if s.each[e] <= tooLarge*s.ideal || s.n[e] >= s.target[e] {
		return false
	}
	slot := s.cheapest(e, func(f int32) bool { return s.n[f] > s.target[f] })
	if slot < 0 {
		return false
	}
	c := candidate{a: slot, b: -1, ea: e}
	s.apply(c)
	s.record(c)
	return true
}

// largest returns the expert with the largest replicas.
func (s *search) largest() int32 {
	best := 0
	for e, part := range s.each {
		if part > s.each[best] {
			best = e
		}
	}
	return int32(best)
}

// aim sets how many replicas the slots allow each expert, and the largest
// part that a replica then has.
func (s *search) aim() {
	s.target = Apportion(s.group, s.load)
	s.ideal = 0
	for e, n := range s.target {
		s.ideal = max(s.ideal, s.load[e]/float64(n))
	}
}
