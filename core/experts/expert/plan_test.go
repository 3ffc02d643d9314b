package expert

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReasons compares the explanations for operators with a golden file, for
// each reason to move or not to move.
func TestReasons(t *testing.T) {
	is := is.New(t)
	g := newGroup(8, 2, 8)
	even := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	hot := []float64{1, 1, 1, 1, 1, 1, 1, 9}
	m := Place(g, even)
	dear, none := Lightbox(), Lightbox()
	dear.Cost = 100
	none.MaxMoves = 1
	layer := func(loads []float64) []Layer { return []Layer{{Map: m, Loads: knownLoads(loads)}} }
	cases := []struct {
		name   string
		policy Policy
		in     Input
	}{
		{"balanced", Lightbox(), Input{Layers: layer(even)}},
		{"moving", Lightbox(), Input{Layers: layer(hot)}},
		{"gain-below-cost", dear, Input{Layers: layer(hot)}},
		{"stale-loads", Lightbox(), Input{Now: start.Add(time.Hour), Layers: layer(hot)}},
		{"protected-work", Lakeshore(), Input{Layers: layer(hot), Protected: 9}},
		{"moving", Lakeshore(), Input{Layers: layer(hot), Protected: 8}},
		{"switch-in-progress", Lightbox(), Input{Layers: layer(hot), Switching: true}},
		{"bound-reached", none, Input{Layers: layer(hot)}},
		{"invalid-input", Lightbox(), Input{Layers: []Layer{{Map: m[1:], Loads: knownLoads(hot)}}}},
	}
	var got bytes.Buffer
	for _, c := range cases {
		if c.in.Now.IsZero() {
			c.in.Now = start
		}
		plan := NewPlanner(g, c.policy).Plan(c.in)
		is.Equal(plan.Reason.String(), c.name)
		fmt.Fprintf(&got, "%s\n\t%s\n", plan.Reason, plan.Explain())
	}
	golden(t, "reasons.golden", got.Bytes())
}

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n%s", path, got)
	}
}

func TestReasonText(t *testing.T) {
	is := is.New(t)
	for r := Balanced; r < reasonCount; r++ {
		text, err := json.Marshal(r)
		is.NoErr(err)
		var back Reason
		is.NoErr(json.Unmarshal(text, &back))
		is.Equal(back, r)
	}
	var r Reason
	is.True(json.Unmarshal([]byte(`"because"`), &r) != nil)
}

// simulate runs a planner over loads that change every minute, where each plan
// is active a minute later, and returns the skews from the given minute on and
// the number of moves.
func simulate(g *Group, p Policy, minutes, from int, loads func(i int) []float64) (skews []float64, moves int) {
	m := Place(g, loads(0))
	planner := NewPlanner(g, p)
	est := NewEstimator(g.Experts, Smoothing{})
	var budget Budget
	for i := range minutes {
		if i >= from {
			skews = append(skews, m.Skew(g, loads(i)))
		}
		est.Observe(minute(i), loads(i))
		plan := planner.Plan(Input{Now: minute(i), Layers: []Layer{{Map: m, Loads: est}}, Spent: budget})
		budget = budget.Spend(minute(i), p, plan)
		m = m.Apply(g, 0, plan.Moves)
		moves += len(plan.Moves)
	}
	return skews, moves
}

func worst(skews []float64) float64 {
	w := 0.0
	for _, s := range skews {
		w = max(w, s)
	}
	return w
}

// The mix of work changes within half an hour. Step by step, the search moves
// the other experts off the ranks of an expert whose load rises, until that
// expert fills them alone; then no rank has capacity for another replica, and
// the group stays a fifth slower.
func TestExpertsWithRisingLoadAreSplitInTime(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 0))
	g := newGroup(256, 4, 128)
	first, second := randomLoads(rng, 128, 0.8), randomLoads(rng, 128, 0.8)
	loads := make([]float64, 128)
	p := Lightbox()
	p.Cost = 0.3
	skews, _ := simulate(g, p, 60, 45, func(i int) []float64 {
		b := 1 / (1 + math.Exp(-0.15*float64(i-30)))
		for e := range loads {
			loads[e] = ((1-b)*first[e] + b*second[e]) * (1 + 0.01*rng.NormFloat64())
		}
		return loads
	})
	is.True(worst(skews) < 1.07)
}

// The mix changes from one minute to the next. Moving few replicas per minute
// would leave a straggler in every step for a quarter of an hour; a map computed
// from scratch is cheaper, although it loads nearly everything.
func TestSuddenChangeRebuildsTheMap(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(8, 0))
	g := newGroup(256, 4, 128)
	first, second := randomLoads(rng, 128, 0.8), randomLoads(rng, 128, 0.8)
	skews, _ := simulate(g, Lightbox(), 12, 11, func(i int) []float64 {
		if i < 10 {
			return first
		}
		return second
	})
	is.True(worst(skews) < 1.05) // one plan later
}

