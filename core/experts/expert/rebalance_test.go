package expert

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// skewed returns loads that follow a power law, in random order.
func skewed(rng *rand.Rand, experts int) []float64 {
	loads := make([]float64, experts)
	for i, e := range rng.Perm(experts) {
		loads[e] = math.Pow(float64(i+1), -0.9)
	}
	return loads
}

// roundRobin returns a map that places the experts on the ranks in turn.
func roundRobin(g *Group) Map {
	m := NewMap(g)
	used := make([]int, len(g.Ranks))
	for e := range g.Experts {
		r := e % len(g.Ranks)
		m[r*g.Slots+used[r]] = int32(e)
		used[r]++
	}
	return m
}

func group16() *Group {
	return &Group{Ranks: make([]Rank, 16), Experts: 64, Slots: 5}
}

// The number of experts that one change may make new to a rank is limited.
// Repeated changes must still come close to the lower bound, and each must keep
// every expert placed.
func TestRebalanceWithinLimits(t *testing.T) {
	is := is.New(t)
	g := group16()
	for i := range g.Ranks {
		g.Ranks[i].Server = string(rune('a' + i))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	maps := []Map{roundRobin(g), roundRobin(g), roundRobin(g), roundRobin(g)}
	loads := [][]float64{skewed(rng, 64), skewed(rng, 64), skewed(rng, 64), skewed(rng, 64)}
	lim := Limits{PerLayer: 2, PerRank: 4}
	var skew float64
	for range 6 {
		next, before, after := Rebalance(g, maps, loads, lim)
		is.True(after <= before)
		total := make([]int, len(g.Ranks))
		for l := range next {
			is.NoErr(next[l].Validate(g))
			fresh := make([]int, len(g.Ranks))
			for _, m := range Diff(g, l, maps[l], next[l]) {
				fresh[m.Rank]++
				total[m.Rank]++
			}
			for _, n := range fresh {
				is.True(n <= lim.PerLayer)
			}
		}
		for _, n := range total {
			is.True(n <= lim.PerRank)
		}
		maps, skew = next, after
	}
	t.Logf("skew after six changes %.3f", skew)
	is.True(skew < 1.15)
}

func BenchmarkRebalance(b *testing.B) {
	for _, size := range []struct {
		name                   string
		ranks, experts, places int
		layers                 int
	}{{"16-ranks", 16, 64, 5, 4}, {"72-ranks", 72, 144, 3, 12}} {
		b.Run(size.name, func(b *testing.B) {
			g := &Group{Ranks: make([]Rank, size.ranks), Experts: size.experts, Slots: size.places}
			for i := range g.Ranks {
				g.Ranks[i].Server = string(rune('a' + i))
			}
			rng := rand.New(rand.NewPCG(1, 2))
			var maps []Map
			var loads [][]float64
			for range size.layers {
				maps = append(maps, roundRobin(g))
				loads = append(loads, skewed(rng, size.experts))
			}
			b.ReportAllocs()
			var after float64
			for b.Loop() {
				_, _, after = Rebalance(g, maps, loads, Limits{PerLayer: 2, PerRank: 4})
			}
			b.ReportMetric(after, "skew")
		})
	}
}

// A rank that runs at a third of its speed delays the whole group, although its
// experts have no more load than others. It must get about a third of the work.
func TestRebalanceSlowRank(t *testing.T) {
	is := is.New(t)
	g := group16()
	for i := range g.Ranks {
		g.Ranks[i].Server = string(rune('a' + i))
	}
	g.Ranks[3].Pace = 3
	rng := rand.New(rand.NewPCG(3, 4))
	maps, loads := []Map{roundRobin(g)}, [][]float64{skewed(rng, 64)}
	for range 6 {
		maps, _, _ = Rebalance(g, maps, loads, Limits{PerLayer: 2, PerRank: 4})
		is.NoErr(maps[0].Validate(g))
	}
	_, skew, _ := Rebalance(g, maps, loads, Limits{})
	t.Logf("slowest rank takes %.3f of the mean", skew)
	is.True(skew < 1.12)
}

// A rank becomes seven times slower while the group is well balanced. One change
// may load only few experts on any rank, but must still move most of the work
// off the slow rank.
func TestRebalanceRelievesSlowRankAtOnce(t *testing.T) {
	is := is.New(t)
	g := group16()
	for i := range g.Ranks {
		g.Ranks[i].Server = string(rune('a' + i))
	}
	rng := rand.New(rand.NewPCG(5, 6))
	maps, loads := []Map{roundRobin(g), roundRobin(g)}, [][]float64{skewed(rng, 64), skewed(rng, 64)}
	lim := Limits{PerLayer: 2, PerRank: 3}
	for range 4 {
		maps, _, _ = Rebalance(g, maps, loads, lim)
	}
	g.Ranks[3].Pace = 7
	var before, after [2]float64
	for i := range after {
		maps, before[i], after[i] = Rebalance(g, maps, loads, lim)
	}
	t.Logf("from %.2f to %.2f and %.2f", before[0], after[0], after[1])
	is.True(before[0] > 5)
	is.True(after[0] < 2.5)
	is.True(after[1] < 1.4)
}
