package main

import (
	"context"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"verbenashift/core/lockstep"
	"verbenashift/core/mirror"
	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

// holds reports whether the next order is to hold the group.
func (s *steward) holds() bool {
	for _, c := range s.pending {
		if c.Order.Kind == platform.HoldPass {
			return true
		}
	}
	return false
}

// askOwn reads the steward's own rank, which shares the passes of all others.
func (s *steward) askOwn(ctx context.Context) bool {
	// Counts told now would not be taken in.
	s.pending, s.counting = nil, false
	for id, p := range s.peers {
		if p.member.Addr == s.boot.Target {
			return s.askAll(ctx, map[string]*peer{id: p}, false)
		}
	}
	return true
}

// ordered returns the peers that have an order.
func (s *steward) ordered() map[string]*peer {
	some := make(map[string]*peer, len(s.pending))
	for id := range s.pending {
		if p := s.peers[id]; p != nil {
			some[id] = p
		}
	}
	return some
}

// meet keeps a peer for each target of the service that the store names.
func (s *steward) meet() {
	v := s.targets.View()
	if v == nil || v == s.seen {
		return
	}
	s.seen = v
	s.enrol(s.rosterOf(v))
}

// rosterOf makes the roster of a view.
func (s *steward) rosterOf(v *mirror.View) *rankpeer.Roster {
	r := &rankpeer.Roster{Gap: v.ShortestGap(s.boot.Service)}
	for _, id := range slices.Sorted(maps.Keys(v.Targets)) {
		if t := v.Targets[id]; t.Service == s.boot.Service {
			r.Members = append(r.Members, rankpeer.Member{ID: id, Addr: t.Addr})
			if t.Addr == s.boot.Target {
				r.Steward = id
			}
		}
	}
	for i := range v.Config.Services {
		if svc := &v.Config.Services[i]; svc.Name == s.boot.Service && svc.Engine != nil {
			r.Engine = *svc.Engine
		}
	}
	return r
}

// enrol keeps a peer for each member of a roster, and has it told to all agents.
func (s *steward) enrol(r *rankpeer.Roster) {
	if r == nil || s.roster != nil && reflect.DeepEqual(r, s.roster) {
		return
	}
	s.roster = r
	members := make(map[string]bool, len(r.Members))
	for _, m := range r.Members {
		members[m.ID] = true
		if s.peers[m.ID] == nil {
			s.peers[m.ID] = newPeer(m, s.boot.PortFirst, len(s.peers), s.log)
		}
	}
	if p := s.peers[r.Steward]; p != nil && p.member.Addr != s.boot.Target {
		// The steward before has fallen silent: its instance must not hold up the
		// first round, in which a hold that it has left is found.
		p.lost = true
	}
	for id, p := range s.peers {
		if !members[id] {
			p.close()
			delete(s.peers, id)
		}
	}
	if r.Engine.Sets > 0 {
		s.planner.shape(r.Engine)
	}
}

// askAll asks peers at once and gives them their orders. It reports false when
// a newer steward has been heard.
func (s *steward) askAll(ctx context.Context, peers map[string]*peer, full bool) bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, p := range peers {
		cmd, ordered := s.pending[id]
		ask := rankpeer.Ask{Term: s.term, From: s.boot.Instance, Rank: s.rankOf, Salt: s.salt, Held: s.holding, Counts: !ordered && s.countsDue(p), Placement: full}
		if ordered {
			ask.Order = &cmd.Order
			s.pack(id, &ask)
		}
		if p.told != s.roster {
			ask.Roster = s.roster
		}
		wg.Go(func() {
			tell := p.command(ctx, ask, cmd.Direct)
			mu.Lock()
			s.tells[id] = tell
			mu.Unlock()
		})
	}
	wg.Wait()
	for id := range peers {
		if newer := s.tells[id].Term; newer > s.term {
			s.log.Info("a newer steward is at work", "newer-term", newer)
			return false
		}
	}
	s.refusals()
	return true
}

// countsDue reports whether it is a peer's turn to tell its counts.
func (s *steward) countsDue(p *peer) bool {
	groups := (len(s.peers) + countsInTurn - 1) / countsInTurn
	return s.counting && (groups <= 1 || (p.number+s.turn)%groups == 0)
}

// startCounting decides whether this round asks for counts. While a change is under
// way it does so seldom: the next change is planned with what comes after, and a
// round without counts takes a third of the time in a large group.
func (s *steward) startCounting(now time.Time) {
	every := countsEvery
	if s.core.Changing() {
		every = countsInChange
	}
	if s.counting = now.Sub(s.countedAt) >= every; s.counting {
		s.countedAt = now
		s.turn++
	}
}

// pack takes the map out of an order to prepare and puts it into the ask as a
// change: what differs from the map in force, or all of it for an agent that
// lacks that.
func (s *steward) pack(id string, ask *rankpeer.Ask) {
	if ask.Order.Kind != platform.PrepareMap || len(ask.Order.Map) == 0 {
		return
	}
	o := *ask.Order
	if s.proposedAs != o.Version {
		s.proposed, s.proposedAs, s.needFull = o.Map, o.Version, map[string]bool{}
		s.packed = rankpeer.Pack(o.Map, s.planner.engine.Places)
	}
	o.Map = nil
	ask.Order, ask.Change = &o, &rankpeer.Change{Base: s.baseAs, Full: s.packed}
	if s.base == nil || s.needFull[id] {
		return
	}
	if moves, ok := rankpeer.Diff(s.base, s.packed); ok {
		ask.Change.Moves, ask.Change.Full = moves, nil
	}
}

// refusals tells the core which orders did not fit.
func (s *steward) refusals() {
	for id, cmd := range s.pending {
		o := cmd.Order
		t := s.tells[id]
		if t.NeedMap {
			s.needFull[id] = true
		}
		if t.Status == 0 {
			s.core.Unanswered(cmd)
		}
		if t.Status == http.StatusBadRequest {
			s.log.Error("order not understood", "target", id, "order", string(o.Kind), "version", o.Version)
			s.core.Malformed(o)
		}
		if t.Status == http.StatusConflict && t.Known && t.State.Seq == o.Expect && t.State.Epoch == o.Epoch {
			s.log.Warn("order refused", "target", id, "order", string(o.Kind), "version", o.Version, "step", o.Step)
			s.core.Refused(o)
		}
	}
}

// arrange puts what is known of the group's ranks in their order.
func (s *steward) arrange() []lockstep.Rank {
	size := 0
	for _, t := range s.tells {
		if t.Known && t.State.Group == s.group {
			size = max(size, t.State.Size)
		}
	}
	ranks := make([]lockstep.Rank, size)
	s.byRank = make([]string, size)
	for _, id := range slices.Sorted(maps.Keys(s.tells)) {
		t := s.tells[id]
		if t.Known && t.State.Group == s.group && t.State.Rank >= 0 && t.State.Rank < size {
			ranks[t.State.Rank] = lockstep.Rank{Known: true, State: t.State}
			s.byRank[t.State.Rank] = id
		}
	}
	return ranks
}