// The loads fluctuate by 1% and are stable otherwise. Without hysteresis the
// planner would load replicas in every interval, for a gain that is lost in the
// next one.
func TestNoiseMovesLittle(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(9, 0))
	g := newGroup(64, 4, 32)
	base := randomLoads(rng, 32, 0.8)
	loads := make([]float64, 32)
	p := Lakeshore()
	p.Cost, p.MinGain = 0, 0.05 // the hysteresis alone
	_, moves := simulate(g, p, 60, 0, func(int) []float64 {
		for e := range loads {
			loads[e] = base[e] * (1 + 0.01*rng.NormFloat64())
		}
		return loads
	})
	is.Equal(moves, 0)
}

// An operator has confirmed a bound, and the planner runs four times in one
// interval. If each plan started with the full bound, four times as much as
// confirmed would be loaded.
func TestBoundsHoldOverAnInterval(t *testing.T) {
	is := is.New(t)
	g := newGroup(32, 2, 16)
	loads := randomLoads(rand.New(rand.NewPCG(3, 0)), 16, 1)
	even := make([]float64, 16)
	for e := range even {
		even[e] = 1
	}
	for _, bound := range []struct {
		moves int
		bytes int64
	}{{10, 6*g.ExpertBytes + 1}, {6, 0}} {
		p := Lightbox()
		p.MaxMoves, p.MaxBytes = bound.moves, bound.bytes
		layer := Layer{Map: Place(g, even), Loads: knownLoads(loads)}
		var budget Budget
		total := 0
		for i := range 4 {
			now := start.Add(time.Duration(i) * 10 * time.Second)
			plan := NewPlanner(g, p).Plan(Input{Now: now, Layers: []Layer{layer}, Spent: budget})
			is.True(plan.Wanted > len(plan.Moves))
			is.Equal(plan.Reason, BoundReached)
			budget = budget.Spend(now, p, plan)
			layer.Map = layer.Map.Apply(g, 0, plan.Moves)
			total += len(plan.Moves)
		}
		is.True(total > 0)
		is.True(total <= 6)
		later := NewPlanner(g, p).Plan(Input{Now: start.Add(p.Interval), Layers: []Layer{layer}, Spent: budget})
		is.True(len(later.Moves) > 0) // a new interval
	}
}

// Four layers have the same straggler, and the confirmed bound allows a tenth of
// what would balance them all. Spent on one layer, it would leave the stragglers
// of the other three in every step.
func TestBoundsAreSpentWhereTheySaveMost(t *testing.T) {
	is := is.New(t)
	g := newGroup(64, 4, 32)
	rng := rand.New(rand.NewPCG(6, 0))
	m := Place(g, randomLoads(rng, 32, 0.5))
	loads := randomLoads(rng, 32, 0.8)
	in := Input{Now: start}
	for range 4 {
		in.Layers = append(in.Layers, Layer{Map: m, Loads: knownLoads(loads)})
	}
	p := Lightbox()
	wanted := len(NewPlanner(g, p).Plan(in).Moves)
	p.MaxMoves = wanted / 10
	plan := NewPlanner(g, p).Plan(in)
	count := [4]int{}
	for _, mv := range plan.Moves {
		count[mv.Layer]++
	}
	is.True(len(plan.Moves) <= wanted/10)
	is.Equal(count[0], count[1])
	is.Equal(count[0], count[3])
	is.True(count[0] > 0)
}

// A server with the only replicas of two experts fails while protected work is
// in progress. Requests for these experts fail until a replica is loaded, so
// neither the cost nor the protected work may delay it.
func TestLostExpertsAreRestored(t *testing.T) {
	is := is.New(t)
	g := newGroup(8, 2, 8)
	loads := []float64{1, 1, 1, 1, 1, 1, 5, 5}
	m := Map{0, 1, 2, 3, 4, 5, 0, 1, 2, 3, 4, 5, 0, 1, 2, 3}
	p := Lakeshore()
	in := Input{Now: start, Layers: []Layer{{Map: m, Loads: knownLoads(loads)}}, Protected: 50}
	for _, cost := range []float64{0, 1000} {
		p.Cost = cost
		plan := NewPlanner(g, p).Plan(in)
		is.Equal(plan.Reason, Moving)
		is.NoErr(m.Apply(g, 0, plan.Moves).Validate(g))
		is.Equal(len(plan.Moves), 2) // and nothing else while the work is in progress
	}
	p.MaxMoves = 1
	plan := NewPlanner(g, p).Plan(in)
	is.Equal(plan.Reason, BoundReached)
	is.Equal(len(plan.Moves), 1)
}

func TestSameInputSamePlan(t *testing.T) {
	is := is.New(t)
	g := newGroup(64, 2, 32)
	rng := rand.New(rand.NewPCG(4, 0))
	in := Input{Now: start}
	for range 3 {
		m := Place(g, randomLoads(rng, 32, 0.8))
		in.Layers = append(in.Layers, Layer{Map: m, Loads: knownLoads(randomLoads(rng, 32, 0.8))})
	}
	planner := NewPlanner(g, Lightbox())
	first := planner.Plan(in)
	is.True(len(first.Moves) > 0)
	is.True(reflect.DeepEqual(planner.Plan(in), first))                   // the same planner
	is.True(reflect.DeepEqual(NewPlanner(g, Lightbox()).Plan(in), first)) // a new one
	is.Equal(first.Bytes, int64(len(first.Moves))*g.ExpertBytes)
	is.True(first.SkewAfter < first.SkewBefore && first.SkewAfter >= first.Bound-0.02)
}
