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

// holdPending reports whether the next order is to hold the group.
func (co *coordinator) holdPending() bool {
	for _, c := range co.pending {
		if c.Order.Kind == engine.HoldPass {
			return true
		}
	}
	return false
}

// pollOwnRank reads the coordinator's own rank, which runs the same passes as all others.
func (co *coordinator) pollOwnRank(ctx context.Context) bool {
	// Counts read now would not be used.
	co.pending, co.counting = nil, false
	for id, p := range co.peers {
		if p.member.Addr == co.boot.Target {
			return co.pollRanks(ctx, func(other string) bool { return other == id }, false)
		}
	}
	return true
}

// allRanks selects all ranks.
func allRanks(string) bool { return true }

// hasOrder selects the ranks that have an order.
func (co *coordinator) hasOrder(id string) bool {
	_, ok := co.pending[id]
	return ok
}

// pollRanks queries the wanted ranks, all branches at once, and sends them their orders. It
// reports false when a newer coordinator is found.
func (co *coordinator) pollRanks(ctx context.Context, wanted func(id string) bool, full bool) bool {
	co.rosters = rostersAtOnce
	co.fullMaps = fullMapsAtOnce(&co.boot, co.planner.mapBytes())
	co.sendDirectOrders()
	answers := make([]branchResult, len(co.branches))
	polled := make([][]int, len(co.branches))
	var wg sync.WaitGroup
	for i, b := range co.branches {
		polled[i] = b.selected(wanted)
		if len(polled[i]) == 0 {
			continue
		}
		req := co.branchRequest(b, polled[i], full)
		wg.Go(func() { answers[i] = co.queryBranch(ctx, b, req, len(polled[i])) })
	}
	wg.Wait()
	for i, b := range co.branches {
		if len(polled[i]) > 0 && !co.handleBranchResult(b, polled[i], &answers[i]) {
			return false
		}
	}
	co.pollDirect(ctx, wanted, full)
	co.recordGroups(wanted)
	co.reportRefusals()
	return true
}

// selected returns the wanted members of a branch.
func (b *branch) selected(wanted func(id string) bool) []int {
	var out []int
	for k := range b.members {
		if wanted(b.members[k].ID) {
			out = append(out, k)
		}
	}
	return out
}

// sendDirectOrders sends the orders that go directly to the servers. The ranks are read through
// their sidecars all the same, because only there the state is fresh.
func (co *coordinator) sendDirectOrders() {
	co.directStatus = map[string]int{}
	for id, cmd := range co.pending {
		if p := co.peers[id]; p != nil && cmd.Direct {
			co.directStatus[id], _ = p.orderDirect(rankpeer.Request{Order: &cmd.Order})
		}
	}
}

// handleBranchResult records what a relay has reported of its branch. It reports false when a
// newer coordinator is found.
func (co *coordinator) handleBranchResult(b *branch, polled []int, t *branchResult) bool {
	if t.refused == lockstep.NewerCoordinator && t.term > co.term {
		co.log.Info("a newer steward is at work", "target", b.id(), "newer-term", t.term)
		return false
	}
	b.listKnown, b.report = t.listKnown, t.report
	co.needs.updateGap(t.report.gap)
	if t.failed {
		co.replaceRelay(b)
	}
	if t.sample != nil {
		co.samples = append(co.samples, t.sample)
	}
	for i, k := range polled {
		resp := rankpeer.Response{}
		if t.responses != nil {
			resp = t.responses[i]
		}
		id := b.members[k].ID
		if resp.Refused == lockstep.NewerCoordinator && resp.Term > co.term {
			co.log.Info("a newer steward is at work", "target", id, "newer-term", resp.Term)
			return false
		}
		if status, direct := co.directStatus[id]; direct {
			resp.Status = status
		}
		// An agent that refuses is reachable: its rank must not get orders past it.
		if p := co.peers[id]; p != nil && (t.responses != nil || b.single() && t.failed) {
			p.answered(resp.Answered)
		}
		co.responses[id] = resp
	}
	return true
}

