package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// flood plays one Pool before one group. The requests of each class would take rates[c] of its slots.
type flood struct {
	slots int
	runs  time.Duration
	rates []float64
}

const floodStep = 5 * time.Millisecond

// tally counts the requests of one class that have arrived, were refused, and have started.
type tally struct{ asked, refused, started int }

// play returns the counts of each class in each second.
func (f flood) play(seed uint64, seconds int) [][]tally {
	rng := rand.New(rand.NewPCG(seed, 3))
	p := New(rand.New(rand.NewPCG(seed, 4)))
	p.SetClasses(len(f.rates), start)
	p.SetGroups(map[string]int{"": f.slots}, start)
	class, ends := map[string]int{}, map[time.Time][]string{}
	out := make([][]tally, seconds)
	next := 0
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += floodStep {
		now, second := start.Add(at), int(at/time.Second)
		if out[second] == nil {
			out[second] = make([]tally, len(f.rates))
		}
		collect := func() {
			for _, d := range p.Decisions() {
				if d.Refusal != nil {
					out[second][class[d.ID]].refused++
				} else {
					out[second][class[d.ID]].started++
					end := now.Add(f.runs/2 + time.Duration(rng.Int64N(int64(f.runs)))).Truncate(floodStep)
					ends[end] = append(ends[end], d.ID)
				}
				delete(class, d.ID)
			}
		}
		for _, id := range ends[now] {
			p.Done(id, cost, now)
			collect()
		}
		delete(ends, now)
		for c, rate := range f.rates {
			for want := rate * float64(f.slots) / f.runs.Seconds() * floodStep.Seconds(); want > rng.Float64(); want-- {
				next++
				id := fmt.Sprint(next)
				class[id] = c
				out[second][c].asked++
				if p.Enqueue(Request{ID: id, Cost: cost, Objective: objective, Class: c}, now) != nil {
					out[second][c].refused++
					delete(class, id)
				}
				collect()
			}
		}
		p.Tick(now)
		collect()
	}
	return out
}

// sumFrom adds the counts of each class from a second on.
func sumFrom(seconds [][]tally, from int) []tally {
	sum := make([]tally, len(seconds[0]))
	for _, s := range seconds[from:] {
		for c, n := range s {
			sum[c].asked += n.asked
			sum[c].refused += n.refused
			sum[c].started += n.started
		}
	}
	return sum
}

// Guards against a flood of the first classes that stops those behind them.
func TestFloodLeavesFloors(t *testing.T) {
	for _, rates := range [][]float64{{2, 0.5}, {2, 0.5, 0.5}, {0.5, 2, 0.5}, {3, 3, 3, 3}} {
		t.Run(fmt.Sprint(rates), func(t *testing.T) {
			is := is.New(t)
			got := flood{slots: 40, runs: time.Second, rates: rates}.play(1, 12)
			t.Log(sumFrom(got, 2))
			sum, all := sumFrom(got, 2), 0
			for _, n := range sum {
				all += n.started
			}
			last := len(rates) - 1
			is.True(sum[last].started >= all*8/100/last) // its part of a tenth, less what falls between two seconds
			is.True(sum[0].started >= all*35/100)        // and no more than that
			for _, s := range got[2:] {
				behind := 0
				for _, n := range s[1:] {
					behind += n.started
				}
				is.True(behind > 0) // in each second
			}
		})
	}
}

// Guards against refusing a class whose requests are few, since few of them have been served, while
// a flood behind it starts.
func TestFloodBehindFewRequests(t *testing.T) {
	for _, rates := range [][]float64{{0.02, 2}, {0.2, 2}, {0.5, 2}, {0.02, 0.02, 2}, {0.4, 0.03, 2}} {
		t.Run(fmt.Sprint(rates), func(t *testing.T) {
			is := is.New(t)
			sum := sumFrom(flood{slots: 40, runs: time.Second, rates: rates}.play(1, 102), 2)
			t.Log(sum)
			all := 0
			for c, n := range sum {
				if c < len(rates)-1 {
					is.Equal(n.refused, 0)
				}
				all += n.started
			}
			is.True(all >= 9*100*40/10) // the last class uses what is left
		})
	}
}
