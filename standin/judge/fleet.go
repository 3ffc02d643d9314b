package judge

import "slices"

// countMapMismatches counts the steps that two ranks of a group, or one rank
// twice, made on different expert maps.
func (v *Verdict) countMapMismatches(ranks []Rank) {
	groups := make(map[string][]Span)
	for _, r := range ranks {
		groups[r.Group] = append(groups[r.Group], r.Spans...)
	}
	for name, spans := range groups {
		if n := mismatchedSteps(spans); n > 0 {
			v.MapMismatchSteps += n
			v.Breaches = append(v.Breaches, Breach{"map-mismatch-steps", "group " + name})
		}
	}
}

// mismatchedSteps splits the steps at the boundaries of all spans. Between two
// boundaries no rank changes its map, so checking one step covers all of them.
func mismatchedSteps(spans []Span) int {
	var boundaries []uint64
	for _, s := range spans {
		boundaries = append(boundaries, s.From, s.To+1)
	}
	slices.Sort(boundaries)
	boundaries = slices.Compact(boundaries)
	total := 0
	for i := 0; i+1 < len(boundaries); i++ {
		if mapsDiffer(spans, boundaries[i]) {
			total += int(boundaries[i+1] - boundaries[i])
		}
	}
	return total
}

func mapsDiffer(spans []Span, step uint64) bool {
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

// countReverts counts the times that a node went back to an older revision,
// within one sample or between two, such as after a restart.
func (v *Verdict) countReverts(nodes []Node) {
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

// overlap returns the length of the longest suffix of earlier that is a prefix
// of later.
func overlap(earlier, later []uint64) int {
	for n := min(len(earlier), len(later)); n > 0; n-- {
		if slices.Equal(earlier[len(earlier)-n:], later[:n]) {
			return n
		}
	}
	return 0
}
