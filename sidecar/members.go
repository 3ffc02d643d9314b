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

// strayEvery is how often a steward whose group lacks a rank asks all targets of its
// service where they belong: the store's word on that may lag. A group takes half a
// second and more to form.
const strayEvery = 2 * time.Second

// rostersAtOnce is how many relays are told the roster in one round. It grows with the
// group; told to all at once it would fill the steward's link.
const rostersAtOnce = 4

// members is what a steward knows of which targets hold the ranks of its group.
type members struct {
	peers map[string]*peer
	// branches are the ways to the peers.
	branches []*branch
	// relays are the targets of the relays as they were logged.
	relays []string
	// rosters is how many agents may still be told the roster in this round.
	rosters int
	// fullMaps is how many agents may still be sent the whole map in this asking.
	fullMaps int
	// roster is what the agents are told of the group; seen is the view that it
	// was made from, nil for one that was told by an earlier steward.
	roster *rankpeer.Roster
	seen   *mirror.Snapshot
	// needs are the group's; seenNeeds are those that the roster was made from.
	needs     needs
	seenNeeds *groupNeeds
	// elsewhere are targets that have told that they belong to another group.
	elsewhere map[string]engine.GroupID
	// strayAt is when all targets of the service were asked last; straying says that
	// they are in this round.
	strayAt  time.Time
	straying bool
}

// meet keeps a peer for each target that may hold a rank of the group. Some services
// have several groups, and their servers tell the store which one is theirs; those
// that don't are asked once.
func (s *steward) meet(now time.Time) {
	if v := s.targets.Snapshot(); v != nil {
		s.follow(v, now)
	}
}

// follow enrols the targets of a view: all of the service, now and then, while the group
// lacks a rank, and for one round.
func (s *steward) follow(v *mirror.Snapshot, now time.Time) {
	stray := !s.complete && now.Sub(s.strayAt) >= strayEvery
	if v == s.seen && s.needs.load() == s.seenNeeds && !stray && !s.straying {
		return
	}
	if stray {
		s.strayAt = now
		clear(s.elsewhere)
	}
	s.seen, s.seenNeeds, s.straying = v, s.needs.load(), stray
	s.enrol(s.rosterOf(v, stray))
}

// rosterOf makes the roster of a view. All takes in also the targets that, by the
// store, belong to another group.
func (s *steward) rosterOf(v *mirror.Snapshot, all bool) *rankpeer.Roster {
	r := &rankpeer.Roster{Group: s.group}
	if n := s.needs.load(); n != nil {
		r.Engine, r.Gap = n.Engine, n.Gap
	}
	for _, id := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[id]
		if t.Service != s.boot.Service || !all && !s.mayBelong(&t) {
			continue
		}
		r.Members = append(r.Members, rankpeer.Member{ID: id, Addr: t.Addr, Zone: t.Zone, Born: t.StartedAt})
		if t.Addr == s.boot.Target {
			r.Steward = id
		}
	}
	return r
}

// mayBelong reports whether a target may hold a rank of the group: what its rank has
// told goes before what stands in the store.
func (s *steward) mayBelong(t *deployment.Target) bool {
	if _, told := s.elsewhere[t.ID]; told {
		return false
	}
	if p := s.peers[t.ID]; p != nil && p.belongs {
		return true
	}
	return t.Group.Name == "" || t.Group.Name == s.group.Name
}

// locate takes what a peer has told of where it belongs.
func (s *steward) locate(id string, t rankpeer.Response) {
	p := s.peers[id]
	if p == nil || t.Group.Name == "" {
		return
	}
	if t.Group.Name == s.group.Name {
		p.belongs = true
		if s.group.Older(t.Group) {
			s.log.Info("group has been formed anew", "epoch", t.Group.Epoch, "epoch-before", s.group.Epoch, "told-by", id)
			s.group.Epoch = t.Group.Epoch
		}
		return
	}
	p.belongs = false
	if _, known := s.elsewhere[id]; !known {
		s.elsewhere[id] = t.Group
		s.log.Info("target belongs to another group", "target", id, "its-group", t.Group.Name)
	}
	delete(s.tells, id)
	// It is asked no more; the next view makes the roster without it.
	p.close()
	delete(s.peers, id)
}

// enrol keeps a peer for each member of a roster, and has it told to all agents.
func (s *steward) enrol(r *rankpeer.Roster) {
	if r == nil || r.Group.Name != s.group.Name || s.roster != nil && reflect.DeepEqual(r, s.roster) {
		return
	}
	s.roster = r
	wanted := make(map[string]rankpeer.Member, len(r.Members))
	for _, m := range r.Members {
		wanted[m.ID] = m
	}
	for id, p := range s.peers {
		if wanted[id] != p.member {
			// It is gone, or has started again: what was known of it is void.
			p.close()
			delete(s.peers, id)
		}
	}
	for id, m := range wanted {
		if s.peers[id] == nil {
			s.peers[id] = newPeer(m, s.log)
		}
	}
	if p := s.peers[r.Steward]; p != nil && p.member.Addr != s.boot.Target {
		// The steward before has fallen silent: its instance must not hold up the
		// first round, in which a hold that it has left is found.
		p.lost = true
	}
	s.layoutBranches()
	if r.Engine.Sets > 0 {
		s.planner.shape(r.Engine)
	}
}

// seated reports whether the steward's own rank still belongs to the group: an agent
// whose rank has joined another one, or has started anew, has no say in this one.
func (s *steward) seated() bool {
	seat := s.seat()
	return seat.Same(lockstep.Membership{Group: s.group, Rank: s.rankOf, StartedAt: s.born})
}
