package load

// Demand is the rate that one group requests from the weight store.
type Demand struct {
	// Share is the group's weight; 0 means 1.
	Share float64
	// Rate is the maximum rate that it can use, in bytes per second.
	Rate int64
}

// Split divides the store's rate among groups by weighted max-min fairness:
// what a group can't use goes to the others in proportion to their shares. The
// coordinators of the groups run on different agents, so each limits itself to
// its own part. The sum of the parts never exceeds the rate.
func Split(rate int64, demands []Demand) []int64 {
	parts := make([]int64, len(demands))
	open := make([]int, len(demands))
	for i := range open {
		open[i] = i
	}
	for remaining := rate; len(open) > 0; {
		total := 0.0
		for _, i := range open {
			total += demands[i].weight()
		}
		unit := float64(remaining) / total
		var limited []int
		for _, i := range open {
			if float64(demands[i].Rate) <= unit*demands[i].weight() {
				parts[i] = demands[i].Rate
				continue
			}
			limited = append(limited, i)
		}
		if len(limited) == len(open) {
			for _, i := range open {
				parts[i] = int64(unit * demands[i].weight())
			}
			return parts
		}
		for _, i := range open {
			remaining -= parts[i]
		}
		open = limited
	}
	return parts
}

func (d Demand) weight() float64 {
	if d.Share <= 0 {
		return 1
	}
	return d.Share
}
