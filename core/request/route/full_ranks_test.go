package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crowd replays the requests of many entries to the ranks of one group, which run so many requests
// each and queue the others.
type crowd struct {
	entries, ranks, slots int
	// load is the mean part of the slots that is taken, stream how long a request runs.
	load   float64
	stream time.Duration
	// period is how often an entry receives the loads, and lag how old they are then.
	period, lag time.Duration
	// bySlots places requests by the free slots of the ranks.
	bySlots bool
	// away are ranks that get nothing until they return, at returnAfter.
	away        int
	returnAfter time.Duration
}

// placement is the result of a replay.
type placement struct {
	// full is the part of the requests that meet a full rank, and waiting how many requests wait
	// at one in the mean while another rank has a free slot.
	full, waiting float64
	// fullest is how many requests the fullest rank runs, in the mean.
	fullest float64
	// rush is how many requests one of the ranks that return gets in its first second, at most, and
	// filled the part of its slots that they have taken together after it.
	rush   int
	filled float64
}

// running is a request at a rank.
type running struct {
	entry   int
	cost    float64
	sent    time.Time
	takes   time.Duration
	endsAt  time.Time
	started bool
}

// crowdStep is the step of the replay's time.
const crowdStep = 5 * time.Millisecond

func (c crowd) replay(seed uint64) placement {
	rng := rand.New(rand.NewPCG(seed, 1))
	tables, share := c.tables(rng)
	ranks := make([][]*running, c.ranks)
	// history has the loads of the ranks at each step.
	var history [][]Load
	perStep := c.load * float64(c.ranks*c.slots) / c.stream.Seconds() * crowdStep.Seconds()
	var out placement
	starts := make([]int, c.ranks) // at ranks that return, in their first second
	arrivals, samples, now := 0.0, 0.0, start
	for n := range int(15 * time.Second / crowdStep) {
		now = now.Add(crowdStep)
		loads := c.advance(tables, ranks, now)
		history = append(history, loads)
		for e, t := range tables {
			// The entries receive the loads at different moments.
			old := n - int(c.lag/crowdStep)
			if old < 0 || (n+7*e)%int(c.period/crowdStep) != 0 {
				continue
			}
			for i := range ranks {
				t.Report(i, history[old][i], now.Add(-c.lag))
			}
		}
		back := n - int(c.returnAfter/crowdStep)
		for i := range c.away {
			for _, t := range tables {
				t.SetLeaving(i, back < 0)
			}
		}
		if back == int(time.Second/crowdStep) {
			for i := range c.away {
				out.filled += float64(loads[i].Running) / float64(c.away*c.slots)
			}
		}
		settled := n > int(5*time.Second/crowdStep)
		for e, t := range tables {
			for range poisson(rng, perStep*share[e]) {
				q := &Query{Service: "llm", Group: "g", Cost: 300 + 1200*rng.Float64()}
				i, _ := t.Pick(q, now, rng)
				t.Start(i, q.Cost, now)
				if settled {
					arrivals++
					if len(ranks[i]) >= c.slots {
						out.full++
					}
				}
				if i < c.away && back < int(time.Second/crowdStep) {
					starts[i]++
					out.rush = max(out.rush, starts[i])
				}
				ranks[i] = append(ranks[i], &running{entry: e, cost: q.Cost, sent: now, takes: time.Duration(rng.ExpFloat64() * float64(c.stream))})
			}
		}
		if settled {
			samples++
			queued, free, fullest := 0, 0, 0
			for _, l := range loads {
				queued += l.Occupied - l.Running
				free += c.slots - l.Running
				fullest = max(fullest, l.Running)
			}
			out.waiting += float64(min(queued, free))
			out.fullest += float64(fullest)
		}
	}
	out.full, out.waiting, out.fullest = out.full/arrivals, out.waiting/samples, out.fullest/samples
	return out
}

// tables returns the tables of the entries, and the part of the requests that comes to each.
func (c crowd) tables(rng *rand.Rand) (tables []*Table, share []float64) {
	targets := make([]Target, c.ranks)
	for i := range targets {
		targets[i] = Target{Name: fmt.Sprintf("rank-%03d", i), Zone: fmt.Sprint("zone-", i%3), Service: "llm", Group: "g"}
		if c.bySlots {
			targets[i].Slots = c.slots
		}
	}
	sum := 0.0
	for e := range c.entries {
		t := New(Options{Entry: fmt.Sprintf("front-%d", e), Zone: fmt.Sprint("zone-", e%3), Choices: 6})
		t.Update(targets)
		t.SetSharing(c.entries)
		tables, share = append(tables, t), append(share, 0.5+rng.Float64())
		sum += share[e]
	}
	for e := range share {
		share[e] /= sum
	}
	return tables, share
}

// advance ends and starts requests at the ranks, and returns the loads of these.
func (c crowd) advance(tables []*Table, ranks [][]*running, now time.Time) []Load {
	loads := make([]Load, len(ranks))
	for i := range ranks {
		ranks[i] = slices.DeleteFunc(ranks[i], func(r *running) bool {
			ended := r.started && !now.Before(r.endsAt)
			if ended {
				tables[r.entry].End(i, r.cost, r.sent)
				tables[r.entry].Left(i, now)
			}
			return ended
		})
		n := min(len(ranks[i]), c.slots)
		for _, r := range ranks[i][:n] {
			if !r.started {
				r.started, r.endsAt = true, now.Add(r.takes)
			}
		}
		loads[i] = Load{Queued: float64(len(ranks[i])-n) * 900, Running: n, Occupied: len(ranks[i]), Rate: 4000}
	}
	return loads
}

