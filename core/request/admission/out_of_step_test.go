package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two groups of a service meet a change of the demand for experts at different moments. What starts
// where the passes are long is late, and makes them longer, while the other group has room.
func TestGroupWithLongPassesGetsLess(t *testing.T) {
	is := is.New(t)
	const (
		short, long = 75 * time.Millisecond, 180 * time.Millisecond
		step        = 5 * time.Millisecond
		stream      = 1500 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(3, 4))
	p := newPool()
	p.SetGroups(map[string]int{"g0": 320, "g1": 320}, start)
	p.shortestPause = 150 * time.Millisecond
	// shifts reports whether the passes of a group are long: for half a second, every two seconds.
	shifts := func(group string, at time.Duration) bool {
		if group == "g1" {
			at += time.Second
		}
		return at%(2*time.Second) < 500*time.Millisecond
	}
	type response struct {
		id   string
		ends time.Duration
	}
	groups, running := []string{"g0", "g1"}, map[string][]response{}
	passEnd := map[string]time.Duration{}
	var inShift, inOther int
	for at := time.Duration(0); at < 20*time.Second; at += step {
		now := start.Add(at)
		for _, group := range groups {
			pass := short
			if shifts(group, at) {
				pass = long
			}
			if at-passEnd[group] >= pass {
				for _, r := range running[group] {
					p.ObservePause(r.id, at-passEnd[group], now)
				}
				passEnd[group] = at
			}
			running[group] = slices.DeleteFunc(running[group], func(r response) bool {
				if at >= r.ends {
					p.Done(r.id, cost, now)
				}
				return at >= r.ends
			})
			if at%(200*time.Millisecond) == 0 {
				// The coordinator reports a mean that hides single long passes.
				p.ReportLoad(Load{Group: group, Complete: true, Running: 6 * len(running[group]), PassTime: 80 * time.Millisecond, Entries: 6}, now)
			}
		}
		if rng.Float64() < 0.15 {
			// Refusals do not matter here.
			_ = p.Enqueue(request(fmt.Sprint("r", at)), now)
		}
		for _, d := range p.Decisions() {
			if d.Refusal != nil {
				continue
			}
			running[d.Group] = append(running[d.Group], response{d.ID, at + time.Duration(rng.ExpFloat64()*float64(stream))})
			other := "g0"
			if d.Group == "g0" {
				other = "g1"
			}
			switch {
			case shifts(d.Group, at):
				inShift++
			case shifts(other, at):
				inOther++
			}
		}
	}
	t.Logf("started during a shift of either group: %d there, %d at the other", inShift, inOther)
	is.True(inShift+inOther > 200)
	is.True(inShift*4 <= inOther) // half would start there by chance
}
