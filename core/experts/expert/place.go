package expert

import (
	"cmp"
	"slices"
)

// Place computes a map from scratch: the numbers of replicas come from
// Apportion, then the replicas go, by descending share, to the least loaded
// rank with a free slot. It serves for the first map of a group and as the
// baseline of full re-placement; it ignores how many bytes must be loaded to
// reach the map. The loads may be in any unit; there must be one per expert.
func Place(g *Group, loads []float64) Map {
	replicas := Apportion(g, loads)
	total := sum(loads)
	order := make([]int, g.Experts)
	for e := range order {
		order[e] = e
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(loads[b]/float64(replicas[b]), loads[a]/float64(replicas[a]))
	})
	m := NewMap(g)
	p := placing{group: g, m: m, load: make([]float64, len(g.Ranks)), used: make([]int, len(g.Ranks)), spread: newSpread(g)}
	for _, e := range order {
		share := loads[e] / float64(replicas[e])
		if total <= 0 {
			share = 1
		}
		for range replicas[e] {
			p.put(int32(e), share)
		}
	}
	return m
}

// placing is the state of Place.
type placing struct {
	group  *Group
	m      Map
	load   []float64
	used   []int
	spread *spread
}

// put places a replica on the least loaded rank that spreads the replicas over
// failure domains, or otherwise on the least loaded rank with a free slot. When
// no rank can take it, a slot stays empty: the ranks with a free slot already
// hold the expert.
func (p *placing) put(e int32, share float64) {
	best, apart := -1, false
	for r := range p.load {
		if !p.free(r, e) {
			continue
		}
		spreads := p.spread.deficitWith(e, r, -1) <= p.spread.deficit(e)
		if best < 0 || (spreads && !apart) || (spreads == apart && p.load[r] < p.load[best]) {
			best, apart = r, spreads
		}
	}
	if best < 0 {
		return
	}
	p.m[best*p.group.Slots+p.used[best]] = e
	p.used[best]++
	p.load[best] += share
	p.spread.add(e, best)
}

// free reports whether a rank has a free slot and doesn't hold the expert.
func (p *placing) free(r int, e int32) bool {
	slots := p.group.Slots
	return p.used[r] < slots && !holds(p.m[r*slots:r*slots+p.used[r]], e)
}
