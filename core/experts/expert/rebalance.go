package expert

// Limits bound what one change of a group's maps may load.
type Limits struct {
	// PerLayer is how many experts of one layer may be new to a rank: engines
	// keep that many places free beside the map in use. 0 means no limit.
	PerLayer int
	// PerRank is the same over all layers. It bounds how long the copies of a
	// change take. 0 means no limit.
	PerRank int
	// TargetSkew is the skew at which a layer is left alone: what lies below it is
	// not worth the copies. 0 means as low as can be.
	TargetSkew float64
	// MaxSteps bounds the work on one layer; 0 means defaultSteps.
	MaxSteps int
}

// defaultSteps is enough for a layer whose mix of work has changed altogether;
// later steps gain less than a hundredth.
const defaultSteps = 48

// Rebalance returns better maps for all layers of a group within limits, with
// the mean skew of the layers before and after.
//
// It always works on the layer with the highest skew, so that a limit that
// layers share goes to where it gains most: a step of the group lasts as long
// as the sum of its layers, each as long as its most loaded rank.
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
		s.fresh = make([]int, len(g.Ranks))
		s.begin(m, loads[i])
		s.aim()
		layers[i] = s
		before += s.rank[s.worst()] / float64(len(maps))
	}
	open := append([]*search(nil), layers...)
	for len(open) > 0 {
		k := mostSkewed(open)
		s := open[k]
		if s.rank[s.worst()] <= lim.TargetSkew || len(s.steps) >= steps || !s.improve() {
			open = append(open[:k], open[k+1:]...)
		}
	}
	for _, s := range layers {
		next = append(next, s.mapAfter(len(s.steps)))
		after += s.rank[s.worst()] / float64(len(maps))
	}
	return next, before, after
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

// quota counts the experts that are new to each rank.
type quota struct {
	perLayer, perRank int
	// rank counts over all layers.
	rank []int
}

// mayLoad reports whether a rank may get an expert that it does not hold yet.
func (s *search) mayLoad(e int32, r int) bool {
	q := s.quota
	if q == nil || s.extra(e, r) == 0 {
		return true
	}
	return (q.perLayer == 0 || s.fresh[r] < q.perLayer) && (q.perRank == 0 || q.rank[r] < q.perRank)
}

// count keeps the number of new experts of a rank.
func (s *search) count(e int32, r, change int) {
	if s.quota == nil {
		return
	}
	n := change * s.extra(e, r)
	s.fresh[r] += n
	s.quota.rank[r] += n
}
