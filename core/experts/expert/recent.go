package expert

import (
	"math"
	"time"
)

// RecentLoads tracks how often each expert of a layer was chosen recently. It
// sums counts that are read directly several times a second, with exponential
// decay, whereas an Estimator forecasts from late reports with gaps.
type RecentLoads struct {
	// TimeConstant is the time constant of the decay.
	TimeConstant time.Duration

	loads []float64
	at    time.Time
	// prior says that loads are an estimate alone, which no counts have confirmed.
	prior bool
	// baseline is the average difference between the counts of one call and the
	// loads: 0 for the same proportions, 1 for no expert in common.
	baseline float64
}

const (
	// shiftFactor is the multiple of the baseline difference above which the
	// demand is considered to have shifted to other experts, and shiftKeep the
	// fraction of the loads that is retained then: older counts would hide the
	// shift for about one time constant. One call after a shift the loads differ
	// by 0.10 from the new mix, without this by 0.38 (TestLoadsFollowAShift).
	shiftFactor = 1.3
	shiftKeep   = 0.1
	// baselineGain is the weight of one call in the baseline difference.
	baselineGain = 0.05
)

// shifted reports whether the counts of a call show a shift of the demand to
// other experts. If not, it updates the baseline.
func (r *RecentLoads) shifted(chosen []float64) bool {
	if sum(r.loads) <= 0 {
		return false
	}
	difference := difference(r.loads, chosen)
	if r.baseline == 0 {
		r.baseline = difference
		return false
	}
	if difference > shiftFactor*r.baseline {
		return true
	}
	r.baseline += baselineGain * (difference - r.baseline)
	return false
}

// SetPrior sets an estimate of the loads before the first call of Observe. The
// total is the number of choices that the estimate counts as. Counts that differ from it replace
// it, as after a shift.
func (r *RecentLoads) SetPrior(estimate []float64, total float64) {
	r.loads, r.prior = append([]float64(nil), estimate...), true
	if s := sum(estimate); s > 0 {
		for e := range r.loads {
			r.loads[e] *= total / s
		}
	}
}

// Observe adds the counts since the last call. The loads don't decay while there
// is no work: the earlier counts are still the best estimate afterwards.
func (r *RecentLoads) Observe(now time.Time, chosen []float64) {
	if sum(chosen) <= 0 {
		r.at = now
		return
	}
	if len(r.loads) != len(chosen) {
		r.loads = make([]float64, len(chosen))
	}
	switch {
	case r.prior:
		r.prior = false
		if unlike(r.loads, chosen) {
			r.scale(shiftKeep)
		}
	case !r.at.IsZero() && r.TimeConstant > 0:
		keep := math.Exp(-now.Sub(r.at).Seconds() / r.TimeConstant.Seconds())
		if r.shifted(chosen) {
			keep *= shiftKeep
		}
		r.scale(keep)
	}
	r.at = now
	for e, n := range chosen {
		r.loads[e] += n
	}
}

func (r *RecentLoads) scale(by float64) {
	for e := range r.loads {
		r.loads[e] *= by
	}
}

// Loads returns the loads of the experts; only their proportions matter. It is
// empty before the first call of Observe.
func (r *RecentLoads) Loads() []float64 { return r.loads }

// Total returns the sum of the loads.
func (r *RecentLoads) Total() float64 { return sum(r.loads) }
