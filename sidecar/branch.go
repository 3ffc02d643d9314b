package main

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

var (
	// memberWait is how long a relay waits for a member: for its order, its read and the round
	// trip. relayWait is how long the coordinator waits for the relay, which has to connect to
	// its members and to pack their responses.
	memberWait = orderTries*localWait + readWait + 20*time.Millisecond
	relayWait  = memberWait + 100*time.Millisecond
)

// branch is a part of the group's ranks that the coordinator reaches through the agent next to
// one of them, the relay.
type branch struct {
	members []rankpeer.Member
	// list is the hash of the members; turns are their positions in the order of takeovers.
	list  uint64
	turns []uint16
	// relay is the index of the member whose agent forwards requests; link is the connection to
	// it.
	relay int
	link  *link
	// listKnown says that the relay has the list.
	listKnown bool
	// report is what gateways that request digests from the relay have reported to it.
	report gatewayReport
	// digestList is the hash of the list of targets that the relay has.
	digestList uint64
	// feedList is the number of the list of feeds that the relay has.
	feedList uint64
}

// id returns the target next to which the relay runs.
func (b *branch) id() string { return b.members[b.relay].ID }

// single reports whether the branch is one rank, whose agent is queried without a relay.
func (b *branch) single() bool { return len(b.members) == 1 }

// listHash returns the hash of a list of members.
func listHash(members []rankpeer.Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		_, _ = h.Write([]byte(m.ID + " " + m.Addr.String() + "\n"))
	}
	return h.Sum64()
}

// layoutBranches divides the members of the roster into branches. An agent that was a relay
// stays one, so that few connections change when a rank joins or leaves; the coordinator's own
// agent is the relay of its branch.
func (co *coordinator) layoutBranches() {
	old := make(map[rankpeer.Member]*branch, len(co.branches))
	for _, b := range co.branches {
		old[b.members[b.relay]] = b
	}
	parts := rankpeer.Split(co.roster.Members)
	co.branches = nil
	for _, members := range parts {
		b := &branch{members: members, list: listHash(members), relay: co.chooseRelay(members, old)}
		if before := old[members[b.relay]]; before != nil {
			b.link, b.digestList, b.feedList = before.link, before.digestList, before.feedList
			b.listKnown = before.listKnown && before.list == b.list
			delete(old, members[b.relay])
		} else {
			b.link = co.linkOf(members[b.relay], members)
		}
		co.branches = append(co.branches, b)
	}
	for _, b := range old {
		b.link.close()
	}
	co.assignTurns()
	co.logRelays()
}

// logRelays logs which agents are relays, when that has changed.
func (co *coordinator) logRelays() {
	var relays []string
	for _, b := range co.branches {
		if !b.single() {
			relays = append(relays, b.id())
		}
	}
	if !slices.Equal(relays, co.relays) {
		co.relays = relays
		co.log.Info("relays", "targets", relays, "members", len(co.roster.Members))
	}
}

// chooseRelay picks the relay of a branch.
func (co *coordinator) chooseRelay(members []rankpeer.Member, old map[rankpeer.Member]*branch) int {
	chosen := 0
	for k := len(members) - 1; k >= 0; k-- {
		if members[k].Addr == co.boot.Target {
			return k
		}
		if old[members[k]] != nil {
			chosen = k
		}
	}
	return chosen
}

// linkOf returns a new link to the agent next to the relay of some members. A relay has to
// connect to its members first: its timeout is not shortened after it has failed, or is
// replaced.
func (co *coordinator) linkOf(relay rankpeer.Member, members []rankpeer.Member) *link {
	l := newLink(co.agentOf(relay), co.log)
	l.patient = len(members) > 1
	return l
}

// assignTurns sets the order in which members take over if the coordinator falls silent: the
// relays, which have the roster, one of each branch after the other, then the other members. In
// a group without relays the ranks decide.
func (co *coordinator) assignTurns() {
	for i, b := range co.branches {
		b.turns = nil
		if b.single() {
			continue
		}
		for k := range b.members {
			place := (k - b.relay + len(b.members)) % len(b.members)
			b.turns = append(b.turns, uint16(place*len(co.branches)+i))
		}
	}
}

// replaceRelay makes the next member of a branch its relay, after one that did not answer.
func (co *coordinator) replaceRelay(b *branch) {
	if b.single() || b.members[b.relay].Addr == co.boot.Target {
		return
	}
	if p := co.peers[b.id()]; p != nil {
		p.answered(false)
	}
	b.link.close()
	b.relay = (b.relay + 1) % len(b.members)
	b.link, b.listKnown, b.digestList, b.feedList = co.linkOf(b.members[b.relay], b.members), false, 0, 0
	b.report.feeds, b.report.feedList = nil, 0
	co.log.Info("relay chosen", "target", b.id(), "members", len(b.members))
	co.assignTurns()
	co.logRelays()
}

