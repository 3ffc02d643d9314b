package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/membership/lease"
)

// Orders reach a member late, twice and from a coordinator that has been replaced. An order
// accepted at the wrong moment puts a rank on a map that the others don't use, or stops it for
// an outcome that nobody will send.
func TestMemberRefuses(t *testing.T) {
	sw := Switch{Number: num(1, 12), Epoch: num(1, 4), Version: 2, Step: 12}
	tests := []struct {
		name   string
		change func(m *Member)
		want   Kind // 0 for no order
	}{
		{"in time", func(*Member) {}, ArmMap},
		{"step begun", func(m *Member) { m.pendingVote.sw.Step = 9 }, ResolveMap},
		{"coordinator replaced", func(m *Member) { _ = m.guard.ObserveFence(3) }, ResolveMap},
		{"abort is known", func(m *Member) { m.outcome = Outcome{Number: sw.Number, Epoch: sw.Epoch} }, ResolveMap},
		{"other switch under way", func(m *Member) { m.rank.Armed, m.rank.Committed = Switch{Number: num(1, 8)}, true }, 0},
		{"engine was in the new epoch and lost it", func(m *Member) {
			m.pendingVote, m.rank.Incarnation = nil, 2
			m.form = &Form{Number: num(2, 4), Version: 1, Step: 20, Incarnation: 1}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMember(MemberConfig{Name: "a", Fencing: lease.HonoursFencing}, 1, 0)
			m.rank, m.known, m.pendingVote = formedRank().State, true, &pendingVote{sw: sw}
			tt.change(m)
			order, _ := m.choose()
			is.Equal(order.Kind, tt.want)
		})
	}
}

// A coordinator repeats its Form when the answer was lost. The member is in the epoch and may
// have switched since: it reports at once and does not begin the epoch again.
func TestRepeatedFormIsAnswered(t *testing.T) {
	is := is.New(t)
	m := NewMember(MemberConfig{Name: "a", Fencing: lease.HonoursFencing}, 1, 0)
	m.rank, m.known = formedRank().State, true
	acts := m.Receive(0, "b", Form{Number: num(1, 4), Version: 1, Step: 1, Incarnation: 1})
	is.Equal(sends[Report](acts)["b"].Rank.Version, Version(1))
	is.True(m.form == nil)
}

// An agent restarts beside a rank that carries out any order, and an order of its earlier
// process may still be on its way. Until then a reading proves nothing, and the member sends
// no report, or the group would be formed again.
func TestMemberReportsNothingBeforeReading(t *testing.T) {
	is := is.New(t)
	m := NewMember(MemberConfig{Name: "a"}, 2, 0)
	acts := m.Receive(0, "b", Probe{Fence: 1})
	is.Equal(len(sends[Report](acts)), 0)
	m.Observed(0, acts[0].(Read).ID, formedRank().State, true)
	_, known := m.Rank()
	is.True(!known)
}

// Votes arrive twice and out of order. A member that has refused stays refused, or two members
// that count the same votes would send different outcomes.
func TestFirstVoteCounts(t *testing.T) {
	is := is.New(t)
	count := NewVoteCount(Switch{})
	count.Add("a", Refused)
	count.Add("a", Armed)
	commit, known := count.Outcome([]string{"a"})
	is.True(known && !commit)
}

// A new coordinator has a report of one empty rank and none yet of the other, whose reports
// then arrive out of order; later that one stalls for a minute. Forming the group at any of
// these points would break every request in it for nothing.
func TestCoordinatorDoesNotFormTooEarly(t *testing.T) {
	is := is.New(t)
	s := NewCoordinator(CoordinatorConfig{Members: []string{"a", "b"}, MinRanks: 1}, 5, 0)
	is.Equal(len(sends[Form](s.Receive(0, "a", Report{Sequence: 1, Health: Empty}))), 0)
	s.Receive(0, "b", Report{Sequence: 2, Health: Stalled, Rank: formedRank().State})
	s.Receive(0, "b", Report{Sequence: 1, Health: Dead})
	is.Equal(s.states["b"].report.Sequence, uint64(2))
	s.Receive(time.Second, "b", Report{Sequence: 3, Health: Stalled, Rank: formedRank().State})
	is.True(!s.lost(time.Minute, s.states["b"]))
}
