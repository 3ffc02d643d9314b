package expert

import (
	"math"
	"time"
)

// RecentLoads keeps how much each expert of a layer was chosen lately. It sums
// counts that are read first-hand several times a second and forgets them with
// a time constant, where an Estimator forecasts from late reports with gaps.
type RecentLoads struct {
	// TimeConstant is the time constant of forgetting.
	TimeConstant time.Duration

	loads []float64
	at    time.Time
	// usual is how much the counts of one call differ from the loads on average:
	// 0 for the same proportions, 1 for none in common.
	usual float64
}

const (
	// shiftFactor is how many times the usual difference shows that other experts
	// are in demand, and shiftKeep the part of the loads that is kept then: what
	// was counted before would hide the change for a memory's time. One call after
	// a shift the loads differ by 0.10 from the new mix, without this by 0.38
	// (TestLoadsFollowAShift).
	shiftFactor = 1.3
	shiftKeep   = 0.1
	// usualGain is the weight of one call in the usual difference.
	usualGain = 0.05
)

// shifted reports whether the counts of a call show that other experts are in
// demand, and learns what is usual.
func (r *RecentLoads) shifted(chosen []float64) bool {
	a, b := sum(r.loads), sum(chosen)
	if a <= 0 || len(r.loads) != len(chosen) {
		return false
	}
	differ := 0.0
	for e, n := range chosen {
		differ += math.Abs(r.loads[e]/a - n/b)
	}
	differ /= 2
	if r.usual == 0 {
		r.usual = differ
		return false
	}
	if differ > shiftFactor*r.usual {
		return true
	}
	r.usual += usualGain * (differ - r.usual)
	return false
}

// SetPrior sets the loads before the first call of Observe, as far as they are
// guessed. The total says for how much work the guess stands.
func (r *RecentLoads) SetPrior(guess []float64, total float64) {
	r.loads = append([]float64(nil), guess...)
	if s := sum(guess); s > 0 {
		for e := range r.loads {
			r.loads[e] *= total / s
		}
	}
}

// Observe adds what was chosen since the last call. A time without any work is
// no time: what was chosen before it is still the best guess after it.
func (r *RecentLoads) Observe(now time.Time, chosen []float64) {
	if sum(chosen) <= 0 {
		r.at = now
		return
	}
	if len(r.loads) != len(chosen) {
		r.loads = make([]float64, len(chosen))
	}
	if !r.at.IsZero() && r.TimeConstant > 0 {
		keep := math.Exp(-now.Sub(r.at).Seconds() / r.TimeConstant.Seconds())
		if r.shifted(chosen) {
			keep *= shiftKeep
		}
		for e := range r.loads {
			r.loads[e] *= keep
		}
	}
	r.at = now
	for e, n := range chosen {
		r.loads[e] += n
	}
}

// Loads returns the loads of the experts; only their proportions matter. It is
// empty before the first call of Observe.
func (r *RecentLoads) Loads() []float64 { return r.loads }

// Total returns the sum of the loads.
func (r *RecentLoads) Total() float64 { return sum(r.loads) }