// branchRequest returns the request to a relay for the given members, of which there is at least
// one.
func (co *coordinator) branchRequest(b *branch, selected []int, full bool) rankpeer.Request {
	req := rankpeer.Request{Word: co.announcement(), Held: co.holding, Counts: co.counting, Placement: full}
	out := &rankpeer.BranchRequest{List: b.list, Turns: b.turns}
	if !b.listKnown {
		out.Members = b.members
	}
	for _, k := range selected {
		id := b.members[k].ID
		if len(selected) < len(b.members) {
			out.Among = append(out.Among, uint16(k))
		}
		if p := co.peers[id]; p != nil && p.unreachable {
			out.Silent = append(out.Silent, uint16(k))
		}
		cmd, hasOrder := co.pending[id]
		if !hasOrder || cmd.Direct {
			continue
		}
		change := co.changeFor(id, &cmd.Order, k == b.relay)
		if change != nil && change.Full != nil {
			if co.fullMaps--; co.fullMaps < 0 {
				continue // Its turn comes in a later round.
			}
		}
		co.addOrder(out, k, cmd.Order, change)
	}
	if b.link.roster() != co.roster && !co.pollingAll && co.rosters > 0 {
		// Targets that are only queried for their group are not members.
		req.Roster = co.roster
		co.rosters--
	}
	if len(b.turns) > 0 {
		req.Turn = int(b.turns[b.relay]) + 1
	}
	req.Branch = out
	return req
}

// addOrder adds the order to one member to those of its branch; an order that is the same for
// several is sent once.
func (co *coordinator) addOrder(out *rankpeer.BranchRequest, member int, o engine.Order, c *rankpeer.Change) {
	if c != nil {
		o.Map = nil
	}
	for i := range out.Orders {
		b := &out.Orders[i]
		if sameOrder(&b.Order, &o) && b.Change == c {
			b.Members = append(b.Members, uint16(member))
			return
		}
	}
	out.Orders = append(out.Orders, rankpeer.BranchOrder{Order: o, Change: c, Members: []uint16{uint16(member)}})
}

// sameOrder reports whether two orders of one round are the same; their maps are in the changes.
func sameOrder(a, b *engine.Order) bool {
	return a.Kind == b.Kind && a.Epoch == b.Epoch && a.Expect == b.Expect && a.Fence == b.Fence && a.Version == b.Version && a.Step == b.Step
}

// branchResult is the result of querying one branch.
type branchResult struct {
	responses []rankpeer.Response
	sample    *rankpeer.Sample
	// refused says why the relay has refused the request, with its highest term.
	refused lockstep.Refusal
	term    int64
	// listKnown says that the relay has the list of its members.
	listKnown bool
	failed    bool
	report    gatewayReport
}

// gatewayReport is what a relay reports of the gateways that poll it: how many there are, the
// newest change of the store that they have seen, and the longest gap between events that
// callers are to see.
type gatewayReport struct {
	gateways int
	event    int64
	gap      time.Duration
	// classes are the sums of their requests, or nil.
	classes *rankpeer.ClassSums
	// feeds are the candidates for feeds among them, and feedList the number of that list.
	feeds    []rankpeer.Feed
	feedList uint64
}

// reportOf returns the report of a relay whose last one is given.
func reportOf(resp *rankpeer.Response, last *gatewayReport) gatewayReport {
	r := gatewayReport{resp.Gateways, resp.Event, resp.Gap, resp.Classes, resp.Feeds, resp.FeedList}
	if resp.FeedList == last.feedList {
		r.feeds = last.feeds
	}
	return r
}

// queryBranch queries the relay, again if it lacks the list of its members.
func (co *coordinator) queryBranch(ctx context.Context, b *branch, req rankpeer.Request, count int) branchResult {
	wait := relayWait
	if b.single() {
		wait = responseWait
	}
	req.FeedList = b.report.feedList
	resp, err := b.link.query(ctx, req, wait)
	if err == nil && resp.Branch != nil && resp.Branch.NeedMembers {
		again := *req.Branch
		again.Members = b.members
		req.Branch = &again
		resp, err = b.link.query(ctx, req, wait)
	}
	out := branchResult{refused: resp.Refused, term: resp.Term, report: reportOf(&resp, &b.report)}
	if err != nil {
		out.failed = true
		return out
	}
	if resp.Branch == nil {
		// It has refused to forward the request, or runs a version without relays.
		if out.failed = resp.Refused == lockstep.Accepted; out.failed {
			co.log.Error("answer of a relay not understood", "target", b.id(), "reason", "no response for its branch")
		}
		return out
	}
	responses, ok := resp.Branch.Unpack(req.Word, count)
	if !ok {
		co.log.Error("answer of a relay not understood", "target", b.id(), "tells", len(resp.Branch.Tells), "asked", count)
		out.failed = true
		return out
	}
	out.responses, out.sample, out.listKnown = responses, resp.Branch.Sample, true
	return out
}
