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
	// memberWait is how long a relay waits for a member: for its order, its reading and
	// the way. relayWait is how long the steward waits for the relay, which has to make
	// its connections and to pack what it was told.
	memberWait = orderTries*ownWait + readWait + 20*time.Millisecond
	relayWait  = memberWait + 100*time.Millisecond
)

// branch is the steward's way to some ranks of its group: through the agent beside one
// of them, the relay.
type branch struct {
	members []rankpeer.Member
	// list numbers the members; turns are their places in the order of takeovers.
	list  uint64
	turns []uint16
	// relay is the member whose agent carries the words; link is the way there.
	relay int
	link  *link
	// told says that the relay has the list.
	told bool
	// news is what gateways that ask the relay for digests have told it.
	news gatewayNews
	// views is the number of the list of targets that the relay has.
	views uint64
}

// id returns the target beside which the relay runs.
func (b *branch) id() string { return b.members[b.relay].ID }

// single reports whether the branch is one rank, whose agent is asked for itself.
func (b *branch) single() bool { return len(b.members) == 1 }

// numberOf numbers a list of members.
func numberOf(members []rankpeer.Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		_, _ = h.Write([]byte(m.ID + " " + m.Addr.String() + "\n"))
	}
	return h.Sum64()
}

// layoutBranches divides the members of the roster anew. An agent that was a relay stays one,
// so that few connections change when a rank comes or goes; the steward's own agent is
// the relay of its branch.
func (s *steward) layoutBranches() {
	old := make(map[rankpeer.Member]*branch, len(s.branches))
	for _, b := range s.branches {
		old[b.members[b.relay]] = b
	}
	parts := rankpeer.Split(s.roster.Members)
	s.branches = nil
	for _, members := range parts {
		b := &branch{members: members, list: numberOf(members), relay: s.chooseRelay(members, old)}
		if before := old[members[b.relay]]; before != nil {
			b.link, b.views = before.link, before.views
			b.told = before.told && before.list == b.list
			delete(old, members[b.relay])
		} else {
			b.link = s.linkOf(members[b.relay], members)
		}
		s.branches = append(s.branches, b)
	}
	for _, b := range old {
		b.link.close()
	}
	s.assignTurns()
	s.logRelays()
}

// logRelays tells operators which agents carry words, when that has changed.
func (s *steward) logRelays() {
	var relays []string
	for _, b := range s.branches {
		if !b.single() {
			relays = append(relays, b.id())
		}
	}
	if !slices.Equal(relays, s.relays) {
		s.relays = relays
		s.log.Info("relays", "targets", relays, "members", len(s.roster.Members))
	}
}

// chooseRelay picks the relay of a branch.
func (s *steward) chooseRelay(members []rankpeer.Member, old map[rankpeer.Member]*branch) int {
	chosen := 0
	for k := len(members) - 1; k >= 0; k-- {
		if members[k].Addr == s.boot.Target {
			return k
		}
		if old[members[k]] != nil {
			chosen = k
		}
	}
	return chosen
}

// linkOf returns a new way to the agent beside the relay of some members. A relay has to
// reach its members first, perhaps over connections of their own: it gets its time also
// after it has failed, or is replaced.
func (s *steward) linkOf(relay rankpeer.Member, members []rankpeer.Member) *link {
	l := newLink(s.agentOf(relay), s.log)
	l.patient = len(members) > 1
	return l
}

// assignTurns tells who takes over first if the steward falls silent: the relays, which
// have the roster, one of each branch after the other, then the other members. In a
// group without relays the ranks decide.
func (s *steward) assignTurns() {
	for i, b := range s.branches {
		b.turns = nil
		if b.single() {
			continue
		}
		for k := range b.members {
			place := (k - b.relay + len(b.members)) % len(b.members)
			b.turns = append(b.turns, uint16(place*len(s.branches)+i))
		}
	}
}

// replaceRelay makes the next member of a branch its relay, after one that did not answer.
func (s *steward) replaceRelay(b *branch) {
	if b.single() || b.members[b.relay].Addr == s.boot.Target {
		return
	}
	if p := s.peers[b.id()]; p != nil {
		p.answered(false)
	}
	b.link.close()
	b.relay = (b.relay + 1) % len(b.members)
	b.link, b.told, b.views = s.linkOf(b.members[b.relay], b.members), false, 0
	s.log.Info("relay chosen", "target", b.id(), "members", len(b.members))
	s.assignTurns()
	s.logRelays()
}

