package lockstep

import (
	"verbenashift/core/experts/engine"
)

// Membership is the position of a rank in an expert group, for one run of its server.
type Membership struct {
	Group engine.GroupID
	Rank  int
	// StartedAt is when the server started; 0 if it does not report it.
	StartedAt int64
}

// MembershipOf returns the membership that a rank reports.
func MembershipOf(st *engine.State) Membership {
	return Membership{Group: st.GroupID(), Rank: st.Rank, StartedAt: st.Born}
}

// Same reports whether two memberships differ at most in the epoch of the group.
func (s Membership) Same(other Membership) bool {
	return s.Group.Name == other.Group.Name && s.Rank == other.Rank && s.StartedAt == other.StartedAt
}

// Announcement identifies a coordinator; it is part of each of its requests.
type Announcement struct {
	Group engine.GroupID
	// Term is the coordinator's fencing token, From the name of its instance.
	Term int64
	From string
	// Rank is the rank beside which the coordinator runs, Salt the salt passed to
	// NewCoordinator.
	Rank int
	Salt uint64
}

// Refusal says why an agent has not carried out a coordinator's request.
type Refusal string

// The refusals.
const (
	// Accepted means that there is no refusal.
	Accepted Refusal = ""
	// NoMembership says that the agent's rank has not reported yet where it belongs.
	NoMembership Refusal = "no-seat"
	// OtherGroup says that the agent's rank belongs to another group than the one that the
	// announcement is for.
	OtherGroup Refusal = "other-group"
	// OlderEpoch says that the rank's group has since been formed again.
	OlderEpoch Refusal = "older-epoch"
	// NewerCoordinator says that the agent has accepted a newer coordinator.
	NewerCoordinator Refusal = "newer-steward"
)

// Follower decides which announcements the agent beside one rank accepts. The zero value has
// no membership and accepts none.
//
// Several groups may serve side by side, and their coordinators draw terms from one counter.
// If terms were compared across groups, each new term of one group would supersede the
// coordinators of the others, and an order for the ranks of one group would reach those of
// another: ranks check the epoch, which is a small number in all groups, and not the group. So
// an announcement counts only for a rank of its group, and not after the group has been formed
// again: by then the ranks hold nothing that an earlier announcement was about.
type Follower struct {
	membership Membership
	latest     Announcement
}

// Membership returns the membership as last reported.
func (f *Follower) Membership() Membership { return f.membership }

// Latest returns the newest accepted announcement; its From is empty before any.
func (f *Follower) Latest() Announcement { return f.latest }

// SetMembership takes a membership that the rank reports, in the order in which the rank was
// queried. It reports whether this is another membership than before, or another run of the
// server or the group: then all that was known is void. A group whose epochs count from the
// start again is another group under the same name.
func (f *Follower) SetMembership(membership Membership) (reset bool) {
	if f.membership.Same(membership) && !membership.Group.Older(f.membership.Group) {
		f.membership = membership
		return false
	}
	*f = Follower{membership: membership}
	return true
}

// Accept takes an announcement, or returns why it is refused. Two coordinators can have the
// same term only if both act without the store; the name decides then.
func (f *Follower) Accept(a Announcement) Refusal {
	switch {
	case f.membership.Group.Name == "":
		return NoMembership
	case a.Group.Name != f.membership.Group.Name:
		return OtherGroup
	case a.Group.Older(f.membership.Group):
		return OlderEpoch
	case a.Term < f.latest.Term || a.Term == f.latest.Term && a.From < f.latest.From:
		return NewerCoordinator
	}
	f.latest = a
	return Accepted
}
