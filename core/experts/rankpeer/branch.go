package rankpeer

import (
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
)

// A large group has more ranks than its steward's link can carry words to. So the
// steward speaks to a few agents only, the relays, each of which asks the agents of one
// branch and answers for all of them at once. A relay carries: each agent judges the
// steward's word for itself, and what is told of a rank was read in this ask. The
// counts of a branch are summed on the way.

// BranchRequest is the part of an ask that a relay passes on to the agents of its branch.
// Word, Held, Counts and Placement of the ask go to each of them.
type BranchRequest struct {
	// List numbers Members; Members is nil if the relay has been told that list.
	List    uint64
	Members []Member
	// Among are the members that are asked, by their places in the list; nil means
	// all.
	Among []uint16
	// Silent are members whose agents did not answer the last time: they are not
	// waited for as long as the others.
	Silent []uint16
	// Turns is the place of each member in the order in which agents take over from
	// a silent steward.
	Turns []uint16
	// Orders are the orders to members; a member has at most one.
	Orders []BranchOrder
}

// BranchOrder is one order to some members of a branch. Change is the map of an order
// to prepare.
type BranchOrder struct {
	Order   engine.Order
	Change  *Change
	Members []uint16
}

// BranchResponse is what a relay answers for its branch.
type BranchResponse struct {
	// NeedMembers says that the relay lacks the list of its members, and has asked
	// nobody.
	NeedMembers bool
	// Tells are those of the members that were asked, in the order of Among. What all
	// share with the ask is left out: the group, the term, and the states, which are
	// in States for those that are known.
	Tells  []Response
	States States
	// Sample is the sum of the members' samples.
	Sample *Sample
}

// OrderOf returns the order of a member and its change, or nil.
func (b *BranchRequest) OrderOf(member int) (*engine.Order, *Change) {
	for i := range b.Orders {
		for _, m := range b.Orders[i].Members {
			if int(m) == member {
				return &b.Orders[i].Order, b.Orders[i].Change
			}
		}
	}
	return nil, nil
}

// Selected returns the members that are asked, out of n.
func (b *BranchRequest) Selected(n int) []int {
	if b.Among == nil {
		all := make([]int, n)
		for i := range all {
			all[i] = i
		}
		return all
	}
	some := make([]int, 0, len(b.Among))
	for _, m := range b.Among {
		if int(m) < n {
			some = append(some, int(m))
		}
	}
	return some
}

// PackResponses makes the answer of a relay from those of its members.
func PackResponses(word lockstep.Announcement, tells []Response) *BranchResponse {
	out := &BranchResponse{Tells: make([]Response, len(tells))}
	var states []engine.State
	var samples []*Sample
	for i, t := range tells {
		if t.Known {
			states = append(states, t.State)
		}
		if t.Sample != nil {
			samples = append(samples, t.Sample)
		}
		t.State, t.Sample = engine.State{}, nil
		if t.Group == word.Group {
			t.Group = engine.GroupID{}
		}
		if t.Term == word.Term {
			t.Term = 0
		}
		t.Answered = t.Answered || t.Known
		out.Tells[i] = t
	}
	out.States, out.Sample = PackStates(states), SumSamples(samples)
	return out
}

// Unpack returns the answers of count members, or false if the answer does not fit the
// ask. The sum of the samples stays with the branch.
func (b *BranchResponse) Unpack(word lockstep.Announcement, count int) ([]Response, bool) {
	known := 0
	for i := range b.Tells {
		if b.Tells[i].Known {
			known++
		}
	}
	states, ok := b.States.Unpack(word.Group.Name, known)
	if !ok || len(b.Tells) != count {
		return nil, false
	}
	out := make([]Response, 0, count)
	for _, t := range b.Tells {
		if t.Answered && t.Group.Name == "" && t.Refused != lockstep.NoMembership {
			t.Group = word.Group
		}
		if t.Answered && t.Term == 0 {
			t.Term = word.Term
		}
		if t.Known {
			t.State, states = states[0], states[1:]
		}
		out = append(out, t)
	}
	return out, true
}
