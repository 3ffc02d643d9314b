package expert

// search improves the map of one layer by a few replicas at a time, always
// at the most loaded rank. Loads are scaled so that the mean rank load is 1.
type search struct {
	group   *Group
	m, orig Map
	load    []float64 // of an expert
	rank    []float64 // of a rank, times its pace
	pace    []float64 // of a rank
	penalty []float64 // of a rank: steep(rank)
	each    []float64 // of a replica of an expert
	n       []int     // replicas of an expert
	ranksOf [][]int32 // of an expert
	spread  *spread
	target  []int   // replicas of an expert by Apportion
	ideal   float64 // the largest part with these replicas
	// fewer and more are the changes of the total penalty on an expert's
	// ranks when it gets one replica less or more elsewhere.
	fewer, more []float64
	// partners are the ranks that the worst rank may give work to.
	partners []int32
	steps    []step
	loads    int // replicas to load to get from orig to m
	// quota, if there is one, bounds what may be loaded; fresh counts the
	// experts of this layer that are new to each rank.
	quota *quota
	fresh []int
}

// step is one change on the way: at most two slots.
type step struct {
	slots   [2]int32
	experts [2]int32
	count   int
	// skew and loads hold after the step.
	skew  float64
	loads int
}

func newSearch(g *Group) *search {
	s := &search{
		group: g, load: make([]float64, g.Experts), each: make([]float64, g.Experts), rank: make([]float64, len(g.Ranks)),
		penalty: make([]float64, len(g.Ranks)), n: make([]int, g.Experts), ranksOf: make([][]int32, g.Experts),
		fewer: make([]float64, g.Experts), more: make([]float64, g.Experts), spread: newSpread(g),
	}
	s.pace = make([]float64, len(g.Ranks))
	for r := range g.Ranks {
		s.pace[r] = g.Ranks[r].pace()
	}
	return s
}

// begin starts from a map with the given loads.
func (s *search) begin(m Map, loads []float64) {
	s.orig = append(s.orig[:0], m...)
	s.m = append(s.m[:0], m...)
	s.steps, s.loads = s.steps[:0], 0
	scale := 1.0
	if total := sum(loads); total > 0 {
		scale = float64(len(s.rank)) / total
	}
	clear(s.n)
	s.spread.reset()
	for e := range s.load {
		s.load[e] = loads[e] * scale
		s.ranksOf[e] = s.ranksOf[e][:0]
	}
	for i, e := range m {
		if e != Empty {
			s.n[e]++
			s.ranksOf[e] = append(s.ranksOf[e], int32(i/s.group.Slots))
			s.spread.add(e, i/s.group.Slots)
		}
	}
	for e := range s.each {
		s.each[e] = s.part(int32(e), s.n[e])
	}
	for r := range s.rank {
		s.recount(r)
	}
}

// steep is the penalty of a rank's load. The 32nd power makes the sum over
// all ranks follow the maximum, yet still rewards fewer ranks near it.
func steep(x float64) float64 {
	x *= x
	x *= x
	x *= x
	x *= x
	return x * x
}

// part returns the load of one of n replicas of an expert.
func (s *search) part(e int32, n int) float64 {
	return s.load[e] / float64(max(n, 1))
}

func (s *search) share(e int32) float64 {
	if e == Empty {
		return 0
	}
	return s.each[e]
}

func (s *search) recount(r int) {
	total := 0.0
	for _, e := range s.m[r*s.group.Slots : (r+1)*s.group.Slots] {
		total += s.share(e)
	}
	s.rank[r] = total * s.pace[r]
	s.penalty[r] = steep(s.rank[r])
}

func (s *search) worst() int {
	worst := 0
	for r, load := range s.rank {
		if load > s.rank[worst] {
			worst = r
		}
	}
	return worst
}

func (s *search) total() float64 { return sum(s.penalty) }

// improve makes the best step at the most loaded rank and reports whether
// there was one.
func (s *search) improve() bool {
	s.weigh()
	worst := s.worst()
	s.pair(1 - (s.rank[worst]-1)/2)
	if s.improveAt(worst) {
		return true
	}
	s.pair(s.rank[worst])
	return s.improveAt(worst)
}

