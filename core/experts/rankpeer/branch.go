package rankpeer

import (
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
)

// The link of a coordinator is too narrow to talk to each rank of a large group. The
// coordinator therefore talks to a few agents only, the relays, each of which queries the
// agents of one branch and responds for all of them at once. A relay only forwards: each
// agent checks the coordinator's announcement itself, and the reported state of a rank was
// read in response to this request. The relay sums the counts of its branch.

// BranchRequest is the part of a request that a relay forwards to the agents of its
// branch. Word, Held, Counts and Placement of the request go to each of them.
type BranchRequest struct {
	// List is the number of the list in Members. Members is nil if the relay already has
	// that list.
	List    uint64
	Members []Member
	// Among are the indices in the list of the members to query; nil means all.
	Among []uint16
	// Silent are the members whose agents did not answer the last time; the relay waits
	// for them for a shorter time.
	Silent []uint16
	// Turns is each member's position in the order in which agents take over from an
	// unreachable coordinator.
	Turns []uint16
	// Orders are the orders to members; each member has at most one.
	Orders []BranchOrder
}

// BranchOrder is an order to some members of a branch. Change is the map of an order
// to prepare.
type BranchOrder struct {
	Order   engine.Order
	Change  *Change
	Members []uint16
}

// BranchResponse is the response of a relay for its branch.
type BranchResponse struct {
	// NeedMembers reports that the relay does not have the member list and has queried
	// nobody.
	NeedMembers bool
	// Tells are the responses of the queried members, in the order of Among. Values that
	// equal those of the request are left out: the group and the term. The states of the
	// members whose state is known are in States.
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

// Selected returns the indices of the queried members, out of n.
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

// PackResponses returns the response of a relay from those of its members.
func PackResponses(announced lockstep.Announcement, responses []Response) *BranchResponse {
	out := &BranchResponse{Tells: make([]Response, len(responses))}
	var states []engine.State
	var samples []*Sample
	for i, t := range responses {
		if t.Known {
			states = append(states, t.State)
		}
		if t.Sample != nil {
			samples = append(samples, t.Sample)
		}
		t.State, t.Sample = engine.State{}, nil
		if t.Group == announced.Group {
			t.Group = engine.GroupID{}
		}
		if t.Term == announced.Term {
			t.Term = 0
		}
		t.Answered = t.Answered || t.Known
		out.Tells[i] = t
	}
	out.States, out.Sample = PackStates(states), SumSamples(samples)
	return out
}

// Unpack returns the responses of count members, or false if the response does not match
// the request. The sum of the samples remains in the branch's response.
func (b *BranchResponse) Unpack(announced lockstep.Announcement, count int) ([]Response, bool) {
	known := 0
	for i := range b.Tells {
		if b.Tells[i].Known {
			known++
		}
	}
	states, ok := b.States.Unpack(announced.Group.Name, known)
	if !ok || len(b.Tells) != count {
		return nil, false
	}
	out := make([]Response, 0, count)
	for _, t := range b.Tells {
		if t.Answered && t.Group.Name == "" && t.Refused != lockstep.NoMembership {
			t.Group = announced.Group
		}
		if t.Answered && t.Term == 0 {
			t.Term = announced.Term
		}
		if t.Known {
			t.State, states = states[0], states[1:]
		}
		out = append(out, t)
	}
	return out, true
}
