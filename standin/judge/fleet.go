package judge

import "slices"

// maps counts the steps that two ranks of a group, or one rank twice, made on
// different maps.
func (v *Verdict) maps(ranks []Rank) {
	groups := make(map[string][]Span)
	for _, r := range ranks {
		groups[r.Group] = append(groups[r.Group], r.Spans...)
	}
	for name, spans := range groups {
		if n := mismatches(spans); n > 0 {
			v.MapMismatchSteps += n
			v.Breaches = append(v.Breaches, Breach{"map-mismatch-steps", "group " + name})
		}
	}
}

// mismatches cuts the steps at the ends of all spans: between two cuts every
// rank stays on its map, so that one step stands for all.
func mismatches(spans []Span) int {
	var cuts []uint64
	for _, s := range spans {
		cuts = append(cuts, s.From, s.To+1)
	}
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	total := 0
	for i := 0; i+1 < len(cuts); i++ {
		if differs(spans, cuts[i]) {
			total += int(cuts[i+1] - cuts[i])
		}
	}
	return total
}

func differs(spans []Span, step uint64) bool {
	first, seen := uint64(0), false
	for _, s := range spans {
		if step < s.From || step > s.To {
			continue
		}
		if seen && s.Map != first {
			return true
		}
		first, seen = s.Map, true
	}
	return false
}

// reverts counts the times that a node's revision went back, within one
// sample or from one to the next, as after a restart.
func (v *Verdict) reverts(nodes []Node) {
	for _, n := range nodes {
		var earlier []uint64
		for _, sample := range n.Samples {
			if len(sample) == 0 {
				continue
			}
			fresh := sample[overlap(earlier, sample):]
			before := uint64(0)
			if len(earlier) > 0 {
				before = earlier[len(earlier)-1]
			}
			for _, revision := range fresh {
				if revision < before {
					v.breach(&v.Reverts, "reverts", "node %s went from revision %d to %d", n.Name, before, revision)
				}
				before = revision
			}
			earlier = sample
		}
	}
}

// overlap returns the length of the longest end of earlier that later begins
// with.
func overlap(earlier, later []uint64) int {
	for n := min(len(earlier), len(later)); n > 0; n-- {
		if slices.Equal(earlier[len(earlier)-n:], later[:n]) {
			return n
		}
	}
	return 0
}