// pair makes the ranks below a load the partners. The coldest ranks almost
// always hold the best step, so that the others are only asked in need.
func (s *search) pair(below float64) {
	s.partners = s.partners[:0]
	for r, load := range s.rank {
		if load < below {
			s.partners = append(s.partners, int32(r))
		}
	}
}

func (s *search) improveAt(worst int) bool {
	var best [tries]candidate
	s.swaps(worst, &best)
	s.replaces(worst, &best)
	s.replicates(worst, &best)
	if s.pace[worst] > 1 {
		s.drops(worst, &best)
	}
	before := s.total()
	for _, c := range best {
		if c.gain <= least {
			return false
		}
		undo := s.apply(c)
		if s.total() < before-least {
			s.record(c)
			return true
		}
		s.apply(undo)
	}
	return false
}

// weigh works out fewer and more for every expert.
func (s *search) weigh() {
	for e := range s.load {
		s.fewer[e], s.more[e] = 0, 0
		share := s.each[e]
		up := s.part(int32(e), s.n[e]-1) - share
		down := share - s.part(int32(e), s.n[e]+1)
		for _, r := range s.ranksOf[e] {
			s.fewer[e] += steep(s.rank[r]+up*s.pace[r]) - s.penalty[r]
			s.more[e] += steep(s.rank[r]-down*s.pace[r]) - s.penalty[r]
		}
	}
}

// apply makes a step and returns the one that takes it back.
func (s *search) apply(c candidate) candidate {
	undo := candidate{a: c.a, b: c.b, ea: s.m[c.a]}
	if c.b >= 0 {
		undo.eb = s.m[c.b]
		s.set(c.b, Empty)
	}
	s.set(c.a, c.ea)
	if c.b >= 0 {
		s.set(c.b, c.eb)
	}
	return undo
}

// set gives a slot to an expert and keeps all sums.
func (s *search) set(slot, e int32) {
	r := int(slot) / s.group.Slots
	was := s.m[slot]
	s.m[slot] = e
	if was != Empty {
		s.n[was]--
		s.spread.remove(was, r)
		s.ranksOf[was] = cut(s.ranksOf[was], int32(r))
		s.loads -= s.extra(was, r)
		s.count(was, r, -1)
		s.refresh(was)
	}
	if e != Empty {
		s.n[e]++
		s.spread.add(e, r)
		s.ranksOf[e] = append(s.ranksOf[e], int32(r))
		s.loads += s.extra(e, r)
		s.count(e, r, 1)
		s.refresh(e)
	}
	s.recount(r)
}

// extra is 1 when the expert on that rank has to be loaded.
func (s *search) extra(e int32, r int) int {
	if holds(s.orig[r*s.group.Slots:(r+1)*s.group.Slots], e) {
		return 0
	}
	return 1
}

func (s *search) refresh(e int32) {
	s.each[e] = s.part(e, s.n[e])
	for _, r := range s.ranksOf[e] {
		s.recount(int(r))
	}
}

func cut(ranks []int32, r int32) []int32 {
	for i, x := range ranks {
		if x == r {
			ranks[i] = ranks[len(ranks)-1]
			return ranks[:len(ranks)-1]
		}
	}
	return ranks
}

// record notes a step that was made.
func (s *search) record(c candidate) {
	st := step{slots: [2]int32{c.a, c.b}, experts: [2]int32{c.ea, c.eb}, count: 1, loads: s.loads}
	if c.b >= 0 {
		st.count = 2
	}
	st.skew = s.rank[s.worst()]
	s.steps = append(s.steps, st)
}

// mapAfter returns the map after the first steps.
func (s *search) mapAfter(steps int) Map {
	m := append(Map(nil), s.orig...)
	for _, st := range s.steps[:steps] {
		for i := range st.count {
			m[st.slots[i]] = st.experts[i]
		}
	}
	return m
}
