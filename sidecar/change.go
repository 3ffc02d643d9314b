package main

import (
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// keepMap tells the planner the map that has come into force, if it was made
// here: then it need not be read from all ranks.
func (s *steward) keepMap(ranks []lockstep.Rank) {
	if s.planner.placed || s.proposed == nil {
		return
	}
	if version, ok := lockstep.InForce(ranks); ok && version == s.proposedAs {
		s.planner.know(version, ranks[0].State.Epoch, s.proposed)
		s.base, s.baseAs = s.packed, version
		s.changedAt = time.Now()
		metricChanges.Add(1)
		lastChange.Store(int64(time.Since(processStart)))
	}
}

// adoptBase takes the map in force from what the agent was given to prepare, if an
// earlier steward has made it. Read from all ranks it would take a round of its own, and
// their lists may have another order: then no agent would know the base of a change, and
// each would be sent the whole map.
func (s *steward) adoptBase(ranks []lockstep.Rank) {
	for i := range ranks {
		st := &ranks[i].State
		if !ranks[i].Known {
			continue
		}
		if s.base == nil || s.baseAs != st.Map {
			if m := s.keptMaps().get(st.Epoch, st.Map); m != nil {
				s.adopt(m, st)
			}
		}
		return
	}
}

// adopt takes a map that the agent has kept for the one in force.
func (s *steward) adopt(m *rankpeer.Map, st *engine.State) {
	s.base, s.baseAs = m, st.Map
	experts, ok := m.Unpack()
	if ok && m.Layers == s.planner.engine.Sets && m.Ranks == len(s.planner.ranks) && !s.planner.placed {
		s.planner.know(st.Map, st.Epoch, experts)
		s.planner.placed = s.planner.known(s.tells)
	}
}

// changeFor returns the map of an order to prepare as it goes to one agent: what differs
// from the map in force, or all of it for an agent that lacks that and passes it on to
// others. Other orders have none.
func (s *steward) changeFor(id string, o *engine.Order, carries bool) *rankpeer.Change {
	if o.Kind != engine.PrepareMap || len(o.Map) == 0 {
		return nil
	}
	if s.proposedAs != o.Version {
		s.packProposal(o)
	}
	if carries && s.needFull[id] {
		return s.full
	}
	return s.moves
}

// packProposal packs a map that is to be prepared, as what differs from the map in force.
func (s *steward) packProposal(o *engine.Order) {
	s.proposed, s.proposedAs, s.needFull = o.Map, o.Version, map[string]bool{}
	places := s.planner.engine.Places
	s.packed = rankpeer.Pack(o.Map, places)
	if m := s.planner.current(); m != nil {
		s.base = rankpeer.Pack(m, places)
	}
	// Moves from no base: whoever gets them says that it needs the map.
	s.full, s.moves = &rankpeer.Change{Full: s.packed}, &rankpeer.Change{}
	if s.base == nil {
		return
	}
	moves, ok := rankpeer.Diff(s.base, s.packed)
	if !ok {
		return
	}
	s.moves = &rankpeer.Change{Base: s.base.Hash(), Moves: moves}
	shape := rankpeer.Shape{Layers: s.base.Layers, Ranks: s.base.Ranks, Places: places, Experts: s.planner.engine.Experts}
	if first := rankpeer.FirstMap(shape); first != nil && first.Hash() == s.moves.Base {
		s.moves.First = &shape
	}
}
