package expert

// Bound is what the slots of a group allow at best for given loads.
type Bound struct {
	// Skew is the largest of the bounds below: no map has a lower one.
	Skew float64 `json:"skew"`
	// Heaviest is the bound by the heaviest expert on as many ranks as it
	// may have when every other expert keeps its least number of replicas.
	Heaviest float64 `json:"heaviest"`
	// Shares is the bound by apportionment: the smallest possible largest
	// share of one replica, over all ways to give out the slots. With one
	// slot per rank it is reached, otherwise it is a relaxation that lets
	// replicas be combined freely.
	Shares float64 `json:"shares"`
}

// LowerBound returns a lower bound on the skew that any map of the group can
// have under an even split. The mean gives the bound 1.
func LowerBound(g *Group, loads []float64) Bound {
	return lowerBound(g, loads, Apportion(g, loads))
}

// lowerBound takes the result of Apportion for the loads.
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

// Apportion gives every slot of the group to an expert so that the largest
// share of a replica is as small as possible. Each next slot goes to the
// expert with the largest share, which is optimal for this aim: an expert is
// only given a slot when its share is the maximum, and no smaller number of
// slots for it can bring the maximum down. An expert has at most one replica
// on a rank, so a group may keep slots that no expert can use.
func Apportion(g *Group, loads []float64) []int {
	replicas := make([]int, g.Experts)
	h := shares{loads: loads, replicas: replicas, order: make([]int32, g.Experts)}
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

// shares is a heap of experts, the largest share of a replica on top.
type shares struct {
	loads    []float64
	replicas []int
	order    []int32
}

func (h *shares) less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	x, y := h.loads[a]/float64(h.replicas[a]), h.loads[b]/float64(h.replicas[b])
	return x > y || (x == y && a < b)
}

func (h *shares) down(i int) {
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
