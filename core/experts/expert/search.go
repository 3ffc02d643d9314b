package expert

// search improves the map of one layer by a few replicas at a time, always at
// the most loaded rank. Loads are scaled so that the mean rank load is 1.
type search struct {
	group           *Group
	m, initial      Map
	load            []float64 // by expert
	rank            []float64 // load by rank, times the rank's pace
	pace            []float64 // by rank: Rank.Pace
	penalty         []float64 // by rank: penaltyOf(rank)
	perReplica      []float64 // load of one replica, by expert
	replicas        []int     // number of replicas, by expert
	ranksOf         [][]int32 // ranks with a replica, by expert
	spread          *spread
	targetReplicas  []int   // number of replicas by Apportion, by expert
	minLargestShare float64 // load of the largest replica with targetReplicas
	// penaltyFewer and penaltyMore are, by expert, the changes of the total
	// penalty on its ranks when it has one replica fewer or more elsewhere.
	penaltyFewer, penaltyMore []float64
	// partners are the ranks to which the worst rank may transfer load.
	partners []int32
	steps    []step
	loads    int // replicas to load to get from initial to m
	// quota bounds what may be loaded, if it isn't nil; newOnRank counts the
	// experts of this layer that are new to each rank.
	quota     *quota
	newOnRank []int
}

// step is a change of one or two slots.
type step struct {
	slots   [2]int32
	experts [2]int32
	count   int
	// skew and loads are the values after the step.
	skew  float64
	loads int
}

func newSearch(g *Group) *search {
	s := &search{
		group: g, load: make([]float64, g.Experts), perReplica: make([]float64, g.Experts), rank: make([]float64, len(g.Ranks)),
		penalty: make([]float64, len(g.Ranks)), replicas: make([]int, g.Experts), ranksOf: make([][]int32, g.Experts),
		penaltyFewer: make([]float64, g.Experts), penaltyMore: make([]float64, g.Experts), spread: newSpread(g),
	}
	s.pace = make([]float64, len(g.Ranks))
	for r := range g.Ranks {
		s.pace[r] = g.Ranks[r].pace()
	}
	return s
}

// setMap prepares a search that starts from a map with the given loads.
func (s *search) setMap(m Map, loads []float64) {
	s.initial = append(s.initial[:0], m...)
	s.m = append(s.m[:0], m...)
	s.steps, s.loads = s.steps[:0], 0
	scale := 1.0
	if total := sum(loads); total > 0 {
		scale = float64(len(s.rank)) / total
	}
	clear(s.replicas)
	s.spread.reset()
	for e := range s.load {
		s.load[e] = loads[e] * scale
		s.ranksOf[e] = s.ranksOf[e][:0]
	}
	for i, e := range m {
		if e != Empty {
			s.replicas[e]++
			s.ranksOf[e] = append(s.ranksOf[e], int32(i/s.group.Slots))
			s.spread.add(e, i/s.group.Slots)
		}
	}
	for e := range s.perReplica {
		s.perReplica[e] = s.replicaLoad(int32(e), s.replicas[e])
	}
	for r := range s.rank {
		s.updateRank(r)
	}
}

// penaltyOf returns the penalty of a rank's load, its 32nd power. This makes the
// sum over all ranks follow the maximum, and still rewards fewer ranks near the
// maximum.
func penaltyOf(x float64) float64 {
	x *= x
	x *= x
	x *= x
	x *= x
	return x * x
}

// replicaLoad returns the load of one of n replicas of an expert.
func (s *search) replicaLoad(e int32, n int) float64 {
	return s.load[e] / float64(max(n, 1))
}

// slotLoad returns the load of a slot that holds the given expert or Empty.
func (s *search) slotLoad(e int32) float64 {
	if e == Empty {
		return 0
	}
	return s.perReplica[e]
}

