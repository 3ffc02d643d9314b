package steering

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/group"
)

func TestGroupSwitchesToPlannedMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		first := f.shape.initialVersion()
		f.await(t, "a group on the first map", func(v group.Version) bool { return v == first })
		next := f.await(t, "a switch", func(v group.Version) bool { return v != first })
		p, err := f.Map(t.Context(), "a", next)
		is.NoErr(err)
		loads := slices.Repeat([]float64{1}, f.shape.expert.Experts)
		loads[0] = 4
		before := f.shape.initial()[0].Skew(&f.shape.expert, loads)
		is.True(p[0].Skew(&f.shape.expert, loads) < before)
		f.end(is)
	})
}

// The store is down and the load moves to another expert. The coordinator's lease
// expires: it must not start a switch, because another agent could by then, and
// the ranks must continue. When the store is back the group is balanced again.
func TestNoSwitchWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		first := f.shape.initialVersion()
		v := f.await(t, "a switch", func(v group.Version) bool { return v != first })
		f.set(func() { f.down = true })
		time.Sleep(4 * time.Second) // the lease expires
		f.set(func() { f.hot = 5 })
		v = f.await(t, "rest", func(group.Version) bool { return true })
		next := f.states()[0].Next
		time.Sleep(20 * time.Second)
		is.Equal(f.states()[0].Version, v)
		is.True(f.states()[0].Next > next+1000)
		f.set(func() { f.down = false })
		f.await(t, "a switch after the outage", func(now group.Version) bool { return now != v })
		f.end(is)
	})
}

// An engine dies and its group stops. The group is formed without the rank, and
// the experts that only the lost rank held are loaded at other ranks: until then
// no rank can serve them. When the engine is back, with empty memory, the group
// includes it again.
func TestGroupGoesOnWithoutLostRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		first := f.shape.initialVersion()
		f.await(t, "a switch", func(v group.Version) bool { return v != first })
		lost := f.ranks["d"]
		f.set(func() { lost.down = true })
		time.Sleep(20 * time.Second)
		s := f.states()[0]
		is.Equal(s.Members, []string{"a", "b", "c"})
		next := s.Next
		p, err := f.Map(t.Context(), "a", s.Version)
		is.NoErr(err)
		for _, layer := range p {
			for _, n := range layer[:3*f.shape.expert.Slots].Replicas(f.shape.expert.Experts) {
				is.True(n > 0)
			}
		}
		f.set(func() { lost.down, lost.rank.State = false, group.RankState{Incarnation: 2} })
		f.await(t, "the whole group", func(group.Version) bool { return len(f.states()[3].Members) == 4 })
		is.True(f.states()[3].Next > next)
		f.end(is)
	})
}

// The coordinator dies in the middle of a switch, and the store fails at the same
// moment, so that no agent can take the role over. If each rank decided for
// itself, the group would run a step on two maps; if only the dead agent knew the
// outcome, callers would wait forever. The others count the votes as soon as the
// dead agent is back, with empty memory, and reads its rank's vote.
func TestCoordinatorDiesInSwitch(t *testing.T) {
	for _, tt := range []struct {
		name string
		at   group.Kind
	}{
		{"one rank has armed", group.ArmMap},
		{"one rank has been told the outcome", group.ResolveMap},
	} {
		for _, name := range []string{"a", "b", "c", "d"} {
			t.Run(tt.name+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { coordinatorDies(t, name, tt.at) })
			})
		}
	}
}

// coordinatorDies stops the coordinator when the named rank has applied an order
// of the given kind. Until then no other rank's agent receives an outcome.
func coordinatorDies(t *testing.T, name string, at group.Kind) {
	is := is.New(t)
	f := newFleet(t)
	first := f.shape.initialVersion()
	f.await(t, "a group", func(v group.Version) bool { return v == first })
	var died string
	f.set(func() {
		f.outcomesTo = name
		f.ranks[name].onOrder = func(k group.Kind) {
			if k != at || died != "" {
				return
			}
			died, _, _ = strings.Cut(f.lease.Owner, "/")
			f.agents[died].stop()
			f.down, f.outcomesTo = true, ""
		}
	})
	time.Sleep(10 * time.Second) // the switch starts, and the coordinator dies
	f.set(func() { is.True(died != "") })
	f.startAgent(died)
	f.await(t, "one outcome on all ranks", func(group.Version) bool { return true })
	before := f.states()[0].Next
	time.Sleep(10 * time.Second)
	is.True(f.states()[0].Next > before+100) // the group continues
	f.end(is)
}
