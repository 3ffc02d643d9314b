package expert

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start  = time.Date(2026, time.December, 1, 6, 0, 0, 0, time.UTC)
	update = flag.Bool("update", false, "write the golden files")
)

// TestMain fixes the seed, so that every run uses the same groups.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// newGroup returns a group with two ranks per server and three zones.
func newGroup(ranks, slots, experts int) *Group {
	g := &Group{Experts: experts, Slots: slots, ExpertBytes: 44 << 20, StoreRate: 1 << 30}
	for r := range ranks {
		g.Ranks = append(g.Ranks, Rank{Server: fmt.Sprint(r / 2), Zone: fmt.Sprint(r / 2 % 3)})
	}
	return g
}

func randomLoads(rng *rand.Rand, experts int, wide float64) []float64 {
	loads := make([]float64, experts)
	for e := range loads {
		loads[e] = math.Exp(wide * rng.NormFloat64())
	}
	return loads
}

// knownLoads returns an estimator that has observed the loads several times.
func knownLoads(loads []float64) *Estimator {
	est := NewEstimator(len(loads), Smoothing{})
	for i := range 5 {
		est.Observe(start.Add(time.Duration(i-4)*time.Minute), loads)
	}
	return est
}

// drawGroup draws a group that passes Validate, with loads.
func drawGroup(t *rapid.T) (*Group, []float64) {
	ranks := rapid.IntRange(2, 12).Draw(t, "ranks")
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	experts := rapid.IntRange(1, min(ranks*slots, 16)).Draw(t, "experts")
	g := newGroup(ranks, slots, experts)
	if experts*2 <= ranks*slots && rapid.Bool().Draw(t, "two replicas") {
		g.MinReplicas = 2
	}
	return g, rapid.SliceOfN(rapid.Float64Range(0, 10), experts, experts).Draw(t, "loads")
}

func TestPlaceGivesValidMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, loads := drawGroup(t)
		if err := g.Validate(); err != nil {
			t.Fatal(err)
		}
		for e, n := range Apportion(g, loads) {
			if n < g.minReplicas() || n > len(g.Ranks) {
				t.Fatalf("%d replicas of expert %d on %d ranks", n, e, len(g.Ranks))
			}
		}
		m := Place(g, loads)
		if err := m.Validate(g); err != nil {
			t.Fatal(err)
		}
		if skew, bound := m.Skew(g, loads), LowerBound(g, loads).Skew; skew < bound-1e-9 {
			t.Fatalf("skew %v below the bound %v", skew, bound)
		}
	})
}

// TestSearchKeepsItsSums compares the sums that the search maintains with those
// of the map, and validates its map, after every step.
func TestSearchKeepsItsSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, loads := drawGroup(t)
		from := Place(g, loads)
		later := rapid.SliceOfN(rapid.Float64Range(0.01, 10), g.Experts, g.Experts).Draw(t, "later")
		s := newSearch(g)
		s.setMap(from, later)
		s.setTargets()
		short := make([]int, g.Experts)
		for e := range short {
			short[e] = s.spread.deficit(int32(e))
		}
		for range 20 {
			if !s.split() && !s.improve() {
				break
			}
			if err := s.m.Validate(g); err != nil {
				t.Fatal(err)
			}
			last := s.steps[len(s.steps)-1]
			if want := s.m.Skew(g, later); math.Abs(last.skew-want) > 1e-6 {
				t.Fatalf("skew %v, the map has %v", last.skew, want)
			}
			if moves := Diff(g, 0, from, s.m); len(moves) != last.loads {
				t.Fatalf("%d loads, the maps differ by %d", last.loads, len(moves))
			}
			if got := Map(s.mapAfter(len(s.steps))).Skew(g, later); math.Abs(got-last.skew) > 1e-6 {
				t.Fatalf("replayed map has skew %v, want %v", got, last.skew)
			}
			for e := range short {
				if now := s.spread.deficit(int32(e)); now > short[e] {
					t.Fatalf("expert %d is short of %d domains, was %d", e, now, short[e])
				}
			}
		}
	})
}

