package group

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/membership/lease"
)

// settledWorld returns a world without faults that has settled on map 1.
func settledWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(seed, guardsOff{})
	if !w.heal() {
		t.Fatal("the group was not formed")
	}
	return w
}

// rounds runs until done holds, or fails the test.
func (w *world) rounds(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		w.round()
	}
	t.Fatalf("not reached: %s", what)
}

// coordinatorNode returns the node whose agent holds the lease.
func (w *world) coordinatorNode() *node {
	for _, n := range w.nodes {
		if w.coordinator(n) != nil {
			return n
		}
	}
	return nil
}

// The coordinator stops between arming the ranks and sending the outcome, and the store is
// unavailable, so that nobody can take over its role. The callers of the group would wait for
// the whole outage; the members count the votes themselves.
func TestSwitchEndsWithoutCoordinatorAndStore(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 2)
	w.want = 2
	st := w.coordinatorNode()
	w.rounds(t, "some rank armed", func() bool {
		for _, n := range w.nodes {
			if n.rank.State.Undecided() {
				return true
			}
		}
		return false
	})
	w.store.down = true
	st.role = &Role{} // its process continues without its coordinator and lease
	st.holder = lease.NewHolder(lease.Config{Role: simRole, Owner: "again"})
	epoch := st.rank.State.Epoch
	w.rounds(t, "no rank waits", func() bool {
		for _, n := range w.nodes {
			if !n.rank.State.Armed.Number.IsZero() {
				return false
			}
		}
		return true
	})
	for _, n := range w.nodes {
		is.Equal(n.rank.State.Version, st.rank.State.Version) // all the same way
		is.Equal(n.rank.State.Epoch, epoch)
	}
	is.Equal(w.oracle.mixed, "")
}

// An engine dies permanently in the middle of a switch. The others cannot step without it; the
// group is formed without it under a new epoch, and when the rank comes back in its old epoch
// it runs no step there.
func TestGroupIsFormedWithoutLostRank(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 4)
	old := w.nodes[0].rank.State.Epoch
	lost := w.nodes[len(w.nodes)-1]
	w.want = 3
	lost.down, lost.engineBack, w.healed = true, 1<<62, false
	w.lossy = 1 << 30
	w.rounds(t, "a group of the others", func() bool {
		s := w.nodes[0].rank.State
		return old.Less(s.Epoch) && len(s.Members) == len(w.nodes)-1 && s.Version == 3
	})
	is.Equal(lost.rank.State.Epoch, old)
	lost.engineBack = 0
	is.True(w.heal())
	is.Equal(len(w.nodes[0].rank.State.Members), len(w.nodes))
	is.Equal(w.oracle.mixed, "")
}