// poisson returns how many events happen, given their mean number.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// mean returns the mean of some replays.
func (c crowd) mean() placement {
	const seeds = 3
	var sum placement
	for seed := range uint64(seeds) {
		p := c.replay(seed)
		sum.full += p.full / seeds
		sum.waiting += p.waiting / seeds
		sum.fullest += p.fullest / seeds
	}
	return sum
}

// Sixteen entries choose among the ranks of a nearly full group by loads that are some tenths of a
// second old: requests of callers who wait at most some tenths of a second queue at full ranks while
// others have free slots.
func TestFewRequestsMeetAFullRank(t *testing.T) {
	tests := map[string]struct {
		load        float64
		lag         time.Duration
		full, least float64
	}{
		// A twentieth of the requests may be late for it.
		"nearly full":        {load: 0.85, lag: 100 * time.Millisecond, full: 0.05, least: 0.1},
		"half full":          {load: 0.5, lag: 100 * time.Millisecond, full: 0.001},
		"loads half as old":  {load: 0.85, lag: 50 * time.Millisecond, full: 0.05, least: 0.1},
		"loads twice as old": {load: 0.85, lag: 200 * time.Millisecond, full: 0.1, least: 0.15},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := crowd{entries: 16, ranks: 63, slots: 10, load: tt.load, stream: 1900 * time.Millisecond, period: 200 * time.Millisecond, lag: tt.lag}
			before := c.mean()
			c.bySlots = true
			after := c.mean()
			t.Logf("meet a full rank %.3f, before %.3f; wait beside free slots %.1f, before %.1f; fullest rank %.2f, before %.2f",
				after.full, before.full, after.waiting, before.waiting, after.fullest, before.fullest)
			is.True(after.full <= tt.full)
			is.True(before.full >= tt.least)
			is.True(after.fullest <= before.fullest+0.1) // a pass takes as long as the fullest rank
		})
	}
}

// A zone of cold ranks returns while the others are full: all entries see idle ranks, and crash them
// by sending all requests there at once.
func TestZoneThatReturnsIsFilledBySteps(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.45, 0.65} {
		c := crowd{
			entries: 16, ranks: 63, slots: 10, load: load, stream: 1900 * time.Millisecond, period: 200 * time.Millisecond, lag: 100 * time.Millisecond,
			bySlots: true, away: 21, returnAfter: 7 * time.Second,
		}
		got := c.replay(1)
		t.Logf("load %.2f: at most %d requests at a rank in its first second, %.2f of the slots taken after it", load, got.rush, got.filled)
		is.True(got.rush <= 28)                        // what a cold rank of the platform's example takes a second
		is.True(got.filled > load/3 && got.filled < 1) // the others are relieved within a second
	}
}

// A target whose load is not reported any more is chosen by its last load for ever, and a prompt
// that a target has cached goes to one that has not.
func TestOldLoadsAndPrefixesDoNotGoBySlots(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	table.Update([]Target{{Name: "a", Service: "llm", Slots: 10}, {Name: "b", Service: "llm", Slots: 10}})
	rng := rand.New(rand.NewPCG(1, 1))
	q := &Query{Service: "llm", Cost: 100}
	find := func(now time.Time) int {
		return table.freeTarget(table.pools[poolKey{service: "llm"}], q, table.nanos(now), rng)
	}
	is.Equal(find(start), noTarget) // no load is known
	table.Report(0, Load{Running: 10, Occupied: 10}, start)
	table.Report(1, Load{Running: 9, Occupied: 9}, start)
	is.Equal(find(start.Add(slotsValid)), 1)
	is.Equal(find(start.Add(slotsValid+1)), noTarget)
	q.Prefix = 1
	is.Equal(find(start), noTarget)
}

// A request leaves a full target, and the next one of the same entry queues at another: the entry
// alone knows of the free slot until the next load is reported, and takes it once.
func TestNextRequestTakesTheSlotThatIsLeft(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	table.Update([]Target{{Name: "a", Service: "llm", Slots: 10}, {Name: "b", Service: "llm", Slots: 10}})
	rng := rand.New(rand.NewPCG(1, 1))
	p := table.pools[poolKey{service: "llm"}]
	q := &Query{Service: "llm", Cost: 100}
	for i := range 2 {
		table.Report(i, Load{Running: 10, Occupied: 10}, start)
	}
	now := start.Add(100 * time.Millisecond)
	is.Equal(table.freeTarget(p, q, table.nanos(now), rng), noTarget)
	table.Left(0, now)
	is.Equal(table.freeTarget(p, q, table.nanos(now), rng), 0)
	table.Start(0, q.Cost, now)
	is.Equal(table.freeTarget(p, q, table.nanos(now), rng), noTarget)
	table.Left(0, now)
	table.Report(0, Load{Running: 10, Occupied: 11}, now.Add(time.Millisecond))
	is.Equal(table.freeTarget(p, q, table.nanos(now), rng), noTarget) // the load contains both
}
