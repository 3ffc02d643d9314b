package expert

// candidate is a possible step. Slot b is -1 when one slot changes.
type candidate struct {
	a, b   int32   // slots
	ea, eb int32   // the experts that they get
	gain   float64 // less penalty for each replica loaded
}

// tries is how many of the best candidates are tried when the estimate of a
// gain proves wrong, which it can be where two changes meet on a rank.
const tries = 4

// least is the smallest gain worth a step; it keeps rounding from looping.
const least = 1e-9

func (s *search) slotsOf(r int) Map { return s.m[r*s.group.Slots : (r+1)*s.group.Slots] }

// mayDrop reports whether an expert can spare a replica on a rank.
func (s *search) mayDrop(e int32, r int) bool {
	return e == Empty || (s.n[e] > s.group.minReplicas() && s.spread.deficitWith(e, -1, r) <= s.spread.deficit(e))
}

func (s *search) mayAdd(e int32, r int) bool {
	return !holds(s.slotsOf(r), e) && s.mayLoad(e, r) && s.spread.deficitWith(e, r, -1) <= s.spread.deficit(e)
}

// mayGo reports whether a replica can go from one rank to another.
func (s *search) mayGo(e int32, from, to int) bool {
	return e == Empty || (!holds(s.slotsOf(to), e) && s.mayLoad(e, to) && s.spread.deficitWith(e, to, from) <= s.spread.deficit(e))
}

// swaps offers to exchange a replica of the worst rank with another rank's.
func (s *search) swaps(worst int, best *[tries]candidate) {
	slots := s.group.Slots
	for i, e := range s.slotsOf(worst) {
		if e == Empty {
			continue
		}
		share := s.share(e)
		for _, p := range s.partners {
			r := int(p)
			for j, f := range s.slotsOf(r) {
				d := share - s.share(f)
				raised := s.rank[r] + d*s.pace[r]
				if d <= 0 || raised >= s.rank[worst] {
					continue
				}
				gain := s.penalty[worst] + s.penalty[r] - steep(s.rank[worst]-d*s.pace[worst]) - steep(raised)
				if beats(gain/2, best) && s.mayGo(e, worst, r) && s.mayGo(f, r, worst) {
					offer(candidate{a: int32(worst*slots + i), b: int32(r*slots + j), ea: f, eb: e, gain: gain / 2}, best)
				}
			}
		}
	}
}

// replaces offers to give a slot of the worst rank to another expert.
func (s *search) replaces(worst int, best *[tries]candidate) {
	for i, e := range s.slotsOf(worst) {
		if !s.mayDrop(e, worst) {
			continue
		}
		lost := s.dropped(e, worst)
		for f := range s.load {
			next := s.rank[worst] + (s.part(int32(f), s.n[f]+1)-s.share(e))*s.pace[worst]
			if next >= s.rank[worst] {
				continue
			}
			gain := s.penalty[worst] - steep(next) - lost - s.more[f]
			if beats(gain, best) && s.mayAdd(int32(f), worst) {
				offer(candidate{a: int32(worst*s.group.Slots + i), b: -1, ea: int32(f), gain: gain}, best)
			}
		}
	}
}

// drops offers to empty a slot of the worst rank whose expert has a replica
// elsewhere. Nothing is loaded for it, so that a rank that has become slow is
// relieved faster than by exchanging its experts.
func (s *search) drops(worst int, best *[tries]candidate) {
	for i, e := range s.slotsOf(worst) {
		if e == Empty || s.n[e] < 2 || !s.mayDrop(e, worst) {
			continue
		}
		gain := s.penalty[worst] - steep(s.rank[worst]-s.share(e)*s.pace[worst]) - s.dropped(e, worst)
		if beats(gain, best) {
			offer(candidate{a: int32(worst*s.group.Slots + i), b: -1, ea: Empty, gain: gain}, best)
		}
	}
}

// replicates offers to put one more replica of an expert of the worst rank
// onto another rank.
func (s *search) replicates(worst int, best *[tries]candidate) {
	slots := s.group.Slots
	for _, e := range s.slotsOf(worst) {
		if e == Empty {
			continue
		}
		next := s.part(e, s.n[e]+1)
		for _, p := range s.partners {
			r := int(p)
			for j, f := range s.slotsOf(r) {
				load := s.rank[r] + (next-s.share(f))*s.pace[r]
				if load >= s.rank[worst] {
					continue
				}
				// The gain without the loss on the other ranks of f is cheap and
				// rules most slots out.
				gain := s.penalty[r] - steep(load) - s.more[e]
				if !beats(gain, best) {
					continue
				}
				gain -= s.dropped(f, r)
				if beats(gain, best) && s.mayDrop(f, r) && s.mayAdd(e, r) {
					offer(candidate{a: int32(r*slots + j), b: -1, ea: e, gain: gain}, best)
				}
			}
		}
	}
}

// dropped returns the rise of the penalty on the other ranks of an expert
// when it loses its replica on the given rank.
func (s *search) dropped(e int32, r int) float64 {
	if e == Empty || s.n[e] < 2 {
		return 0
	}
	up := s.part(e, s.n[e]-1) - s.each[e]
	return s.fewer[e] - (steep(s.rank[r]+up*s.pace[r]) - s.penalty[r])
}

func beats(gain float64, best *[tries]candidate) bool {
	return gain > least && gain > best[tries-1].gain
}

// offer keeps the best candidates in order.
func offer(c candidate, best *[tries]candidate) {
	i := tries - 1
	for ; i > 0 && c.gain > best[i-1].gain; i-- {
		best[i] = best[i-1]
	}
	best[i] = c
}
