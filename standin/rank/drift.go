package rank

import (
	"math"
	"math/rand/v2"
	"time"
)

// Drift makes the loads of a group's experts, which swell and ebb, each in its
// own time. All ranks with the same settings see the same loads.
type Drift struct {
	Seed    uint64
	Experts int
	// Period is the time of one swell; 0 keeps the loads as they are.
	Period time.Duration
	// Depth is how far the logarithm of a load swings.
	Depth float64
	// Lag is the age of reports.
	Lag time.Duration
}

// At returns the loads of a layer's experts at a wall time.
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