// branchAsk is what a relay is asked for the given members, of which at least one is
// asked.
func (s *steward) branchAsk(b *branch, among []int, full bool) rankpeer.Request {
	ask := rankpeer.Request{Word: s.word(), Held: s.holding, Counts: s.counting, Placement: full}
	out := &rankpeer.BranchRequest{List: b.list, Turns: b.turns}
	if !b.told {
		out.Members = b.members
	}
	for _, k := range among {
		id := b.members[k].ID
		if len(among) < len(b.members) {
			out.Among = append(out.Among, uint16(k))
		}
		if p := s.peers[id]; p != nil && p.lost {
			out.Silent = append(out.Silent, uint16(k))
		}
		cmd, ordered := s.pending[id]
		if !ordered || cmd.Direct {
			continue
		}
		change := s.changeFor(id, &cmd.Order, k == b.relay)
		if change != nil && change.Full != nil {
			if s.fullMaps--; s.fullMaps < 0 {
				continue // Its turn comes in a later round.
			}
		}
		s.addOrder(out, k, cmd.Order, change)
	}
	if b.link.roster() != s.roster && !s.straying && s.rosters > 0 {
		// Those who are only asked where they belong are no members.
		ask.Roster = s.roster
		s.rosters--
	}
	if len(b.turns) > 0 {
		ask.Turn = int(b.turns[b.relay]) + 1
	}
	ask.Branch = out
	return ask
}

// addOrder adds the order to one member to those of its branch; what is the same for
// several is sent once.
func (s *steward) addOrder(out *rankpeer.BranchRequest, member int, o engine.Order, c *rankpeer.Change) {
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

// sameOrder reports whether two orders of one round say the same; their maps are in the
// changes.
func sameOrder(a, b *engine.Order) bool {
	return a.Kind == b.Kind && a.Epoch == b.Epoch && a.Expect == b.Expect && a.Fence == b.Fence && a.Version == b.Version && a.Step == b.Step
}

// branchTell is the answer of one branch, or none.
type branchTell struct {
	tells  []rankpeer.Response
	sample *rankpeer.Sample
	// refused says that the relay has heard a newer steward, with the term.
	refused lockstep.Refusal
	term    int64
	// told says that the relay has the list of its members.
	told   bool
	failed bool
	news   gatewayNews
}

// gatewayNews is what a relay tells of the gateways that ask it: how many they are, the newest
// change of the store that they have seen, and the longest pause that callers are to see.
type gatewayNews struct {
	gateways int
	event    int64
	gap      time.Duration
}

// askBranch asks the relay, once more if it lacks the list of its members.
func (s *steward) askBranch(ctx context.Context, b *branch, ask rankpeer.Request, count int) branchTell {
	wait := relayWait
	if b.single() {
		wait = tellWait
	}
	tell, err := b.link.ask(ctx, ask, wait)
	if err == nil && tell.Branch != nil && tell.Branch.NeedMembers {
		again := *ask.Branch
		again.Members = b.members
		ask.Branch = &again
		tell, err = b.link.ask(ctx, ask, wait)
	}
	out := branchTell{refused: tell.Refused, term: tell.Term, news: gatewayNews{tell.Gateways, tell.Event, tell.Gap}}
	if err != nil {
		out.failed = true
		return out
	}
	if tell.Branch == nil {
		// It has refused to pass the ask on, or is of a version that has no relays.
		if out.failed = tell.Refused == lockstep.Accepted; out.failed {
			s.log.Error("answer of a relay not understood", "target", b.id(), "reason", "it answers for itself alone")
		}
		return out
	}
	tells, ok := tell.Branch.Unpack(ask.Word, count)
	if !ok {
		s.log.Error("answer of a relay not understood", "target", b.id(), "tells", len(tell.Branch.Tells), "asked", count)
		out.failed = true
		return out
	}
	out.tells, out.sample, out.told = tells, tell.Branch.Sample, true
	return out
}