// pollDirect queries ranks directly whose sidecars do not answer, a few in a round; for the
// others it uses the state of their last direct read.
func (co *coordinator) pollDirect(ctx context.Context, wanted func(id string) bool, full bool) {
	now := time.Now()
	var ids []string
	for id, p := range co.peers {
		if !p.unreachable || !wanted(id) || co.responses[id].Answered {
			continue
		}
		if len(ids) == maxDirectPolls || !co.hasOrder(id) && !p.directPollDue(now) {
			co.responses[id] = p.last
			continue
		}
		ids = append(ids, id)
	}
	responses := make([]rankpeer.Response, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		p, req := co.peers[id], co.directRequest(id, full)
		wg.Go(func() { responses[i] = p.queryRank(ctx, req) })
	}
	wg.Wait()
	for i, id := range ids {
		co.responses[id] = responses[i]
	}
}

// directRequest returns the request to a rank without its sidecar, with its order if that is not
// one that goes directly in any case.
func (co *coordinator) directRequest(id string, full bool) rankpeer.Request {
	req := rankpeer.Request{Placement: full}
	cmd, hasOrder := co.pending[id]
	if !hasOrder || cmd.Direct {
		return req
	}
	o := cmd.Order
	if req.Change = co.changeFor(id, &o, true); req.Change != nil {
		o.Map = nil
	}
	req.Order = &o
	return req
}

// recordGroups records the groups that the ranks have reported.
func (co *coordinator) recordGroups(wanted func(id string) bool) {
	for id := range co.peers {
		if wanted(id) {
			co.recordGroup(id, co.responses[id])
		}
	}
}

// announcement returns what the coordinator announces with each request.
func (co *coordinator) announcement() lockstep.Announcement {
	return lockstep.Announcement{Group: co.group, Term: co.term, From: co.boot.Instance, Rank: co.rankOf, Salt: co.salt}
}

// startCounting decides whether this round requests counts. While a change is under way it
// seldom does: the next change is planned with later counts, and a round without counts takes a
// third of the time in a large group. Before an urgent first change most rounds do.
func (co *coordinator) startCounting(now time.Time) {
	every := countsInterval
	switch {
	case co.core.Changing():
		every = countsIntervalInChange
	case co.firstCounts:
		every = firstCountsInterval
	}
	if co.counting = now.Sub(co.countedAt) >= every; co.counting {
		co.countedAt = now
	}
}

// reportRefusals reports to the core which orders were refused or not answered.
func (co *coordinator) reportRefusals() {
	for id, cmd := range co.pending {
		o := cmd.Order
		t := co.responses[id]
		if t.NeedMap {
			co.needsFullMap[id] = true
		}
		if t.Status == 0 {
			co.core.Unanswered(cmd)
		}
		if t.Status == http.StatusBadRequest {
			co.log.Error("order not understood", "target", id, "order", string(o.Kind), "version", o.Version)
			co.core.Malformed(o)
		}
		if t.Status == http.StatusConflict && t.Known && t.State.Seq == o.Expect && t.State.Epoch == o.Epoch {
			co.log.Warn("order refused", "target", id, "order", string(o.Kind), "version", o.Version, "step", o.Step)
			co.core.Refused(o)
		}
	}
}

// ranksInOrder returns what is known of the group's ranks, by rank.
func (co *coordinator) ranksInOrder() []lockstep.Rank {
	size := 0
	for _, t := range co.responses {
		if t.Known && t.State.Group == co.group.Name {
			size = max(size, t.State.Size)
		}
	}
	ranks := make([]lockstep.Rank, size)
	co.byRank = make([]string, size)
	for _, id := range slices.Sorted(maps.Keys(co.responses)) {
		t := co.responses[id]
		if t.Known && t.State.Group == co.group.Name && t.State.Rank >= 0 && t.State.Rank < size {
			ranks[t.State.Rank] = lockstep.Rank{Known: true, State: t.State}
			co.byRank[t.State.Rank] = id
		}
	}
	return ranks
}
