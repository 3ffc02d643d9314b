package main

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"verbenashift/core/lockstep"
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

// askAll asks peers at once and gives them their orders. It reports false when
// a newer steward has been heard.
func (s *steward) askAll(ctx context.Context, peers map[string]*peer, full bool) bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, p := range peers {
		ask, cmd := s.askOf(id, p, full)
		wg.Go(func() {
			tell := p.command(ctx, ask, cmd.Direct)
			mu.Lock()
			s.tells[id] = tell
			mu.Unlock()
		})
	}
	wg.Wait()
	for id := range peers {
		t := s.tells[id]
		if t.Refused == lockstep.NewerSteward && t.Term > s.term {
			s.log.Info("a newer steward is at work", "target", id, "newer-term", t.Term)
			return false
		}
		s.locate(id, t)
	}
	s.refusals()
	return true
}

// askOf returns what one peer is asked, with the order that it gets.
func (s *steward) askOf(id string, p *peer, full bool) (rankpeer.Ask, lockstep.Command) {
	cmd, ordered := s.pending[id]
	ask := rankpeer.Ask{Word: s.word(), Held: s.holding, Counts: !ordered && s.countsDue(p), Placement: full}
	if ordered {
		ask.Order = &cmd.Order
		s.pack(id, &ask)
	}
	if p.told != s.roster && !s.straying {
		// Those who are only asked where they belong are no members.
		ask.Roster = s.roster
	}
	return ask, cmd
}

// word is what the steward says of itself.
func (s *steward) word() lockstep.Word {
	return lockstep.Word{Group: s.group, Term: s.term, From: s.boot.Instance, Rank: s.rankOf, Salt: s.salt}
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
		if t.Known && t.State.Group == s.group.Name {
			size = max(size, t.State.Size)
		}
	}
	ranks := make([]lockstep.Rank, size)
	s.byRank = make([]string, size)
	for _, id := range slices.Sorted(maps.Keys(s.tells)) {
		t := s.tells[id]
		if t.Known && t.State.Group == s.group.Name && t.State.Rank >= 0 && t.State.Rank < size {
			ranks[t.State.Rank] = lockstep.Rank{Known: true, State: t.State}
			s.byRank[t.State.Rank] = id
		}
	}
	return ranks
}