// TestApportionIsOptimal compares Apportion with all ways to assign the slots.
func TestApportionIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(rapid.IntRange(2, 7).Draw(t, "ranks"), rapid.IntRange(1, 2).Draw(t, "slots"), 2)
		g.Experts = rapid.IntRange(1, min(3, len(g.Ranks))).Draw(t, "experts")
		loads := rapid.SliceOfN(rapid.Float64Range(0.1, 10), g.Experts, g.Experts).Draw(t, "loads")
		if got, want := largestShare(loads, Apportion(g, loads)), bestShare(loads, g.size(), len(g.Ranks)); got > want+1e-9 {
			t.Fatalf("largest share %v, possible is %v", got, want)
		}
	})
}

func largestShare(loads []float64, replicas []int) float64 {
	worst := 0.0
	for e, load := range loads {
		worst = max(worst, load/float64(replicas[e]))
	}
	return worst
}

func bestShare(loads []float64, slots, ranks int) float64 {
	if len(loads) == 0 {
		return 0
	}
	best := math.Inf(1)
	for n := 1; n <= min(ranks, slots-len(loads)+1); n++ {
		best = min(best, max(loads[0]/float64(n), bestShare(loads[1:], slots-n, ranks)))
	}
	return best
}

func TestSpreadOverZones(t *testing.T) {
	is := is.New(t)
	g := newGroup(24, 2, 12)
	loads := randomLoads(rand.New(rand.NewPCG(1, 1)), 12, 0.5)
	m := Place(g, loads)
	zones := make([]map[string]bool, g.Experts)
	for i, e := range m {
		if zones[e] == nil {
			zones[e] = map[string]bool{}
		}
		zones[e][g.Ranks[i/g.Slots].Zone] = true
	}
	for e, n := range m.Replicas(g.Experts) {
		is.True(len(zones[e]) >= min(n, 2)) // the failure of a zone leaves a replica
	}
}

func TestValidate(t *testing.T) {
	g := newGroup(2, 2, 3)
	tests := map[string]struct {
		m    Map
		want string
	}{
		"valid":            {Map{0, 1, 2, Empty}, ""},
		"wrong size":       {Map{0, 1, 2}, "wrong-size"},
		"unknown expert":   {Map{0, 1, 2, 3}, "unknown-expert"},
		"expert twice":     {Map{0, 1, 2, 2}, "expert-twice"},
		"too few replicas": {Map{0, 1, 0, Empty}, "too-few-replicas"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := tt.m.Validate(g)
			var shape *ShapeError
			if !errors.As(err, &shape) {
				is.Equal(tt.want, "")
				return
			}
			is.Equal(shape.Reason, tt.want)
		})
	}
	is := is.New(t)
	is.True((&Group{}).Validate() != nil)
	is.True(newGroup(2, 1, 3).Validate() != nil)
}

func TestDiffIgnoresSlots(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 2, 3)
	from, to := Map{0, 1, 2, 0}, Map{1, 2, 0, 2}
	moves := Diff(g, 0, from, to)
	is.Equal(moves, []Move{{Rank: 0, Slot: 0, Load: 2, Drop: 0}})
	is.Equal(len(Diff(g, 0, from.Apply(g, 0, moves), to)), 0)
}

func TestHistoryKeepsTheLastHour(t *testing.T) {
	is := is.New(t)
	var h History
	for i := range 90 {
		h.Add(Record{At: start.Add(time.Duration(i) * time.Minute), Skew: float64(i), Moves: 1, Reason: Reason(i % 2)})
	}
	is.Equal(len(h.Records()), 61)
	s := h.Summary()
	is.Equal(s.MaxSkew, 89.0)
	is.Equal(s.Moves, 61)
	is.Equal(s.Reasons[Balanced]+s.Reasons[Moving], 61)
	h.MaxRecords = 10
	h.Add(Record{At: start.Add(90 * time.Minute)})
	is.Equal(len(h.Records()), 10)
}
