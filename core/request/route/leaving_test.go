package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The platform lists one target as leaving, and the agent of another reports
// that it drains. New work would be refused there, or cut off when the instance
// is removed.
func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	table.Update([]Target{{Name: "a", Model: "m"}, {Name: "b", Model: "m"}, {Name: "c", Model: "m"}})
	table.SetLeaving(0, true)
	table.Observe(1, Load{Incarnation: 1, Draining: true}, start)
	got := shares(table, &Query{Model: "m"}, start, rand.New(rand.NewPCG(1, 1)), 200)
	is.Equal(got[0], 0.0)
	is.Equal(got[1], 0.0)
}

// A target in a far region has an empty queue while the near one has a short
// one. The round trip to the other region is longer than that wait.
func TestNearTargetBeforeIdleFarOne(t *testing.T) {
	is := is.New(t)
	table := New(Options{Region: "addis"})
	table.Update([]Target{{Name: "near", Model: "m", Region: "addis"}, {Name: "far", Model: "m", Region: "lakes"}})
	table.Observe(0, Load{Incarnation: 1, Queued: 10, Rate: 1000}, start)
	table.Observe(1, Load{Incarnation: 1, Rate: 1000}, start)
	_, far := table.ExpectedWait(0, start), table.ExpectedWait(1, start)
	is.True(far >= 80*time.Millisecond)
	is.Equal(shares(table, &Query{Model: "m"}, start, rand.New(rand.NewPCG(1, 1)), 100)[1], 0.0)
}

// An agent restarts, and a load of its earlier process arrives late. It says
// nothing about the current queue.
func TestLoadOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	table.Update([]Target{{Name: "a", Model: "m"}})
	table.Observe(0, Load{Incarnation: 2, Rate: 1000}, start)
	before := table.ExpectedWait(0, start)
	table.Observe(0, Load{Incarnation: 1, Queued: 1e6, Rate: 1000}, start)
	is.Equal(table.ExpectedWait(0, start), before)
}
