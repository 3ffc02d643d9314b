package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// ended is a request that ends at a time.
type ended struct {
	at    time.Time
	entry int
	id    string
	group string
}

// endings is a heap of requests by their ends.
type endings []ended

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ended)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// crowd plays entries before groups of engines, most of whose callers go to one entry for a while.
type crowd struct {
	entries, groups, slots int
	// rate is the requests a second of all entries; each takes runs.
	rate float64
	runs time.Duration
	// reports says that coordinators report during the crowd.
	reports bool
}

const (
	crowdStep   = 10 * time.Millisecond
	crowdReport = 200 * time.Millisecond
	crowdAt     = 10 * time.Second
	crowdGrace  = 4 * time.Second
	crowdFor    = 15 * time.Second
	// crowdShare is the share of the callers that go to the one entry.
	crowdShare = 0.9
)

// play returns the shares of the requests that were admitted within their objective before the crowd
// and from crowdGrace after its beginning.
func (c crowd) play(t *testing.T) (before, during float64) {
	rng := rand.New(rand.NewPCG(1, 5))
	now := start
	pools := make([]*Pool, c.entries)
	slots := map[string]int{}
	for g := range c.groups {
		slots[fmt.Sprint("g", g)] = c.slots
	}
	for i := range pools {
		pools[i] = New(rand.New(rand.NewPCG(uint64(i), 6)))
		pools[i].SetGroups(slots, now)
	}
	running, ends := map[string]int{}, endings{}
	var asked, admitted [2]int
	phase := map[string]int{}
	next := 0
	begin := func(i int) {
		for _, d := range pools[i].Decisions() {
			p, counted := phase[d.ID]
			delete(phase, d.ID)
			if d.Refusal != nil {
				continue
			}
			if counted {
				admitted[p]++
			}
			running[d.Group]++
			pools[i].Accepted(d.ID, now)
			heap.Push(&ends, ended{now.Add(c.runs/2 + time.Duration(rng.Int64N(int64(c.runs)))), i, d.ID, d.Group})
		}
	}
	for at := time.Duration(0); at < crowdAt+crowdFor; at += crowdStep {
		now = start.Add(at)
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(ended)
			running[e.group]--
			pools[e.entry].Done(e.id, cost, now)
			begin(e.entry)
		}
		if at%crowdReport == 0 && (c.reports || at < crowdAt) {
			for i, p := range pools {
				for g := range slots {
					p.ReportLoad(Load{Group: g, Complete: true, Running: running[g], PassTime: 30 * time.Millisecond, Entries: c.entries}, now)
				}
				begin(i)
			}
		}
		for want := c.rate * crowdStep.Seconds(); want > rng.Float64(); want-- {
			i := rng.IntN(c.entries)
			if at >= crowdAt && rng.Float64() < crowdShare {
				i = 0
			}
			next++
			r := Request{ID: fmt.Sprint(next), Cost: cost, Objective: objective}
			switch {
			case at >= crowdAt/2 && at < crowdAt:
				phase[r.ID] = 0
				asked[0]++
			case at >= crowdAt+crowdGrace:
				phase[r.ID] = 1
				asked[1]++
			}
			if pools[i].Enqueue(r, now) != nil {
				delete(phase, r.ID)
			}
			begin(i)
		}
		for i, p := range pools {
			p.Tick(now)
			begin(i)
		}
	}
	share := func(k int) float64 { return float64(admitted[k]) / float64(asked[k]) }
	t.Logf("%+v: %.3f admitted before, %.3f during", c, share(0), share(1))
	return share(0), share(1)
}

// Guards against an entry that keeps to an equal part of the engines when most callers come to it.
func TestMostCallersAtOneEntry(t *testing.T) {
	for _, c := range []crowd{
		{entries: 2, groups: 1, slots: 192, rate: 75, runs: 900 * time.Millisecond, reports: true},
		{entries: 12, groups: 3, slots: 240, rate: 255, runs: 900 * time.Millisecond, reports: true},
		{entries: 12, groups: 3, slots: 240, rate: 500, runs: 900 * time.Millisecond, reports: true},
		{entries: 53, groups: 1, slots: 1152, rate: 466, runs: 900 * time.Millisecond, reports: true},
		{entries: 212, groups: 4, slots: 1152, rate: 1000, runs: 900 * time.Millisecond, reports: true},
		{entries: 12, groups: 3, slots: 240, rate: 255, runs: 900 * time.Millisecond},
		{entries: 53, groups: 1, slots: 1152, rate: 466, runs: 900 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d entries, %v a second, reports %v", c.entries, c.rate, c.reports), func(t *testing.T) {
			if before, during := c.play(t); during < 0.75*before {
				t.Errorf("%.3f admitted before, %.3f during", before, during)
			}
		})
	}
}
