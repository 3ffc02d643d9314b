package expert

// candidate is a possible step of the search. Slot b is -1 when only one slot
// changes.
type candidate struct {
	a, b   int32   // slots
	ea, eb int32   // the new experts of the slots
	gain   float64 // reduction of the penalty per replica loaded
}

// maxCandidates is how many of the best candidates are tried. The estimate of a
// gain can be wrong when two changes affect the same rank.
const maxCandidates = 4

// minGain is the smallest gain of a step; it prevents endless loops caused
// by rounding errors.
const minGain = 1e-9

func (s *search) slotsOf(r int) Map { return s.m[r*s.group.Slots : (r+1)*s.group.Slots] }

// mayDrop reports whether the replica of an expert on a rank may be removed:
// enough replicas remain and they stay as well spread over failure domains.
func (s *search) mayDrop(e int32, r int) bool {
	return e == Empty || (s.replicas[e] > s.group.minReplicas() && s.spread.deficitWith(e, -1, r) <= s.spread.deficit(e))
}

// mayAdd reports whether a rank may get a replica of an expert.
func (s *search) mayAdd(e int32, r int) bool {
	return !holds(s.slotsOf(r), e) && s.mayLoad(e, r) && s.spread.deficitWith(e, r, -1) <= s.spread.deficit(e)
}

// mayTransfer reports whether a replica may move from one rank to another.
func (s *search) mayTransfer(e int32, from, to int) bool {
	return e == Empty || (!holds(s.slotsOf(to), e) && s.mayLoad(e, to) && s.spread.deficitWith(e, to, from) <= s.spread.deficit(e))
}

// swaps offers exchanges of a replica of the worst rank with a replica of a
// partner.
func (s *search) swaps(worst int, best *[maxCandidates]candidate) {
	slots := s.group.Slots
	for i, e := range s.slotsOf(worst) {
		if e == Empty {
			continue
		}
		slotLoad := s.slotLoad(e)
		for _, p := range s.partners {
			r := int(p)
			for j, f := range s.slotsOf(r) {
				d := slotLoad - s.slotLoad(f)
				raised := s.rank[r] + d*s.pace[r]
				if d <= 0 || raised >= s.rank[worst] {
					continue
				}
				gain := s.penalty[worst] + s.penalty[r] - penaltyOf(s.rank[worst]-d*s.pace[worst]) - penaltyOf(raised)
				if qualifies(gain/2, best) && s.mayTransfer(e, worst, r) && s.mayTransfer(f, r, worst) {
					offer(candidate{a: int32(worst*slots + i), b: int32(r*slots + j), ea: f, eb: e, gain: gain / 2}, best)
				}
			}
		}
	}
}

// replaces offers replacements of a replica of the worst rank by a replica of
// another expert.
func (s *search) replaces(worst int, best *[maxCandidates]candidate) {
	for i, e := range s.slotsOf(worst) {
		if !s.mayDrop(e, worst) {
			continue
		}
		rise := s.dropPenalty(e, worst)
		for f := range s.load {
			next := s.rank[worst] + (s.replicaLoad(int32(f), s.replicas[f]+1)-s.slotLoad(e))*s.pace[worst]
			if next >= s.rank[worst] {
				continue
			}
			gain := s.penalty[worst] - penaltyOf(next) - rise - s.penaltyMore[f]
			if qualifies(gain, best) && s.mayAdd(int32(f), worst) {
				offer(candidate{a: int32(worst*s.group.Slots + i), b: -1, ea: int32(f), gain: gain}, best)
			}
		}
	}
}

// drops offers removals of a replica of the worst rank whose expert has another
// replica. This loads nothing, so it relieves a rank that has become slow
// faster than exchanging its experts.
func (s *search) drops(worst int, best *[maxCandidates]candidate) {
	for i, e := range s.slotsOf(worst) {
		if e == Empty || s.replicas[e] < 2 || !s.mayDrop(e, worst) {
			continue
		}
		gain := s.penalty[worst] - penaltyOf(s.rank[worst]-s.slotLoad(e)*s.pace[worst]) - s.dropPenalty(e, worst)
		if qualifies(gain, best) {
			offer(candidate{a: int32(worst*s.group.Slots + i), b: -1, ea: Empty, gain: gain}, best)
		}
	}
}

// replicates offers additional replicas, on the partners, of the experts of the
// worst rank.
func (s *search) replicates(worst int, best *[maxCandidates]candidate) {
	slots := s.group.Slots
	for _, e := range s.slotsOf(worst) {
		if e == Empty {
			continue
		}
		next := s.replicaLoad(e, s.replicas[e]+1)
		for _, p := range s.partners {
			r := int(p)
			for j, f := range s.slotsOf(r) {
				load := s.rank[r] + (next-s.slotLoad(f))*s.pace[r]
				if load >= s.rank[worst] {
					continue
				}
				// This upper bound leaves out the rise on the other ranks of f. It
				// is cheap and rules out most slots.
				gain := s.penalty[r] - penaltyOf(load) - s.penaltyMore[e]
				if !qualifies(gain, best) {
					continue
				}
				gain -= s.dropPenalty(f, r)
				if qualifies(gain, best) && s.mayDrop(f, r) && s.mayAdd(e, r) {
					offer(candidate{a: int32(r*slots + j), b: -1, ea: e, gain: gain}, best)
				}
			}
		}
	}
}

// dropPenalty returns the increase of the penalty on the other ranks of an
// expert when its replica on the given rank is removed.
func (s *search) dropPenalty(e int32, r int) float64 {
	if e == Empty || s.replicas[e] < 2 {
		return 0
	}
	up := s.replicaLoad(e, s.replicas[e]-1) - s.perReplica[e]
	return s.penaltyFewer[e] - (penaltyOf(s.rank[r]+up*s.pace[r]) - s.penalty[r])
}

// qualifies reports whether a gain is large enough to be one of the best
// candidates.
func qualifies(gain float64, best *[maxCandidates]candidate) bool {
	return gain > minGain && gain > best[maxCandidates-1].gain
}

// offer inserts a candidate into the list of the best, sorted by descending
// gain.
func offer(c candidate, best *[maxCandidates]candidate) {
	i := maxCandidates - 1
	for ; i > 0 && c.gain > best[i-1].gain; i-- {
		best[i] = best[i-1]
	}
	best[i] = c
}