func (s *search) updateRank(r int) {
	total := 0.0
	for _, e := range s.m[r*s.group.Slots : (r+1)*s.group.Slots] {
		total += s.slotLoad(e)
	}
	s.rank[r] = total * s.pace[r]
	s.penalty[r] = penaltyOf(s.rank[r])
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

func (s *search) totalPenalty() float64 { return sum(s.penalty) }

// improve makes the best step at the most loaded rank and reports whether there
// was one.
func (s *search) improve() bool {
	s.updatePenaltyChanges()
	worst := s.worst()
	s.selectPartners(1 - (s.rank[worst]-1)/2)
	if s.improveAt(worst) {
		return true
	}
	s.selectPartners(s.rank[worst])
	return s.improveAt(worst)
}

// selectPartners makes the ranks below a load the partners. The least loaded
// ranks almost always allow the best step, so the others are only tried when
// those allow none.
func (s *search) selectPartners(below float64) {
	s.partners = s.partners[:0]
	for r, load := range s.rank {
		if load < below {
			s.partners = append(s.partners, int32(r))
		}
	}
}

func (s *search) improveAt(worst int) bool {
	var best [maxCandidates]candidate
	s.swaps(worst, &best)
	s.replaces(worst, &best)
	s.replicates(worst, &best)
	if s.pace[worst] > 1 {
		s.drops(worst, &best)
	}
	before := s.totalPenalty()
	for _, c := range best {
		if c.gain <= minGain {
			return false
		}
		undo := s.apply(c)
		if s.totalPenalty() < before-minGain {
			s.record(c)
			return true
		}
		s.apply(undo)
	}
	return false
}

// updatePenaltyChanges computes penaltyFewer and penaltyMore for every expert.
func (s *search) updatePenaltyChanges() {
	for e := range s.load {
		s.penaltyFewer[e], s.penaltyMore[e] = 0, 0
		share := s.perReplica[e]
		up := s.replicaLoad(int32(e), s.replicas[e]-1) - share
		down := share - s.replicaLoad(int32(e), s.replicas[e]+1)
		for _, r := range s.ranksOf[e] {
			s.penaltyFewer[e] += penaltyOf(s.rank[r]+up*s.pace[r]) - s.penalty[r]
			s.penaltyMore[e] += penaltyOf(s.rank[r]-down*s.pace[r]) - s.penalty[r]
		}
	}
}

// apply makes a step and returns the step that undoes it.
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

// set assigns a slot to an expert and updates all sums.
func (s *search) set(slot, e int32) {
	r := int(slot) / s.group.Slots
	was := s.m[slot]
	s.m[slot] = e
	if was != Empty {
		s.replicas[was]--
		s.spread.remove(was, r)
		s.ranksOf[was] = removeRank(s.ranksOf[was], int32(r))
		s.loads -= s.loadsNeeded(was, r)
		s.count(was, r, -1)
		s.updateReplicas(was)
	}
	if e != Empty {
		s.replicas[e]++
		s.spread.add(e, r)
		s.ranksOf[e] = append(s.ranksOf[e], int32(r))
		s.loads += s.loadsNeeded(e, r)
		s.count(e, r, 1)
		s.updateReplicas(e)
	}
	s.updateRank(r)
}

// loadsNeeded returns 1 when the expert must be loaded on the rank, and 0 when
// the rank holds it in the initial map.
func (s *search) loadsNeeded(e int32, r int) int {
	if holds(s.initial[r*s.group.Slots:(r+1)*s.group.Slots], e) {
		return 0
	}
	return 1
}

func (s *search) updateReplicas(e int32) {
	s.perReplica[e] = s.replicaLoad(e, s.replicas[e])
	for _, r := range s.ranksOf[e] {
		s.updateRank(int(r))
	}
}

func removeRank(ranks []int32, r int32) []int32 {
	for i, x := range ranks {
		if x == r {
			ranks[i] = ranks[len(ranks)-1]
			return ranks[:len(ranks)-1]
		}
	}
	return ranks
}

// record appends a step that was made.
func (s *search) record(c candidate) {
	st := step{slots: [2]int32{c.a, c.b}, experts: [2]int32{c.ea, c.eb}, count: 1, loads: s.loads}
	if c.b >= 0 {
		st.count = 2
	}
	st.skew = s.rank[s.worst()]
	s.steps = append(s.steps, st)
}

// mapAfter returns the map after the given number of steps.
func (s *search) mapAfter(steps int) Map {
	m := append(Map(nil), s.initial...)
	for _, st := range s.steps[:steps] {
		for i := range st.count {
			m[st.slots[i]] = st.experts[i]
		}
	}
	return m
}
