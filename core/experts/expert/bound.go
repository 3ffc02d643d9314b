package expert

// Bound holds lower bounds on the skew that the slots of a group allow for
// given loads.
type Bound struct {
	// Skew is the largest of 1 and the bounds below: no map has a lower skew.
	Skew float64 `json:"skew"`
	// Heaviest is the bound from the most loaded expert on as many ranks as it
	// can have when every other expert has its minimum number of replicas.
	Heaviest float64 `json:"heaviest"`
	// Shares is the bound from apportionment: the smallest possible largest
	// share of one replica, over all ways to assign the slots. With one slot
	// per rank it is tight; otherwise it is a relaxation that ignores how
	// replicas combine on ranks.
	Shares float64 `json:"shares"`
}

// LowerBound returns a lower bound on the skew that any map of the group can
// have under an even split. It is at least 1, because the maximum is at least
// the mean.
func LowerBound(g *Group, loads []float64) Bound {
	return lowerBound(g, loads, Apportion(g, loads))
}

// lowerBound is LowerBound with the result of Apportion for the loads.
func lowerBound(g *Group, loads []float64, replicas []int) Bound {
	total := sum(loads)
	if total <= 0 {
		return Bound{Skew: 1, Heaviest: 1, Shares: 1}
	}
	mean := total / float64(len(g.Ranks))
	most := min(len(g.Ranks), g.size()-(g.Experts-1)*g.minReplicas())
	b := Bound{}
	for e, load := range loads {
		b.Heaviest = max(b.Heaviest, load/float64(most)/mean)
		b.Shares = max(b.Shares, load/float64(replicas[e])/mean)
	}
	b.Skew = max(1, b.Heaviest, b.Shares)
	return b
}

// Apportion returns a number of replicas for each expert that minimizes the
// largest share of a replica. Each slot in turn goes to the expert with the
// largest share. This is optimal: an expert only gets a slot when its share is
// the maximum, and no smaller number of slots for it can lower the maximum. An
// expert has at most one replica per rank, so some slots of a group may remain
// unused.
func Apportion(g *Group, loads []float64) []int {
	replicas := make([]int, g.Experts)
	h := shareHeap{loads: loads, replicas: replicas, order: make([]int32, g.Experts)}
	for e := range replicas {
		replicas[e] = g.minReplicas()
		h.order[e] = int32(e)
	}
	if g.minReplicas() >= len(g.Ranks) {
		return replicas
	}
	for i := g.Experts/2 - 1; i >= 0; i-- {
		h.down(i)
	}
	for free := g.size() - g.Experts*g.minReplicas(); free > 0 && len(h.order) > 0; free-- {
		top := h.order[0]
		replicas[top]++
		if replicas[top] == len(g.Ranks) {
			last := len(h.order) - 1
			h.order[0] = h.order[last]
			h.order = h.order[:last]
		}
		h.down(0)
	}
	return replicas
}

// shareHeap is a max-heap of experts by the share of one replica.
type shareHeap struct {
	loads    []float64
	replicas []int
	order    []int32
}

func (h *shareHeap) less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	x, y := h.loads[a]/float64(h.replicas[a]), h.loads[b]/float64(h.replicas[b])
	return x > y || (x == y && a < b)
}

func (h *shareHeap) down(i int) {
	for {
		next := 2*i + 1
		if next >= len(h.order) {
			return
		}
		if next+1 < len(h.order) && h.less(next+1, next) {
			next++
		}
		if !h.less(next, i) {
			return
		}
		h.order[i], h.order[next] = h.order[next], h.order[i]
		i = next
	}
}
