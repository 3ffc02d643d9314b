package main

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// holds reports whether the next order is to hold the group.
func (s *steward) holds() bool {
	for _, c := range s.pending {
		if c.Order.Kind == engine.HoldPass {
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
			return s.askAll(ctx, func(asked string) bool { return asked == id }, false)
		}
	}
	return true
}

// everybody asks all ranks.
func everybody(string) bool { return true }

// ordered asks the ranks that have an order.
func (s *steward) ordered(id string) bool {
	_, ok := s.pending[id]
	return ok
}

// askAll asks the ranks that are wanted, branch by branch and all branches at once, and
// gives them their orders. It reports false when a newer steward has been heard.
func (s *steward) askAll(ctx context.Context, wanted func(id string) bool, full bool) bool {
	s.rosters = rostersAtOnce
	s.fullMaps = fullMapsAtOnce(&s.boot, s.planner.mapBytes())
	s.giveDirect()
	answers := make([]branchTell, len(s.branches))
	asked := make([][]int, len(s.branches))
	var wg sync.WaitGroup
	for i, b := range s.branches {
		asked[i] = b.among(wanted)
		if len(asked[i]) == 0 {
			continue
		}
		ask := s.branchAsk(b, asked[i], full)
		wg.Go(func() { answers[i] = s.askBranch(ctx, b, ask, len(asked[i])) })
	}
	wg.Wait()
	for i, b := range s.branches {
		if len(asked[i]) > 0 && !s.hearBranch(b, asked[i], &answers[i]) {
			return false
		}
	}
	s.askStraight(ctx, wanted, full)
	s.locateAll(wanted)
	s.refusals()
	return true
}

// among returns the members of a branch that are wanted.
func (b *branch) among(wanted func(id string) bool) []int {
	var out []int
	for k := range b.members {
		if wanted(b.members[k].ID) {
			out = append(out, k)
		}
	}
	return out
}

// giveDirect gives the orders that the steward gives to the servers themselves. The
// ranks are read through their sidecars all the same, because only there the reading
// is fresh.
func (s *steward) giveDirect() {
	s.given = map[string]int{}
	for id, cmd := range s.pending {
		if p := s.peers[id]; p != nil && cmd.Direct {
			s.given[id], _ = p.orderDirect(rankpeer.Request{Order: &cmd.Order})
		}
	}
}

// hearBranch takes in what a relay has told of its branch. It reports false when a
// newer steward has been heard.
func (s *steward) hearBranch(b *branch, asked []int, t *branchTell) bool {
	if t.refused == lockstep.NewerCoordinator && t.term > s.term {
		s.log.Info("a newer steward is at work", "target", b.id(), "newer-term", t.term)
		return false
	}
	b.told, b.news = t.told, t.news
	s.needs.hear(t.news.gap)
	if t.failed {
		s.replaceRelay(b)
	}
	if t.sample != nil {
		s.samples = append(s.samples, t.sample)
	}
	for i, k := range asked {
		tell := rankpeer.Response{}
		if t.tells != nil {
			tell = t.tells[i]
		}
		id := b.members[k].ID
		if tell.Refused == lockstep.NewerCoordinator && tell.Term > s.term {
			s.log.Info("a newer steward is at work", "target", id, "newer-term", tell.Term)
			return false
		}
		if status, given := s.given[id]; given {
			tell.Status = status
		}
		// An agent that refuses has answered: its rank is not to be ordered past it.
		if p := s.peers[id]; p != nil && (t.tells != nil || b.single() && t.failed) {
			p.answered(tell.Answered)
		}
		s.tells[id] = tell
	}
	return true
}

// askStraight asks ranks themselves whose sidecars do not answer, a few in a round; of
// the others it takes what they told when they were last read.
func (s *steward) askStraight(ctx context.Context, wanted func(id string) bool, full bool) {
	now := time.Now()
	var ids []string
	for id, p := range s.peers {
		if !p.lost || !wanted(id) || s.tells[id].Answered {
			continue
		}
		if len(ids) == straightAtOnce || !s.ordered(id) && !p.straightDue(now) {
			s.tells[id] = p.last
			continue
		}
		ids = append(ids, id)
	}
	tells := make([]rankpeer.Response, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		p, ask := s.peers[id], s.straightAsk(id, full)
		wg.Go(func() { tells[i] = p.askRank(ctx, ask) })
	}
	wg.Wait()
	for i, id := range ids {
		s.tells[id] = tells[i]
	}
}

// straightAsk is what a rank is asked without its sidecar, with its order if that does not
// go straight in any case.
func (s *steward) straightAsk(id string, full bool) rankpeer.Request {
	ask := rankpeer.Request{Placement: full}
	cmd, ordered := s.pending[id]
	if !ordered || cmd.Direct {
		return ask
	}
	o := cmd.Order
	if ask.Change = s.changeFor(id, &o, true); ask.Change != nil {
		o.Map = nil
	}
	ask.Order = &o
	return ask
}

// locateAll takes what the ranks have told of where they belong.
func (s *steward) locateAll(wanted func(id string) bool) {
	for id := range s.peers {
		if wanted(id) {
			s.locate(id, s.tells[id])
		}
	}
}

// word is what the steward says of itself.
func (s *steward) word() lockstep.Announcement {
	return lockstep.Announcement{Group: s.group, Term: s.term, From: s.boot.Instance, Rank: s.rankOf, Salt: s.salt}
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
