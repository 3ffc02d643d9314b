package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

func fleet(n int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{
			Name: fmt.Sprintf("target-%03d", i), Model: "caption", Region: "addis",
			Zone: []string{"bole", "merkato", "kazanchis"}[i%3],
		}
	}
	return out
}

func newTable(n int, opt Options) (*Table, *rand.Rand) {
	opt.Region = "addis"
	t := New(opt)
	t.Update(fleet(n))
	return t, rand.New(rand.NewPCG(1, 2))
}

// shares returns the part of n picks that each target gets.
func shares(t *Table, q *Query, now time.Time, rng *rand.Rand, n int) []float64 {
	out := make([]float64, t.Len())
	for range n {
		if i, ok := t.Pick(q, now, rng); ok {
			out[i]++
		}
	}
	for i := range out {
		out[i] /= float64(n)
	}
	return out
}

func TestPickNarrowsByQuery(t *testing.T) {
	targets := []Target{
		{Name: "a", Model: "caption", Version: "1", Adapters: []string{"shoes"}},
		{Name: "b", Model: "caption", Version: "2", Role: RoleDecode},
		{Name: "c", Model: "caption", Version: "2", Role: RolePrefill},
		{Name: "d", Service: "job-desk"},
		{Name: "e", Model: "caption", Version: "3", Drained: true},
	}
	tests := map[string]struct {
		query Query
		want  string
	}{
		"service":         {Query{Service: "job-desk"}, "d"},
		"version":         {Query{Model: "caption", Version: "1"}, "a"},
		"adapter":         {Query{Model: "caption", Adapter: "shoes"}, "a"},
		"role":            {Query{Model: "caption", Version: "2", Role: RolePrefill}, "c"},
		"whole answer":    {Query{Model: "caption", Version: "2"}, "b"},
		"drained":         {Query{Model: "caption", Version: "3"}, ""},
		"unknown model":   {Query{Model: "obituary"}, ""},
		"unknown adapter": {Query{Model: "caption", Version: "2", Adapter: "shoes"}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := New(Options{})
			table.Update(targets)
			rng := rand.New(rand.NewPCG(1, 1))
			for range 20 {
				i, ok := table.Pick(&tt.query, start, rng)
				is.Equal(ok, tt.want != "")
				if ok {
					is.Equal(table.Target(i).Name, tt.want)
				}
			}
		})
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	table, rng := newTable(670, Options{})
	q := &Query{Model: "caption", Cost: 300}
	allocs := testing.AllocsPerRun(1000, func() {
		q.Prefix = rng.Uint64()
		i, _ := table.Pick(q, start, rng)
		table.Start(i, q.Cost, start)
		table.Observe(i, Load{Queued: 5, Rate: 100}, start)
		table.End(i, q.Cost, start)
	})
	is.New(t).Equal(allocs, 0.0)
}

// All entries receive the report that one target is idle, seconds late, and all
// send it their requests until the next report: callers on that target wait
// while others are idle. The cause is that an old load is taken for the current
// one.
func TestOldLoadGivesWayToMean(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(4, Options{Choices: 4})
	for i := range 4 {
		table.Observe(i, Load{Queued: 1000, Rate: 1000}, start)
	}
	table.Observe(0, Load{Queued: 0, Rate: 1000}, start)
	q := &Query{Model: "caption", Cost: 100}
	is.Equal(shares(table, q, start, rng, 100)[0], 1.0) // fresh: the idle one
	later := start.Add(10 * time.Second)
	table.Start(0, 20, later)
	is.Equal(shares(table, q, later, rng, 100)[0], 0.0) // old: own work counts more
}

