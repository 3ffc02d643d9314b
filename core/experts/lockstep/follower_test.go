package lockstep

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/experts/engine"
)

func inGroup(name string, epoch int64) engine.GroupID {
	return engine.GroupID{Name: name, Epoch: epoch}
}

// followerInGroup returns the follower of rank 2 of group g in epoch 3, which has accepted a
// coordinator with term 20.
func followerInGroup() *Follower {
	f := &Follower{}
	f.SetMembership(Membership{Group: inGroup("g", 3), Rank: 2, StartedAt: 700})
	f.Accept(Announcement{Group: inGroup("g", 3), Term: 20, From: "b"})
	return f
}

func TestFollowerAccepts(t *testing.T) {
	for _, tt := range []struct {
		name         string
		announcement Announcement
		want         Refusal
	}{
		{"the coordinator", Announcement{Group: inGroup("g", 3), Term: 20, From: "b"}, Accepted},
		{"a newer one", Announcement{Group: inGroup("g", 3), Term: 21, From: "a"}, Accepted},
		{"one that was paused", Announcement{Group: inGroup("g", 3), Term: 19, From: "z"}, NewerCoordinator},
		{"another one with the same term, by its name", Announcement{Group: inGroup("g", 3), Term: 20, From: "a"}, NewerCoordinator},
		{"a newer one of another group", Announcement{Group: inGroup("h", 3), Term: 90, From: "z"}, OtherGroup},
		{"one that does not know that the group was formed again", Announcement{Group: inGroup("g", 2), Term: 90, From: "z"}, OlderEpoch},
		{"one that knew it before this agent", Announcement{Group: inGroup("g", 4), Term: 20, From: "b"}, Accepted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := followerInGroup()
			before := f.Latest()
			is.Equal(f.Accept(tt.announcement), tt.want)
			if tt.want != Accepted {
				is.Equal(f.Latest(), before)
			}
		})
	}
	is.New(t).Equal((&Follower{}).Accept(Announcement{Term: 1}), NoMembership)
}

// A server restarts under its ID, or its rank joins another group. The agent beside it still
// knows a coordinator with a high term, maps and counts. If it retained them, it would refuse
// the coordinator of its new group, or prepare maps that nobody else has.
func TestNewMembershipResetsFollower(t *testing.T) {
	for _, tt := range []struct {
		name       string
		membership Membership
		want       bool
	}{
		{"the same", Membership{Group: inGroup("g", 3), Rank: 2, StartedAt: 700}, false},
		{"the group formed again", Membership{Group: inGroup("g", 4), Rank: 2, StartedAt: 700}, false},
		{"another group", Membership{Group: inGroup("h", 3), Rank: 2, StartedAt: 700}, true},
		{"another rank", Membership{Group: inGroup("g", 3), Rank: 1, StartedAt: 700}, true},
		{"restarted", Membership{Group: inGroup("g", 4), Rank: 2, StartedAt: 900}, true},
		{"a group that counts its epochs from the start", Membership{Group: inGroup("g", 1), Rank: 2, StartedAt: 700}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := followerInGroup()
			is.Equal(f.SetMembership(tt.membership), tt.want)
			is.Equal(f.Membership(), tt.membership)
			is.Equal(f.Latest().Term == 0, tt.want)
		})
	}
}
