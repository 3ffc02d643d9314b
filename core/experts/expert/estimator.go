package expert

import (
	"math"
	"slices"
	"time"
)

// Smoothing holds the time constants of an Estimator. Zero fields take the
// defaults below.
type Smoothing struct {
	// Level is the time constant of the level.
	Level time.Duration
	// Trend is the time constant of the drift.
	Trend time.Duration
	// Damping is how long a drift is expected to go on.
	Damping time.Duration
	// MaxAge is the age at which a report says nothing any more.
	MaxAge time.Duration
	// Jump is the relative change that counts as sudden: the level follows it
	// at once and the drift starts anew.
	Jump float64
}

// The defaults of Smoothing, for reports about once a minute.
const (
	DefaultLevel   = 45 * time.Second
	DefaultTrend   = 2 * time.Minute
	DefaultDamping = 8 * time.Minute
	DefaultMaxAge  = 10 * time.Minute
	DefaultJump    = 0.3
)

// The floor keeps relative errors of near-idle experts finite; errorWeight
// turns the mean relative error into the accuracy part of the confidence.
const (
	levelFloor  = 0.01
	errorWeight = 5.0
	errorMemory = 0.3
	noiseFactor = 4.0
	usual       = time.Minute
	tiny        = 1e-30
)

// Estimator keeps the share of traffic of each expert of one layer, with its
// drift and the age of what it knows. Shares have a mean of 1, so that a rise
// of the whole traffic isn't taken for drift.
//
// The method is Holt's double exponential smoothing with a damped trend
// (Gardner and McKenzie, 1985), with weights from the time between reports.
type Estimator struct {
	smoothing Smoothing
	level     []float64
	trend     []float64
	miss      []float64
	jump      []int8
	seen      []time.Time
	newest    time.Time
	residuals []float64
	noise     float64 // square of the drift that noise would show
}

// NewEstimator returns an estimator that expects equal loads at first.
func NewEstimator(experts int, s Smoothing) *Estimator {
	est := &Estimator{
		smoothing: s.withDefaults(),
		level:     make([]float64, experts),
		trend:     make([]float64, experts),
		miss:      make([]float64, experts),
		jump:      make([]int8, experts),
		seen:      make([]time.Time, experts),
	}
	return est
}

func (s Smoothing) withDefaults() Smoothing {
	if s.Level <= 0 {
		s.Level = DefaultLevel
	}
	if s.Trend <= 0 {
		s.Trend = DefaultTrend
	}
	if s.Damping <= 0 {
		s.Damping = DefaultDamping
	}
	if s.MaxAge <= 0 {
		s.MaxAge = DefaultMaxAge
	}
	if s.Jump <= 0 {
		s.Jump = DefaultJump
	}
	return s
}

// Observe takes in a report of the loads measured at the given time, in any
// unit. A value that is NaN, infinite or negative is a gap. A report that is
// not newer than the newest one is ignored, because late messages may arrive
// out of order; so is a report of another length.
func (est *Estimator) Observe(at time.Time, loads []float64) {
	if len(loads) != len(est.level) || !at.After(est.newest) {
		return
	}
	scale := est.scale(loads)
	if scale <= 0 {
		return
	}
	est.newest = at
	est.residuals = est.residuals[:0]
	for e, load := range loads {
		if known(load) {
			est.residuals = append(est.residuals, math.Abs(est.observe(e, at, load*scale)))
		}
	}
	est.listen()
}

// listen estimates from the median residual how large a drift noise alone
// would show.
func (est *Estimator) listen() {
	slices.Sort(est.residuals)
	median := est.residuals[len(est.residuals)/2]
	a, b := weight(usual, est.smoothing.Level), weight(usual, est.smoothing.Trend)
	drift := noiseFactor * a * b * median / usual.Seconds()
	est.noise += errorMemory * (drift*drift - est.noise)
}

// scale makes the reported loads shares. The experts in a gap are taken to
// have the part of the traffic that they had before.
func (est *Estimator) scale(loads []float64) float64 {
	reported, before, all := 0.0, 0.0, 0.0
	for e, load := range loads {
		if known(load) {
			reported += load
			before += math.Exp(est.level[e])
		}
		all += math.Exp(est.level[e])
	}
	if reported <= 0 || before <= 0 {
		return 0
	}
	return before / all * float64(len(loads)) / reported
}

func known(load float64) bool { return load >= 0 && !math.IsInf(load, 1) }

// observe takes in one share and returns the residual of the forecast, as a
// logarithm.
func (est *Estimator) observe(e int, at time.Time, share float64) float64 {
	first := est.seen[e].IsZero()
	dt := at.Sub(est.seen[e])
	est.seen[e] = at
	value := math.Log(max(share, levelFloor))
	if first {
		est.level[e] = value
		return 0
	}
	expected := est.ahead(e, dt)
	residual := value - expected
	est.miss[e] += errorMemory * (min(math.Abs(residual), 1) - est.miss[e])
	est.trend[e] *= math.Exp(-dt.Seconds() / est.smoothing.Damping.Seconds())
	a, b := weight(dt, est.smoothing.Level), weight(dt, est.smoothing.Trend)
	jump := sign(residual, est.smoothing.Jump)
	again := jump == est.jump[e]
	est.jump[e] = jump
	if jump != 0 {
		est.level[e] = value
		if again {
			est.trend[e] += a * b * float64(jump) * est.smoothing.Jump / dt.Seconds()
		}
		return residual
	}
	est.level[e] = expected + a*residual
	est.trend[e] += a * b * residual / dt.Seconds()
	return residual
}

// sign returns the direction of a sudden change, or 0 when it is no larger
// than the limit.
func sign(residual, limit float64) int8 {
	if math.Abs(residual) <= limit {
		return 0
	}
	if residual > 0 {
		return 1
	}
	return -1
}

func weight(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/constant.Seconds())
}

// ahead returns the logarithm of the share that is expected a time after the
// last report. A drift that can't be told from noise counts little.
func (est *Estimator) ahead(e int, d time.Duration) float64 {
	damping := est.smoothing.Damping.Seconds()
	trend := est.trend[e]
	trend *= trend * trend / (trend*trend + est.noise + tiny)
	return est.level[e] + trend*damping*(1-math.Exp(-max(d.Seconds(), 0)/damping))
}

// Forecast appends the expected shares at the given time to dst[:0].
func (est *Estimator) Forecast(dst []float64, at time.Time) []float64 {
	dst = dst[:0]
	for e := range est.level {
		value := est.level[e]
		if !est.seen[e].IsZero() {
			value = est.ahead(e, at.Sub(est.seen[e]))
		}
		dst = append(dst, math.Exp(value))
	}
	return dst
}

// Age returns the age of the newest report, or the largest duration when
// there was none.
func (est *Estimator) Age(now time.Time) time.Duration {
	if est.newest.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(est.newest)
}

// Confidence returns how far the forecast can be trusted, from 0 to 1: the
// freshness of the reports times the accuracy of the last forecasts.
func (est *Estimator) Confidence(now time.Time) float64 {
	fresh, missed := 0.0, 0.0
	for e := range est.level {
		if !est.seen[e].IsZero() {
			fresh += max(0, 1-now.Sub(est.seen[e]).Seconds()/est.smoothing.MaxAge.Seconds())
		}
		missed += est.miss[e]
	}
	n := float64(len(est.level))
	return min(1, fresh/n) / (1 + errorWeight*missed/n)
}
