package main

import (
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// setMapInForce sets the map in force without reading it from the ranks.
func (p *planner) setMapInForce(version, epoch int64, m lockstep.Map) {
	for r, id := range p.ranks {
		place := &engine.Placement{Epoch: epoch, Map: version}
		for l := range m {
			place.Experts = append(place.Experts, m[l][r])
		}
		p.places[id] = place
	}
	p.placed = len(p.ranks) > 0
}

// mapBytes returns about how many bytes a packed map of the group has: two for each slot.
func (p *planner) mapBytes() int { return 2 * p.engine.Sets * len(p.ranks) * p.engine.Places }

// isValid reports whether a placement names only experts of the group. A server may report anything.
func (p *planner) isValid(place *engine.Placement) bool {
	for _, experts := range place.Experts {
		for _, e := range experts {
			if e < 0 || e >= p.engine.Experts {
				return false
			}
		}
	}
	return true
}

// placementsKnown reports whether the placements of all ranks are those of the map in force.
func (p *planner) placementsKnown(responses map[string]rankpeer.Response) bool {
	for _, id := range p.ranks {
		if p.placementInForce(id, responses[id]) == nil {
			return false
		}
	}
	return len(p.ranks) > 0
}

// placementInForce returns the placement of a rank in the map in force, or nil if it is not
// known.
func (p *planner) placementInForce(id string, t rankpeer.Response) *engine.Placement {
	place := p.places[id]
	if !t.Known || place == nil || place.Map != t.State.Map || place.Epoch != t.State.Epoch || len(place.Experts) != p.engine.Sets {
		return nil
	}
	return place
}

// placeholderMap returns a map under which the ranks that are known keep their experts, while
// one rank is missing: that one gets the experts that no other has. It returns nil if the
// placements of more ranks are not known, or if those experts do not fit.
func (p *planner) placeholderMap(responses map[string]rankpeer.Response) lockstep.Map {
	missing := -1
	m := make(lockstep.Map, p.engine.Sets)
	for l := range m {
		m[l] = make([][]int, len(p.ranks))
	}
	for r, id := range p.ranks {
		place := p.placementInForce(id, responses[id])
		switch {
		case place == nil && missing >= 0:
			return nil
		case place == nil:
			missing = r
			continue
		}
		for l := range m {
			m[l][r] = place.Experts[l]
		}
	}
	if missing < 0 {
		return nil
	}
	for l := range m {
		m[l][missing] = absent(m[l], p.engine.Experts)
		if len(m[l][missing]) > p.engine.Places {
			return nil
		}
	}
	return m
}

// absent returns the experts of a layer that no rank has.
func absent(ranks [][]int, experts int) []int {
	has := make([]bool, experts)
	for _, list := range ranks {
		for _, e := range list {
			if e >= 0 && e < experts {
				has[e] = true
			}
		}
	}
	none := []int{}
	for e, ok := range has {
		if !ok {
			none = append(none, e)
		}
	}
	return none
}

// current returns the map in force, or nil if it is not known.
func (p *planner) current() lockstep.Map {
	if !p.placed {
		return nil
	}
	m := make(lockstep.Map, p.engine.Sets)
	for l := range m {
		for _, id := range p.ranks {
			m[l] = append(m[l], p.places[id].Experts[l])
		}
	}
	return m
}

// flat returns the map in force in the form of package expert.
func (p *planner) flat() []expert.Map {
	maps := make([]expert.Map, p.engine.Sets)
	for l := range maps {
		m := expert.NewMap(&p.group)
		for r, id := range p.ranks {
			for k, e := range p.places[id].Experts[l] {
				if k < p.group.Slots {
					m[r*p.group.Slots+k] = int32(e)
				}
			}
		}
		maps[l] = m
	}
	return maps
}

// nested is the inverse of flat, without the empty slots.
func (p *planner) nested(maps []expert.Map) lockstep.Map {
	out := make(lockstep.Map, len(maps))
	for l, m := range maps {
		out[l] = make([][]int, len(p.group.Ranks))
		for r := range out[l] {
			for _, e := range m[r*p.group.Slots : (r+1)*p.group.Slots] {
				if e != expert.Empty {
					out[l][r] = append(out[l][r], int(e))
				}
			}
		}
	}
	return out
}