// A lagging report reaches the entry after it sent a burst to the target. The
// load was measured before the burst and is idle, and the entry would send the
// next burst there as well.
func TestReportKeepsWorkSentSince(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(2, Options{Choices: 2, LoadDecay: time.Hour})
	for i := range 2 {
		table.Observe(i, Load{Queued: 500, Rate: 1000}, start)
	}
	now := start.Add(3 * time.Second)
	table.Start(0, 5000, now)
	table.Report(0, Load{Rate: 1000}, start.Add(time.Second))
	q := &Query{Model: "caption", Cost: 100}
	is.Equal(shares(table, q, now, rng, 100)[0], 0.0)
	table.End(0, 5000, now)
	is.Equal(shares(table, q, now, rng, 100)[0], 1.0)
}

// One workspace sends the same style notes before every prompt. Affinity selects
// one target for all of them: its queue grows while the other targets are idle.
func TestAffinityYieldsToBound(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(8, Options{})
	for i := range 8 {
		table.Observe(i, Load{Running: 10, Rate: 1000}, start)
	}
	q := &Query{Model: "caption", Prefix: 42, Cost: 100, CacheSavings: 80}
	work := make([]float64, 8)
	for range 800 {
		i, _ := table.Pick(q, start, rng)
		table.Start(i, q.Cost, start)
		work[i]++
	}
	worst := 0.0
	for _, w := range work {
		worst = max(worst, w/100)
	}
	is.True(worst <= 1.25+0.05) // a load is bounded but for one request
	fresh, _ := newTable(8, Options{})
	first, _ := fresh.Pick(q, start, rng)
	is.Equal(shares(fresh, q, start, rng, 100)[first], 1.0) // without load affinity holds
}

// Other entries fill the target that a prefix selects, or its group changes its
// expert map. This entry would still send requests there, for a cached prefix
// that saves less than the wait.
func TestAffinityYieldsToOthersWork(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	targets := fleet(8)
	for i := range targets {
		targets[i].Region, targets[i].Group = "", fmt.Sprint("group-", i)
	}
	table.Update(targets)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 8 {
		table.Observe(i, Load{Running: 10, Rate: 1000}, start)
	}
	q := &Query{Model: "caption", Prefix: 42, Cost: 100, CacheSavings: 80}
	table.Start(0, 1, start) // the mean cost is known
	home, _ := table.Pick(q, start, rng)
	is.Equal(shares(table, q, start, rng, 100)[home], 1.0)
	table.PenaliseGroup(targets[home].Group, time.Second, start.Add(time.Second))
	is.Equal(shares(table, q, start, rng, 100)[home], 0.0)
	later := start.Add(time.Second)
	for i := range 8 {
		table.Observe(i, Load{Running: 1000, Rate: 1000}, later)
	}
	table.Observe(home, Load{Running: 1800, Rate: 1000}, later)
	is.Equal(shares(table, &Query{Model: "caption", Prefix: 42, Cost: 1, CacheSavings: 1e6}, later, rng, 100)[home], 0.0)
}

// Twenty entries receive at the same time the report that a target is idle, and
// all send it the popular prefix before the next report: each report is correct,
// and still the target gets half as much work again as the others.
func TestAffinityBoundsOwnWork(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(8, Options{})
	q := &Query{Model: "caption", Prefix: 42, Cost: 100, CacheSavings: 80}
	count := make([]int, 8)
	for range 800 {
		i, _ := table.Pick(q, start, rng)
		table.Start(i, q.Cost, start)
		table.Observe(i, Load{Rate: 1000}, start)
		count[i]++
	}
	is.True(slices.Max(count) <= 130)
}

// A workspace's prompts must not be routed to the target where an equal prompt of
// another workspace is cached: a fast first token would show that the other had
// sent it.
func TestPrefixIsSalted(t *testing.T) {
	is := is.New(t)
	prompt := string(make([]byte, 2*prefixBytes))
	is.True(Prefix("erie", prompt) != Prefix("huron", prompt))
	is.Equal(Prefix("", prompt), Prefix("", prompt+"more"))
	is.Equal(Prefix("erie", "short"), uint64(0))
}

