package main

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// pollAllInterval is how often a coordinator whose group lacks a rank queries all targets of its
// service for their group: the entries in the store may lag. A group takes half a second and
// more to form.
const pollAllInterval = 2 * time.Second

// rostersAtOnce is how many relays are sent the roster in one round. The roster grows with the
// group; sent to all at once it would fill the coordinator's link.
const rostersAtOnce = 4

// members is what a coordinator knows of the targets that hold the ranks of its group.
type members struct {
	peers map[string]*peer
	// branches divide the peers; each has a link to its relay.
	branches []*branch
	// relays are the targets of the relays as last logged.
	relays []string
	// rosters is how many agents may still be sent the roster in this poll.
	rosters int
	// fullMaps is how many agents may still be sent the whole map in this poll.
	fullMaps int
	// roster is sent to the agents; rosterView is the view of the store that it was made
	// from, nil if it was received from an earlier coordinator.
	roster     *rankpeer.Roster
	rosterView *mirror.Snapshot
	// needs are the group's; rosterNeeds are those that the roster was made from.
	needs       needs
	rosterNeeds *groupNeeds
	// otherGroups are the targets that have reported another group.
	otherGroups map[string]engine.GroupID
	// polledAllAt is when all targets of the service were last queried for their group;
	// pollingAll says that they are in this round.
	polledAllAt time.Time
	pollingAll  bool
}

// refreshMembers keeps a peer for each target that may hold a rank of the group. Some services
// have several groups, and their servers write to the store which one is theirs; those that do
// not are queried once.
func (co *coordinator) refreshMembers(now time.Time) {
	if v := co.targets.Snapshot(); v != nil {
		co.applyView(v, now)
	}
}

// applyView sets the roster from a view of the store: with all targets of the service for one
// round every pollAllInterval while the group lacks a rank, else with those that may belong to
// the group.
func (co *coordinator) applyView(v *mirror.Snapshot, now time.Time) {
	pollAll := !co.complete && now.Sub(co.polledAllAt) >= pollAllInterval
	if v == co.rosterView && co.needs.load() == co.rosterNeeds && !pollAll && !co.pollingAll {
		return
	}
	if pollAll {
		co.polledAllAt = now
		clear(co.otherGroups)
	}
	co.rosterView, co.rosterNeeds, co.pollingAll = v, co.needs.load(), pollAll
	co.setRoster(co.buildRoster(v, pollAll))
}

// buildRoster returns the roster of a view. All includes also the targets that, by the store,
// belong to another group.
func (co *coordinator) buildRoster(v *mirror.Snapshot, all bool) *rankpeer.Roster {
	r := &rankpeer.Roster{Group: co.group}
	if n := co.needs.load(); n != nil {
		r.Engine, r.Gap = n.Engine, n.Gap
	}
	for _, id := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[id]
		if t.Service != co.boot.Service || !all && !co.mayBelong(&t) {
			continue
		}
		r.Members = append(r.Members, rankpeer.Member{ID: id, Addr: t.Addr, Zone: t.Zone, Born: t.StartedAt})
		if t.Addr == co.boot.Target {
			r.Steward = id
		}
	}
	return r
}

// mayBelong reports whether a target may hold a rank of the group: the report of its rank takes
// precedence over its entry in the store.
func (co *coordinator) mayBelong(t *deployment.Target) bool {
	if _, known := co.otherGroups[t.ID]; known {
		return false
	}
	if p := co.peers[t.ID]; p != nil && p.belongs {
		return true
	}
	return t.Group.Name == "" || t.Group.Name == co.group.Name
}

// recordGroup records the group that a peer has reported.
func (co *coordinator) recordGroup(id string, t rankpeer.Response) {
	p := co.peers[id]
	if p == nil || t.Group.Name == "" {
		return
	}
	if t.Group.Name == co.group.Name {
		p.belongs = true
		if co.group.Older(t.Group) {
			co.log.Info("group has been formed anew", "epoch", t.Group.Epoch, "epoch-before", co.group.Epoch, "told-by", id)
			co.group.Epoch = t.Group.Epoch
			co.firstChange.Formed(time.Now())
		}
		return
	}
	p.belongs = false
	if _, known := co.otherGroups[id]; !known {
		co.otherGroups[id] = t.Group
		co.log.Info("target belongs to another group", "target", id, "its-group", t.Group.Name)
	}
	delete(co.responses, id)
	// It is not polled any more; the next view leaves it out of the roster.
	p.close()
	delete(co.peers, id)
}

// setRoster keeps a peer for each member of a roster, and has the roster sent to all agents.
func (co *coordinator) setRoster(r *rankpeer.Roster) {
	if r == nil || r.Group.Name != co.group.Name || co.roster != nil && reflect.DeepEqual(r, co.roster) {
		return
	}
	co.roster = r
	wanted := make(map[string]rankpeer.Member, len(r.Members))
	for _, m := range r.Members {
		wanted[m.ID] = m
	}
	for id, p := range co.peers {
		if wanted[id] != p.member {
			// It was removed or has restarted: its state is out of date.
			p.close()
			delete(co.peers, id)
		}
	}
	for id, m := range wanted {
		if co.peers[id] == nil {
			co.peers[id] = newPeer(m, co.log)
		}
	}
	if p := co.peers[r.Steward]; p != nil && p.member.Addr != co.boot.Target {
		// The previous coordinator has fallen silent: its instance must not delay the
		// first round, which finds a hold that it may have left.
		p.unreachable = true
	}
	co.layoutBranches()
	if r.Engine.Sets > 0 {
		co.planner.setEngine(r.Engine)
	}
}

// stillMember reports whether the coordinator's own rank still belongs to the group: an agent
// whose rank has joined another one, or has restarted, must not coordinate this one.
func (co *coordinator) stillMember() bool {
	membership := co.membership()
	return membership.Same(lockstep.Membership{Group: co.group, Rank: co.rankOf, StartedAt: co.born})
}
