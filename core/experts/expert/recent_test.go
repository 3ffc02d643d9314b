package expert

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drawn returns the counts of n random choices with the given proportions.
func drawn(rng *rand.Rand, loads []float64, n int) []float64 {
	total, counts := sum(loads), make([]float64, len(loads))
	for range n {
		x := rng.Float64() * total
		for e, load := range loads {
			if x -= load; x < 0 {
				counts[e]++
				break
			}
		}
	}
	return counts
}

// distance returns the total variation distance of two loads, from 0 to 1.
func distance(a, b []float64) float64 {
	d := 0.0
	for e := range a {
		d += math.Abs(a[e]/sum(a)-b[e]/sum(b)) / 2
	}
	return d
}

// The demand shifts to other experts at once. The first change to the map is
// planned some tenths of a second later; if the loads still included those of
// the previous mix, it would move the wrong experts, and a second and a third
// change would have to follow.
func TestLoadsFollowAShift(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 8))
	const every, choices = 200 * time.Millisecond, 4000
	before, after := skewed(rng, 64), skewed(rng, 64)
	r := RecentLoads{TimeConstant: 500 * time.Millisecond}
	now := time.Unix(1000, 0)
	observe := func(mix []float64) {
		now = now.Add(every)
		r.Observe(now, drawn(rng, mix, choices))
	}
	observe(before)
	for range 40 {
		observe(before)
		is.True(r.Total() > 1.5*choices) // a steady mix is not detected as a shift
	}
	observe(after)
	t.Logf("after one call the loads differ by %.2f from the new mix", distance(r.Loads(), after))
	is.True(distance(r.Loads(), after) < 0.15) // 0.38 without the detection of shifts
	observe(after)
	is.True(distance(r.Loads(), after) < 0.1)
}