// An agent reports in the last frame of one stream that it drains. The last frame
// of another stream, sent earlier, arrives after it without that report: requests
// would still be sent there and refused.
func TestDrainOutlastsLateFrames(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(2, Options{})
	q := &Query{Model: "caption"}
	table.Observe(0, Load{Incarnation: 1, Draining: true}, start)
	table.Observe(0, Load{Incarnation: 1}, start.Add(time.Millisecond))
	is.Equal(shares(table, q, start, rng, 100)[0], 0.0)
	table.Observe(0, Load{Incarnation: 2}, start.Add(time.Second)) // a new process
	is.True(shares(table, q, start, rng, 100)[0] > 0)
	table.Observe(0, Load{Incarnation: 1, Draining: true}, start.Add(2*time.Second))
	is.True(shares(table, q, start, rng, 100)[0] > 0) // the old process is ignored
}

// Operators replace a target while a request runs there. The end of the request
// must not be counted for a new target with the same index, which would then look
// idle and be overloaded.
func TestUpdateKeepsIndicesInFlight(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(3, Options{})
	table.Start(1, 100, start)
	targets := fleet(5)
	table.Update(append(targets[:1:1], targets[2:4]...))
	i, ok := table.Lookup("target-003")
	is.True(ok && i == 3)
	is.True(table.Configured(3) && !table.Configured(1))
	is.Equal(shares(table, &Query{Model: "caption"}, start, rng, 200)[1], 0.0)
	table.End(1, 100, start)
	table.Observe(1, Load{Queued: 7, Rate: 1}, start)
	is.Equal(table.InFlight(1), 0)
	table.Update(targets)
	i, _ = table.Lookup("target-004")
	is.True(i == 1 || i == 4)
	is.Equal(table.Target(i).Name, "target-004")
	var sum aggregate
	for k := range table.states {
		sum.add(table.states[k].queued, table.states[k].busy)
	}
	is.True(math.Abs(sum.busy-table.aggregates[1].busy) < 1e-9)
}

func TestHealthSharesAndProbes(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(4, Options{Choices: 2})
	q := &Query{Model: "caption"}
	table.SetHealth(0, 0, false)
	is.Equal(shares(table, q, start, rng, 200)[0], 0.0)
	table.SetHealth(0, 0.1, false)
	slow := shares(table, q, start, rng, 4000)[0]
	is.True(slow > 0 && slow < 0.1)
	table.SetHealth(0, 0, true)
	is.Equal(shares(table, &Query{Model: "caption", MayNotRepeat: true}, start, rng, 200)[0], 0.0)
	is.Equal(shares(table, &Query{Model: "caption", Urgent: true}, start, rng, 200)[0], 0.0)
	is.Equal(shares(table, &Query{Model: "obituary"}, start, rng, 200)[0], 0.0)
	is.Equal(shares(table, q, start, rng, 200)[0], 1.0) // the next request goes there
	table.Start(0, 1, start)
	is.Equal(shares(table, q, start, rng, 200)[0], 0.0) // one probe only
}

// All targets of a model are ejected. A booking that may not be repeated is
// refused, which is certainly not run, rather than tried with an unknown outcome.
func TestEjectedTargetsGetNoBookings(t *testing.T) {
	is := is.New(t)
	table, rng := newTable(3, Options{})
	for i := range 3 {
		table.SetHealth(i, 0, false)
	}
	_, ok := table.Pick(&Query{Model: "caption", MayNotRepeat: true}, start, rng)
	is.True(!ok)
	_, ok = table.Pick(&Query{Model: "caption"}, start, rng)
	is.True(ok)
	// Where all work is bookings, only a booking can bring a target back.
	table.SetHealth(1, 0, true)
	i, ok := table.Pick(&Query{Model: "caption", MayNotRepeat: true}, start, rng)
	is.True(ok && i == 1)
	table.Start(i, 1, start)
	_, ok = table.Pick(&Query{Model: "caption", MayNotRepeat: true}, start, rng)
	is.True(!ok) // one at a time
	var q Query
	q.Model = "caption"
	for i := range 3 {
		is.True(q.Exclude.Add(i))
	}
	_, ok = table.Pick(&q, start, rng)
	is.True(!ok)
}

