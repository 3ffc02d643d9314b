package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/engine"
)

// openRanks returns three ranks of an open group on a map, with running requests at one.
func openRanks(version int64, running int) []Rank {
	ranks := make([]Rank, 3)
	for i := range ranks {
		ranks[i] = Rank{Known: true, State: engine.State{Group: "g", Epoch: 2, Rank: i, Size: 3, Open: true, Map: version}}
	}
	ranks[1].State.Running = running
	return ranks
}

// Guards against callers who meet the first map of a group for longer than its counts need, and
// against a coordinator that hurries for as long as there are too few requests to count.
func TestFirstChangeIsUrgent(t *testing.T) {
	missing := openRanks(0, 4)
	missing[2].Known = false
	for _, c := range []struct {
		name string
		// worked is when the first request was seen, after the group was formed; 0 for never.
		worked time.Duration
		ranks  []Rank
		since  time.Duration
		want   bool
	}{
		{"just formed", 0, openRanks(0, 0), urgentWindow - 1, true},
		{"formed and idle", 0, openRanks(0, 0), urgentWindow, false},
		{"the first requests", 0, openRanks(0, 4), time.Hour, true},
		{"few requests for long", time.Minute, openRanks(0, 1), time.Minute + urgentWindow, false},
		{"changed", 0, openRanks(77, 4), 0, false},
		{"a rank is missing", 0, missing, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f FirstChange
			f.Formed(start)
			if c.worked > 0 {
				is.True(f.Urgent(openRanks(0, 1), start.Add(c.worked)))
			}
			is.Equal(f.Urgent(c.ranks, start.Add(c.since)), c.want)
			f.Formed(start.Add(c.since))
			is.True(f.Urgent(openRanks(0, 0), start.Add(c.since)))
		})
	}
}

// Guards against a map that is placed at some ranks of a group while another one keeps its own.
func TestNothingIsArmedWhileARankIsMissing(t *testing.T) {
	is := is.New(t)
	ranks := openRanks(0, 4)
	s := NewCoordinator(0, nil, 9)
	s.Next(ranks, start)
	s.Propose(ranks, Map{{{0}, {1}, {2}}})
	is.Equal(kinds(s.Next(ranks, start)), map[engine.OrderKind]int{engine.PrepareMap: 3})
	for i := range ranks {
		ranks[i].State.Prepared = s.version
	}
	ranks[2].Known = false
	for k := range 20 {
		is.Equal(len(s.Next(ranks, start.Add(time.Duration(k)*time.Second))), 0)
	}
	ranks[2].Known = true
	is.Equal(kinds(s.Next(ranks, start.Add(time.Minute))), map[engine.OrderKind]int{engine.HoldPass: 1})
}
