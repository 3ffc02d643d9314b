package load

// Demand is what one group wants of the weight store.
type Demand struct {
	// Share is the group's weight; 0 means 1.
	Share float64
	// Rate is the most bytes a second it can use.
	Rate int64
}

// Split divides the store's rate among groups whose stewards run on different
// agents, so that each can keep to its part alone: what a group can't use goes
// to the others by share (max-min fairness). The parts never exceed the rate.
func Split(rate int64, demands []Demand) []int64 {
	parts := make([]int64, len(demands))
	open := make([]int, len(demands))
	for i := range open {
		open[i] = i
	}
	for left := rate; len(open) > 0; {
		total := 0.0
		for _, i := range open {
			total += demands[i].weight()
		}
		unit := float64(left) / total
		var still []int
		for _, i := range open {
			if float64(demands[i].Rate) <= unit*demands[i].weight() {
				parts[i] = demands[i].Rate
				continue
			}
			still = append(still, i)
		}
		if len(still) == len(open) {
			for _, i := range open {
				parts[i] = int64(unit * demands[i].weight())
			}
			return parts
		}
		for _, i := range open {
			left -= parts[i]
		}
		open = still
	}
	return parts
}

func (d Demand) weight() float64 {
	if d.Share <= 0 {
		return 1
	}
	return d.Share
}
