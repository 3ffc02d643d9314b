package expert

// A search makes at most splits splits, of experts whose replicas exceed the size
// that the slots require by more than the factor tooLarge.
const (
	splits   = 16
	tooLarge = 1.5
)

// split adds a replica of the expert with the largest replicas when they are far
// larger than the slots require, although the rank that gets the new one becomes
// overloaded temporarily. It reports whether it did.
//
// It avoids a local minimum of the step-by-step search that was seen when the
// mix of work changes over half an hour: experts whose load falls keep a hundred
// replicas each, experts whose load rises have a few with a whole rank's load,
// and no rank has capacity for another replica of that size, so that no single
// step helps any more. Replicas that are kept small early can always be
// exchanged.
func (s *search) split() bool {
	e := s.largestReplicas()
	if s.perReplica[e] <= tooLarge*s.minLargestShare || s.replicas[e] >= s.targetReplicas[e] {
		return false
	}
	slot := s.cheapestSlot(e, func(f int32) bool { return s.replicas[f] > s.targetReplicas[f] })
	if slot < 0 {
		return false
	}
	c := candidate{a: slot, b: -1, ea: e}
	s.apply(c)
	s.record(c)
	return true
}

// largestReplicas returns the expert with the largest replicas.
func (s *search) largestReplicas() int32 {
	best := 0
	for e, part := range s.perReplica {
		if part > s.perReplica[best] {
			best = e
		}
	}
	return int32(best)
}

// setTargets computes the number of replicas of each expert by Apportion, and the
// load of the largest replica with these numbers.
func (s *search) setTargets() {
	s.targetReplicas = Apportion(s.group, s.load)
	s.minLargestShare = 0
	for e, n := range s.targetReplicas {
		s.minLargestShare = max(s.minLargestShare, s.load[e]/float64(n))
	}
}
