package expert

// point is what a number of loaded replicas makes of a layer's skew.
type point struct {
	skew  float64
	loads int
}

// points returns what the steps of a search lead to, and a map made anew when
// it loads anything.
func (s *search) points(start, renewed point) []point {
	points := []point{start}
	for _, st := range s.steps {
		if st.loads >= start.loads {
			points = append(points, point{skew: st.skew, loads: st.loads})
		}
	}
	if renewed.loads > 0 {
		points = append(points, renewed)
	}
	return points
}

// The search for a price: doublings from the first one on, then halvings of
// the last doubling.
const (
	firstPrice = 0.001
	doublings  = 24
	halvings   = 5
)

// fitting returns the lowest cost weight, from the policy's on, at which the
// layers together load no more than what is left of the bounds. One price for
// all layers spends the bytes where they save the most skew. Cutting off each
// layer's plan where the bounds end was tried: it spent them on the finish of
// some layers while others kept their stragglers.
func (p *Planner) fitting(proposals []proposal, left int) float64 {
	low := p.Policy.Cost
	if p.wanted(proposals, low) <= left {
		return low
	}
	high := max(low, firstPrice)
	for i := 0; i < doublings && p.wanted(proposals, high) > left; i++ {
		low, high = high, 2*high
	}
	for range halvings {
		if middle := (low + high) / 2; p.wanted(proposals, middle) > left {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// wanted returns how many replicas the layers would load at a price.
func (p *Planner) wanted(proposals []proposal, price float64) int {
	total := 0
	for _, pr := range proposals {
		if pr.loads == 0 || len(pr.points) == 0 {
			continue
		}
		best, value := 0, 0.0
		for i, pt := range pr.points {
			v := p.Policy.Skew*pt.skew + price*float64(pt.loads)/float64(p.Group.size())
			if i == 0 || v < value {
				best, value = pt.loads, v
			}
		}
		total += best
	}
	return total
}
