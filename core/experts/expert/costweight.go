package expert

// point is the skew of a layer after a number of replicas is loaded.
type point struct {
	skew  float64
	loads int
}

// points returns the points after the steps of a search, and that of a rebuilt
// map when it loads anything.
func (s *search) points(start, rebuilt point) []point {
	points := []point{start}
	for _, st := range s.steps {
		if st.loads >= start.loads {
			points = append(points, point{skew: st.skew, loads: st.loads})
		}
	}
	if rebuilt.loads > 0 {
		points = append(points, rebuilt)
	}
	return points
}

// The search for a cost weight doubles it, from firstCostWeight on, and then
// bisects the last doubling.
const (
	firstCostWeight = 0.001
	doublings       = 24
	halvings        = 5
)

// costWeightWithin returns the lowest cost weight, at least the policy's, at
// which the layers together load no more than what is left of the bounds. One
// cost weight for all layers spends the bytes where they reduce the skew most.
// Truncating each layer's plan at the bounds was tried: it spent them on the
// last small gains in some layers while others kept their stragglers.
func (p *Planner) costWeightWithin(proposals []proposal, remaining int) float64 {
	low := p.Policy.Cost
	if p.loadsAtCost(proposals, low) <= remaining {
		return low
	}
	high := max(low, firstCostWeight)
	for i := 0; i < doublings && p.loadsAtCost(proposals, high) > remaining; i++ {
		low, high = high, 2*high
	}
	for range halvings {
		if middle := (low + high) / 2; p.loadsAtCost(proposals, middle) > remaining {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// loadsAtCost returns how many replicas the layers would load at a cost weight.
func (p *Planner) loadsAtCost(proposals []proposal, costWeight float64) int {
	total := 0
	for _, pr := range proposals {
		if pr.loads == 0 || len(pr.points) == 0 {
			continue
		}
		best, value := 0, 0.0
		for i, pt := range pr.points {
			v := p.Policy.Skew*pt.skew + costWeight*float64(pt.loads)/float64(p.Group.size())
			if i == 0 || v < value {
				best, value = pt.loads, v
			}
		}
		total += best
	}
	return total
}
