package steering

import (
	"slices"

	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
)

// subgroup holds the ranks of a group that are in its current epoch. A map has
// slots for every configured rank, but those of a lost rank are in no memory, so
// plans are made for the subgroup only.
type subgroup struct {
	// live are the indexes in the group's maps of the ranks in the epoch.
	live []int
	// shape is a group of these ranks only.
	shape expert.Group
}

// subgroupOf returns the ranks of a group that are in the epoch of a snapshot.
func subgroupOf(s *Shape, v group.Snapshot) subgroup {
	p := subgroup{shape: s.expert}
	p.shape.Ranks = nil
	for _, m := range v.Members {
		index := slices.Index(s.members, m.Name)
		if index >= 0 && !v.Epoch.IsZero() && m.Epoch == v.Epoch {
			p.live = append(p.live, index)
		}
	}
	slices.Sort(p.live)
	for _, index := range p.live {
		p.shape.Ranks = append(p.shape.Ranks, s.expert.Ranks[index])
	}
	return p
}

// fits reports whether maps have the group's numbers of layers, ranks and slots.
// They do not after the number of ranks has been changed.
func (s *Shape) fits(maps rank.Placement) bool {
	for _, m := range maps {
		if len(m) != len(s.members)*s.expert.Slots {
			return false
		}
	}
	return len(maps) == s.layers
}

// project returns the slots of the subgroup's ranks in one layer's map.
func (p subgroup) project(m expert.Map) expert.Map {
	var selected expert.Map
	for _, index := range p.live {
		selected = append(selected, m[index*p.shape.Slots:(index+1)*p.shape.Slots]...)
	}
	return selected
}

// projectMaps is project for each layer.
func (p subgroup) projectMaps(maps rank.Placement) rank.Placement {
	var selected rank.Placement
	for _, m := range maps {
		selected = append(selected, p.project(m))
	}
	return selected
}

// groupMoves returns the moves of a plan for the subgroup as moves of the
// complete group.
func (p subgroup) groupMoves(moves []expert.Move) []expert.Move {
	mapped := slices.Clone(moves)
	for i := range mapped {
		mapped[i].Rank = p.live[mapped[i].Rank]
	}
	return mapped
}

// clearLostSlots returns the maps with the slots of the lost ranks empty, so that
// their replicas are not counted.
func (p subgroup) clearLostSlots(maps rank.Placement) rank.Placement {
	var cleared rank.Placement
	for _, m := range maps {
		m = slices.Clone(m)
		for i := range m {
			if !slices.Contains(p.live, i/p.shape.Slots) {
				m[i] = expert.Empty
			}
		}
		cleared = append(cleared, m)
	}
	return cleared
}
