package expert

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an estimate of another mix of work that hides the counts.
func TestCountsReplaceAnotherMix(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 5))
	const choices = 2000
	earlier, demand := skewed(rng, 64), skewed(rng, 64)
	for _, c := range []struct {
		name  string
		prior []float64
		most  float64
	}{
		{"another mix", earlier, 0.1},
		{"the same mix", demand, 0.1},
	} {
		r := RecentLoads{TimeConstant: 500 * time.Millisecond}
		r.SetPrior(c.prior, choices)
		r.Observe(time.Unix(1000, 0), drawn(rng, demand, choices))
		got := distance(r.Loads(), demand)
		t.Logf("%s: the loads differ by %.2f from the demand", c.name, got)
		is.True(got < c.most)
	}
}

// Guards against an estimate that is dropped since few counts differ from it by chance.
func TestFewCountsKeepTheEstimate(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 5))
	demand := skewed(rng, 64)
	for range 20 {
		r := RecentLoads{TimeConstant: 500 * time.Millisecond}
		r.SetPrior(demand, 1000)
		r.Observe(time.Unix(1000, 0), drawn(rng, demand, 60))
		is.True(r.Total() > 1000)
	}
}

// Guards against a first map made from loads of a demand that changes all the time: it leaves the
// group as skewed as the first map of the servers, and delays the change that would not.
func TestEarlierLoadsNeedASteadyDemand(t *testing.T) {
	is := is.New(t)
	s := newShiftingGroup(1)
	before := s.loads
	s.shift()
	is.True(!Steady(Difference(before, s.loads)))
	var drawnOnce, drawnTwice [][]float64
	for _, mix := range s.loads {
		drawnOnce = append(drawnOnce, drawn(s.rng, mix, 40000))
		drawnTwice = append(drawnTwice, drawn(s.rng, mix, 40000))
	}
	is.True(Steady(Difference(drawnOnce, drawnTwice)))
	is.True(!Steady(Difference(s.loads, s.loads[1:])))
	is.True(!Steady(Difference(nil, nil)))
}
