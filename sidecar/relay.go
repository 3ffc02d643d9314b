package main

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// relay is what an agent keeps to ask the agents of a branch on a steward's behalf. It
// carries only: what it passes on is judged by each agent for itself, and it answers
// with what was told in the same ask, never with what it was told before. The zero
// value has no branch.
type relay struct {
	mu sync.Mutex
	// list numbers members.
	list    uint64
	members []rankpeer.Member
	links   map[netip.AddrPort]*link
}

// take returns the members of a branch, or false if the relay has another list. Links to
// agents that are no longer members are closed.
func (r *relay) take(b *rankpeer.BranchRequest) ([]rankpeer.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Members == nil {
		return r.members, r.list == b.List
	}
	r.list, r.members = b.List, b.Members
	wanted := make(map[netip.Addr]bool, len(b.Members))
	for _, m := range b.Members {
		wanted[m.Addr.Addr()] = true
	}
	for addr, l := range r.links {
		if !wanted[addr.Addr()] {
			delete(r.links, addr)
			go l.close() // An ask under way ends first.
		}
	}
	return r.members, true
}

// linkTo returns the way to the agent at an address.
func (a *agent) linkTo(addr netip.AddrPort) *link {
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	l := a.relay.links[addr]
	if l == nil {
		if a.relay.links == nil {
			a.relay.links = map[netip.AddrPort]*link{}
		}
		l = newLink(addr, a.log)
		a.relay.links[addr] = l
	}
	return l
}

// forward asks the agents of a branch and returns what they tell. An order for a
// frozen relay that it passes on when it wakes is refused by each agent that has heard
// a newer steward since.
func (a *agent) forward(ask rankpeer.Request) *rankpeer.BranchResponse {
	members, ok := a.relay.take(ask.Branch)
	if !ok {
		return &rankpeer.BranchResponse{NeedMembers: true}
	}
	among := ask.Branch.Selected(len(members))
	silent := make(map[int]bool, len(ask.Branch.Silent))
	for _, k := range ask.Branch.Silent {
		silent[int(k)] = true
	}
	asks, links := make([]rankpeer.Request, len(among)), make([]*link, len(among))
	lacks := a.lacksRoster(members, among)
	for i, k := range among {
		asks[i], links[i] = memberAsk(ask, k), a.linkOfMember(members[k])
		if k == lacks {
			asks[i].Roster = a.lastRoster()
		}
	}
	a.fill(asks, links)
	tells := make([]rankpeer.Response, len(among))
	var wg sync.WaitGroup
	for i, k := range among {
		wait := memberWait
		if silent[k] {
			wait = lostWait
		}
		wg.Go(func() { tells[i] = a.askMember(links[i], asks[i], wait) })
	}
	wg.Wait()
	return rankpeer.PackResponses(ask.Word, tells)
}

// lacksRoster returns the first member that has not been told the relay's roster, or -1.
// One is told in each ask: any agent may have to take over while the store is away, and
// with an old roster it would lead a part of the group.
func (a *agent) lacksRoster(members []rankpeer.Member, among []int) int {
	roster := a.lastRoster()
	if roster == nil {
		return -1
	}
	for _, k := range among {
		if l := a.linkOfMember(members[k]); l != nil && l.roster() != roster {
			return k
		}
	}
	return -1
}

// agentOf returns where the agent beside a member listens.
func (a *agent) agentOf(m rankpeer.Member) netip.AddrPort {
	return netip.AddrPortFrom(m.Addr.Addr(), a.boot.PortFirst)
}

// memberAsk is the part of an ask that one member of a branch gets.
func memberAsk(ask rankpeer.Request, member int) rankpeer.Request {
	b := ask.Branch
	out := rankpeer.Request{Word: ask.Word, Held: ask.Held, Counts: ask.Counts, Placement: ask.Placement}
	out.Order, out.Change = b.OrderOf(member)
	if member < len(b.Turns) {
		out.Turn = int(b.Turns[member]) + 1
	}
	return out
}

// linkOfMember returns the way to the agent beside a member, or nil if it is this one.
func (a *agent) linkOfMember(m rankpeer.Member) *link {
	if m.Addr == a.boot.Target {
		return nil
	}
	return a.linkTo(a.agentOf(m))
}

// askMember asks the agent at the end of a link, or this one.
func (a *agent) askMember(l *link, ask rankpeer.Request, wait time.Duration) rankpeer.Response {
	if l == nil {
		tell := a.judge(ask)
		tell.Answered = true
		return tell
	}
	tell, err := l.ask(context.Background(), ask, wait)
	if err != nil {
		return rankpeer.Response{} // The link has logged why.
	}
	tell.Answered = true
	return tell
}

// forwards reports whether an ask for a branch is passed on: a word that is older than
// one that was heard here is refused by all agents that have heard that one too.
func forwards(refusal lockstep.Refusal) bool { return refusal != lockstep.NewerCoordinator }
