package steering

import (
	"slices"

	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
)

// part is what is left of a group in its epoch, after ranks have been lost. A
// map has slots for every configured rank; what stands in those of a lost rank
// is in no memory, so that plans are made for the part alone.
type part struct {
	// live are the places in the group's maps of the ranks in the epoch.
	live []int
	// shape is a group of these ranks alone.
	shape expert.Group
}

// partOf returns the part of a group that is in the epoch of a view.
func partOf(s *Shape, v group.Snapshot) part {
	p := part{shape: s.expert}
	p.shape.Ranks = nil
	for _, m := range v.Members {
		place := slices.Index(s.members, m.Name)
		if place >= 0 && !v.Epoch.IsZero() && m.Epoch == v.Epoch {
			p.live = append(p.live, place)
		}
	}
	slices.Sort(p.live)
	for _, place := range p.live {
		p.shape.Ranks = append(p.shape.Ranks, s.expert.Ranks[place])
	}
	return p
}

// fits reports whether maps are of the group's shape. They are not after the
// number of its ranks has been changed.
func (s *Shape) fits(maps rank.Placement) bool {
	for _, m := range maps {
		if len(m) != len(s.members)*s.expert.Slots {
			return false
		}
	}
	return len(maps) == s.layers
}

// project returns the slots of the part's ranks of one layer's map.
func (p part) project(m expert.Map) expert.Map {
	var own expert.Map
	for _, place := range p.live {
		own = append(own, m[place*p.shape.Slots:(place+1)*p.shape.Slots]...)
	}
	return own
}

// projectAll is project for each layer.
func (p part) projectAll(maps rank.Placement) rank.Placement {
	var own rank.Placement
	for _, m := range maps {
		own = append(own, p.project(m))
	}
	return own
}

// places returns the moves of a plan for the part as moves of the whole group.
func (p part) places(moves []expert.Move) []expert.Move {
	whole := slices.Clone(moves)
	for i := range whole {
		whole[i].Rank = p.live[whole[i].Rank]
	}
	return whole
}

// vacate returns the maps with nothing in the slots of the lost ranks, so that
// nobody counts on what stands there.
func (p part) vacate(maps rank.Placement) rank.Placement {
	var left rank.Placement
	for _, m := range maps {
		m = slices.Clone(m)
		for i := range m {
			if !slices.Contains(p.live, i/p.shape.Slots) {
				m[i] = expert.Empty
			}
		}
		left = append(left, m)
	}
	return left
}
