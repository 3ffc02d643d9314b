package rank

import (
	"math"
	"math/rand/v2"
	"time"
)

// Drift generates the loads of a group's experts, which oscillate, each with a
// phase of its own. Ranks with the same settings compute the same loads.
type Drift struct {
	Seed    uint64
	Experts int
	// Period is the period of the oscillation; 0 keeps the loads constant.
	Period time.Duration
	// Depth is the amplitude of the logarithm of a load.
	Depth float64
	// Lag is the age of load reports.
	Lag time.Duration
}

// At returns the loads of a layer's experts at a wall-clock time.
func (d Drift) At(layer int, at time.Time) []float64 {
	rng := rand.New(rand.NewPCG(d.Seed, uint64(layer)))
	turn := 0.0
	if d.Period > 0 {
		turn = float64(at.UnixMilli()) / float64(d.Period.Milliseconds())
	}
	loads := make([]float64, d.Experts)
	for e := range loads {
		phase, own := rng.Float64(), 0.5+rng.Float64()
		loads[e] = own * math.Exp(d.Depth*math.Sin(2*math.Pi*(turn+phase)))
	}
	return loads
}
