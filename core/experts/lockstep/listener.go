package lockstep

import (
	"verbenashift/core/experts/engine"
)

// Membership is the place of a rank in an expert group, in one life of its server.
type Membership struct {
	Group engine.GroupID
	Rank  int
	// StartedAt is when the server started; 0 if it does not say.
	StartedAt int64
}

// MembershipOf returns the seat that a rank tells.
func MembershipOf(st *engine.State) Membership {
	return Membership{Group: st.GroupID(), Rank: st.Rank, StartedAt: st.Born}
}

// Same reports whether two seats differ at most in the epoch of the group.
func (s Membership) Same(other Membership) bool {
	return s.Group.Name == other.Group.Name && s.Rank == other.Rank && s.StartedAt == other.StartedAt
}

// Announcement is what a steward says of itself with each ask.
type Announcement struct {
	Group engine.GroupID
	// Term is the steward's fencing number, From its instance.
	Term int64
	From string
	// Rank is that beside which the steward runs, Salt what it was made with.
	Rank int
	Salt uint64
}

// Refusal says why an agent has not done what a steward asked.
type Refusal string

// The refusals.
const (
	// Accepted is none.
	Accepted Refusal = ""
	// NoMembership says that the agent's rank has not told yet where it belongs.
	NoMembership Refusal = "no-seat"
	// OtherGroup says that the agent's rank belongs to another group than the one
	// that the word is for.
	OtherGroup Refusal = "other-group"
	// OlderEpoch says that the rank's group has been formed anew since.
	OlderEpoch Refusal = "older-epoch"
	// NewerCoordinator says that the agent has heard a newer steward.
	NewerCoordinator Refusal = "newer-steward"
)

// Follower decides whose words the agent beside one rank heeds. The zero value has
// no seat and heeds nobody.
//
// Several groups may serve side by side, whose stewards have terms of one and the
// same counter. Compared across groups, each new term of one group would put the
// stewards of the others out, and an order for the ranks of one would reach those
// of another: ranks check the epoch, which is a small number in all of them, and not
// the group. So a word counts only for a rank of its group, and not after the group
// has been formed anew: ranks hold nothing then of what an earlier word was about.
type Follower struct {
	seat  Membership
	heard Announcement
}

// Membership returns the seat as it is known.
func (l *Follower) Membership() Membership { return l.seat }

// Latest returns the newest word that was heeded; its From is empty before any.
func (l *Follower) Latest() Announcement { return l.heard }

// SetMembership takes what the rank says of its seat, in the order in which it was asked. It
// reports whether this is another seat than before, or another life of the server or
// the group: then all that was believed is void. A group whose epochs count from the
// start again is another one under the same name.
func (l *Follower) SetMembership(seat Membership) (anew bool) {
	if l.seat.Same(seat) && !seat.Group.Older(l.seat.Group) {
		l.seat = seat
		return false
	}
	*l = Follower{seat: seat}
	return true
}

// Accept takes a word, or says why it is not heeded. Two stewards may have the same term
// only where both act without the store; the name decides then.
func (l *Follower) Accept(w Announcement) Refusal {
	switch {
	case l.seat.Group.Name == "":
		return NoMembership
	case w.Group.Name != l.seat.Group.Name:
		return OtherGroup
	case w.Group.Older(l.seat.Group):
		return OlderEpoch
	case w.Term < l.heard.Term || w.Term == l.heard.Term && w.From < l.heard.From:
		return NewerCoordinator
	}
	l.heard = w
	return Accepted
}