func TestPenalisedGroupAndFarRegion(t *testing.T) {
	is := is.New(t)
	table := New(Options{Region: "addis", Choices: 2})
	table.Update([]Target{
		{Name: "a", Model: "m", Region: "addis", Group: "g"},
		{Name: "b", Model: "m", Region: "addis", Group: "h"},
		{Name: "far", Model: "m", Region: "lakes"},
	})
	rng := rand.New(rand.NewPCG(1, 1))
	q := &Query{Model: "m"}
	is.Equal(shares(table, q, start, rng, 200)[2], 0.0)
	table.PenaliseGroup("g", time.Second, start.Add(time.Second))
	is.Equal(shares(table, q, start, rng, 200)[0], 0.0)
	is.True(shares(table, q, start.Add(time.Minute), rng, 200)[0] > 0)
	table.PenaliseGroup("h", time.Second, start.Add(time.Second))
	table.PenaliseGroup("g", time.Second, start.Add(time.Second))
	is.Equal(shares(table, q, start, rng, 200)[2], 1.0) // overflows to the other region
}

func TestSubsetsLoadTargetsEvenly(t *testing.T) {
	is := is.New(t)
	members := make([]uint16, 670)
	for i := range members {
		members[i] = uint16(i)
	}
	name := func(m uint16) string { return fmt.Sprintf("target-%03d", m) }
	count := make([]int, 670)
	for entry := range 390 {
		part := subset(members, name, entry, DefaultSubset)
		is.True(len(part) >= DefaultSubset && len(part) <= DefaultSubset+1)
		for _, m := range part {
			count[m]++
		}
	}
	low, high := 390, 0
	for _, c := range count {
		low, high = min(low, c), max(high, c)
	}
	is.True(high-low <= 1)
}

func TestRingIsEvenAndStable(t *testing.T) {
	is := is.New(t)
	members := make([]uint16, 84)
	for i := range members {
		members[i] = uint16(i)
	}
	name := func(m uint16) string { return fmt.Sprintf("target-%03d", m) }
	full := buildRing(members, name)
	count := make([]int, 84)
	for _, m := range full {
		count[m]++
	}
	for _, c := range count {
		is.True(c >= smallRing/84 && c <= smallRing/84+1)
	}
	// A removed target moves its own keys and few others.
	size := uint64(len(full))
	less := buildRing(members[:83], name)
	moved := 0
	for h := range uint64(10000) {
		a, b := full[mix(h)%size], less[mix(h)%uint64(len(less))]
		if a != b && a != 83 {
			moved++
		}
	}
	is.True(moved < 500) // of 10000
}

// All ranks of a group wait for the slowest one in each step. A slow rank gets no
// requests while others can take them, and all if it is the only one left.
func TestAvoidedTarget(t *testing.T) {
	is := is.New(t)
	tab := New(Options{Entry: "e", Choices: 8})
	tab.Update([]Target{{Name: "a", Service: "s"}, {Name: "b", Service: "s"}, {Name: "c", Service: "s"}})
	rng := rand.New(rand.NewPCG(1, 1))
	slow, ok := tab.Lookup("b")
	is.True(ok)
	tab.SetAvoided(slow, true)
	now := time.Unix(1, 0)
	for range 100 {
		i, ok := tab.Pick(&Query{Service: "s", Cost: 1}, now, rng)
		is.True(ok)
		is.True(i != slow)
		tab.Start(i, 1, now)
	}
	tab.Update([]Target{{Name: "a", Service: "s", Drained: true}, {Name: "b", Service: "s"}, {Name: "c", Service: "s", Drained: true}})
	i, ok := tab.Pick(&Query{Service: "s", Cost: 1}, now, rng)
	is.True(ok)
	is.Equal(i, slow)
}
