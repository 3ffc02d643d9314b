package main

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// relay holds what an agent needs to query the agents of a branch on a coordinator's behalf. It
// only forwards: each agent decides for itself whether it accepts a request, and the relay
// returns the responses to the same request, never earlier ones. The zero value has no branch.
type relay struct {
	mu sync.Mutex
	// list is the hash of members.
	list    uint64
	members []rankpeer.Member
	links   map[netip.AddrPort]*link
}

// setBranch returns the members of a branch, or false if the relay has another list. Links to
// agents that are no longer members are closed.
func (r *relay) setBranch(b *rankpeer.BranchRequest) ([]rankpeer.Member, bool) {
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
			go l.close() // A request under way ends first.
		}
	}
	return r.members, true
}

// linkTo returns the link to the agent at an address.
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

// forward queries the agents of a branch and returns their responses. If a relay was frozen and
// forwards an old order when it resumes, each agent that has accepted a newer coordinator since
// refuses it.
func (a *agent) forward(req rankpeer.Request) *rankpeer.BranchResponse {
	members, ok := a.relay.setBranch(req.Branch)
	if !ok {
		return &rankpeer.BranchResponse{NeedMembers: true}
	}
	selected := req.Branch.Selected(len(members))
	silent := make(map[int]bool, len(req.Branch.Silent))
	for _, k := range req.Branch.Silent {
		silent[int(k)] = true
	}
	reqs, links := make([]rankpeer.Request, len(selected)), make([]*link, len(selected))
	lacks := a.lacksRoster(members, selected)
	for i, k := range selected {
		reqs[i], links[i] = memberRequest(req, k), a.linkOfMember(members[k])
		if k == lacks {
			reqs[i].Roster = a.lastRoster()
		}
		if links[i] != nil && links[i].nameDue(time.Now()) {
			reqs[i].Relay = a.addr().String()
		}
	}
	a.substituteFullMaps(reqs, links)
	responses := make([]rankpeer.Response, len(selected))
	var wg sync.WaitGroup
	for i, k := range selected {
		wait := memberWait
		if silent[k] {
			wait = unreachableWait
		}
		wg.Go(func() { responses[i] = a.queryMember(links[i], reqs[i], wait) })
	}
	wg.Wait()
	return rankpeer.PackResponses(req.Word, responses)
}

// lacksRoster returns the first member that has not been sent the relay's roster, or -1. One is
// sent with each request: any agent may have to take over while the store is down, and with an
// old roster it would coordinate only a part of the group.
func (a *agent) lacksRoster(members []rankpeer.Member, selected []int) int {
	roster := a.lastRoster()
	if roster == nil {
		return -1
	}
	for _, k := range selected {
		if l := a.linkOfMember(members[k]); l != nil && l.roster() != roster {
			return k
		}
	}
	return -1
}

// agentOf returns the address of the agent next to a member.
func (a *agent) agentOf(m rankpeer.Member) netip.AddrPort {
	return netip.AddrPortFrom(m.Addr.Addr(), a.boot.PortFirst)
}

// memberRequest returns the part of a request that one member of a branch gets.
func memberRequest(req rankpeer.Request, member int) rankpeer.Request {
	b := req.Branch
	out := rankpeer.Request{Word: req.Word, Held: req.Held, Counts: req.Counts, Placement: req.Placement}
	out.Order, out.Change = b.OrderOf(member)
	if member < len(b.Turns) {
		out.Turn = int(b.Turns[member]) + 1
	}
	return out
}

// linkOfMember returns the link to the agent next to a member, or nil if it is this one.
func (a *agent) linkOfMember(m rankpeer.Member) *link {
	if m.Addr == a.boot.Target {
		return nil
	}
	return a.linkTo(a.agentOf(m))
}

// queryMember queries the agent at the end of a link, or this one if there is none.
func (a *agent) queryMember(l *link, req rankpeer.Request, wait time.Duration) rankpeer.Response {
	if l == nil {
		resp := a.handleLocal(req)
		resp.Answered = true
		return resp
	}
	resp, err := l.query(context.Background(), req, wait)
	if err != nil {
		return rankpeer.Response{} // The link has logged why.
	}
	if req.Relay != "" && resp.Refused == lockstep.Accepted {
		l.namedAt.Store(time.Now().UnixNano())
	}
	resp.Answered = true
	return resp
}

// shouldForward reports whether a request for a branch is forwarded: an announcement that is
// older than one accepted here is refused by all agents that have accepted that one too.
func shouldForward(refusal lockstep.Refusal) bool { return refusal != lockstep.NewerCoordinator }
