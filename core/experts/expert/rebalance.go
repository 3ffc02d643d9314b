package expert

// Limits bounds what one change to a group's maps may load.
type Limits struct {
	// PerLayer is how many experts of one layer may be new to a rank: engines
	// keep that many slots free beside the active map. 0 means no limit.
	PerLayer int
	// PerRank is how many experts of all layers together may be new to a rank.
	// It bounds the copying time of a change. 0 means no limit.
	PerRank int
	// MaxPerRank is up to how many experts PerRank grows while another copy pays by
	// ChangeTime, and saves MinGain of the mean skew. It has no effect unless it is higher
	// than PerRank.
	MaxPerRank int
	ChangeTime ChangeTime
	MinGain    float64
	// TargetSkew is the skew at or below which a layer is not changed, because a
	// further reduction is not worth the copies. 0 means the lowest possible.
	TargetSkew float64
	// MaxSteps is the maximum number of search steps per layer; 0 means
	// defaultSteps.
	MaxSteps int
}

// defaultSteps is enough for a layer whose mix of work has changed completely;
// later steps gain less than 1%.
const defaultSteps = 48

// Rebalance returns maps with a lower skew for all layers of a group, within
// the limits, and the mean skew of the layers before and after.
//
// It always improves the layer with the highest skew, so that the limit that the
// layers share is used where it gains most: the duration of a step of the group
// is the sum over its layers, each determined by its most loaded rank.
func Rebalance(g *Group, maps []Map, loads [][]float64, lim Limits) (next []Map, before, after float64) {
	shared := &quota{perLayer: lim.PerLayer, perRank: lim.PerRank, rank: make([]int, len(g.Ranks))}
	steps := lim.MaxSteps
	if steps <= 0 {
		steps = defaultSteps
	}
	layers := make([]*search, len(maps))
	for i, m := range maps {
		s := newSearch(g)
		s.quota = shared
		s.newOnRank = make([]int, len(g.Ranks))
		s.setMap(m, loads[i])
		s.setTargets()
		layers[i] = s
	}
	before = meanSkew(layers)
	improveLayers(layers, steps, lim.TargetSkew)
	made, after := stepsMade(layers), meanSkew(layers)
	for lim.PerRank > 0 && lim.ChangeTime.Rest > 0 && shared.perRank < lim.MaxPerRank {
		shared.perRank++
		improveLayers(layers, steps, lim.TargetSkew)
		more := meanSkew(layers)
		if after-more < lim.MinGain || !lim.ChangeTime.pays(before, after, more, shared.perRank-1) {
			break
		}
		made, after = stepsMade(layers), more
	}
	for i, s := range layers {
		next = append(next, s.mapAfter(made[i]))
	}
	return next, before, after
}

// improveLayers improves the most skewed layer until none can be improved within the limits.
func improveLayers(layers []*search, steps int, target float64) {
	open := append([]*search(nil), layers...)
	for len(open) > 0 {
		k := mostSkewed(open)
		s := open[k]
		if s.rank[s.worst()] <= target || len(s.steps) >= steps || !s.improve() {
			open = append(open[:k], open[k+1:]...)
		}
	}
}

// meanSkew returns the mean of the skews that the searches have reached.
func meanSkew(layers []*search) float64 {
	total := 0.0
	for _, s := range layers {
		total += s.rank[s.worst()]
	}
	return total / float64(len(layers))
}

// stepsMade returns the number of steps of each search.
func stepsMade(layers []*search) []int {
	made := make([]int, len(layers))
	for i, s := range layers {
		made[i] = len(s.steps)
	}
	return made
}

func mostSkewed(layers []*search) int {
	best := 0
	for i, s := range layers {
		if s.rank[s.worst()] > layers[best].rank[layers[best].worst()] {
			best = i
		}
	}
	return best
}

// quota limits and counts the experts that are new to each rank.
type quota struct {
	perLayer, perRank int
	// rank is the count by rank, over all layers.
	rank []int
}

// mayLoad reports whether the quota allows a rank to get an expert. Experts that
// it held in the initial map are always allowed.
func (s *search) mayLoad(e int32, r int) bool {
	q := s.quota
	if q == nil || s.loadsNeeded(e, r) == 0 {
		return true
	}
	return (q.perLayer == 0 || s.newOnRank[r] < q.perLayer) && (q.perRank == 0 || q.rank[r] < q.perRank)
}

// count updates the number of new experts of a rank.
func (s *search) count(e int32, r, change int) {
	if s.quota == nil {
		return
	}
	n := change * s.loadsNeeded(e, r)
	s.newOnRank[r] += n
	s.quota.rank[r] += n
}
