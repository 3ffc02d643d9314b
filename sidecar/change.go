package main

import (
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// noteMapInForce passes the map that has come into force to the planner, if it was made here:
// then it need not be read from all ranks.
func (co *coordinator) noteMapInForce(ranks []lockstep.Rank) {
	if co.planner.placed || co.proposed == nil {
		return
	}
	if version, ok := lockstep.InForce(ranks); ok && version == co.proposedVersion {
		co.planner.setMapInForce(version, ranks[0].State.Epoch, co.proposed)
		co.base, co.baseVersion = co.packed, version
		co.changedAt = time.Now()
		if !co.proposedAt.IsZero() {
			// A group without work changes its map with its next pass, whenever that is.
			co.planner.changeTime.Observe(co.changedAt.Sub(co.proposedAt), co.proposedCopies)
			co.proposedAt = time.Time{}
		}
		metricChanges.Add(1)
		lastChange.Store(int64(time.Since(processStart)))
	}
}

// adoptBase takes the map in force from those that the agent was given to prepare, if an earlier
// coordinator has made it. Reading it from all ranks would take a round of its own, and their
// lists may have another order: then no agent would have the base of a change, and each would be
// sent the whole map.
func (co *coordinator) adoptBase(ranks []lockstep.Rank) {
	for i := range ranks {
		st := &ranks[i].State
		if !ranks[i].Known {
			continue
		}
		if co.base == nil || co.baseVersion != st.Map {
			if m := co.storedMaps().get(st.Epoch, st.Map); m != nil {
				co.adopt(m, st)
			}
		}
		return
	}
}

// adopt takes a map that the agent has stored as the one in force.
func (co *coordinator) adopt(m *rankpeer.Map, st *engine.State) {
	co.base, co.baseVersion = m, st.Map
	experts, ok := m.Unpack()
	if ok && m.Layers == co.planner.engine.Sets && m.Ranks == len(co.planner.ranks) && !co.planner.placed {
		co.planner.setMapInForce(st.Map, st.Epoch, experts)
		co.planner.placed = co.planner.placementsKnown(co.responses)
	}
}

// changeFor returns the map of an order to prepare as it is sent to one agent: what differs from
// the map in force, or all of it for an agent that lacks that one and forwards it to others.
// Other orders have none.
func (co *coordinator) changeFor(id string, o *engine.Order, carries bool) *rankpeer.Change {
	if o.Kind != engine.PrepareMap || len(o.Map) == 0 {
		return nil
	}
	if co.proposedVersion != o.Version {
		co.packProposal(o)
	}
	if carries && co.needsFullMap[id] {
		return co.full
	}
	return co.moves
}

// packProposal packs a map that is to be prepared, as what differs from the map in force.
func (co *coordinator) packProposal(o *engine.Order) {
	co.proposed, co.proposedVersion, co.needsFullMap = o.Map, o.Version, map[string]bool{}
	places := co.planner.engine.Places
	co.packed = rankpeer.Pack(o.Map, places)
	if m := co.planner.current(); m != nil {
		co.base = rankpeer.Pack(m, places)
	}
	// An agent that gets moves without a base responds that it needs the map.
	co.full, co.moves = &rankpeer.Change{Full: co.packed}, &rankpeer.Change{}
	if co.base == nil {
		return
	}
	moves, ok := rankpeer.Diff(co.base, co.packed)
	if !ok {
		return
	}
	co.moves = &rankpeer.Change{Base: co.base.Hash(), Moves: moves}
	shape := rankpeer.Shape{Layers: co.base.Layers, Ranks: co.base.Ranks, Places: places, Experts: co.planner.engine.Experts}
	if first := rankpeer.FirstMap(shape); first != nil && first.Hash() == co.moves.Base {
		co.moves.First = &shape
	}
}
