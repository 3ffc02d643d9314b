package expert

import (
	"math"
	"slices"
	"time"
)

// Smoothing holds the parameters of an Estimator. Zero fields take the default
// values below.
type Smoothing struct {
	// Level is the time constant of the level.
	Level time.Duration
	// Trend is the time constant of the trend.
	Trend time.Duration
	// Damping is the time constant with which a trend is expected to decay.
	Damping time.Duration
	// MaxAge is the age from which a report no longer counts in the confidence.
	MaxAge time.Duration
	// Jump is the relative change that counts as sudden: the level follows it
	// at once, without smoothing.
	Jump float64
}

// The default values of Smoothing, for about one report per minute.
const (
	DefaultLevel   = 45 * time.Second
	DefaultTrend   = 2 * time.Minute
	DefaultDamping = 8 * time.Minute
	DefaultMaxAge  = 10 * time.Minute
	DefaultJump    = 0.3
)

// levelFloor keeps the relative errors of nearly idle experts finite.
// errorWeight converts the mean relative error into the accuracy factor of the
// confidence.
const (
	levelFloor      = 0.01
	errorWeight     = 5.0
	errorMemory     = 0.3
	noiseFactor     = 4.0
	typicalInterval = time.Minute
	minVariance     = 1e-30
)

// Estimator estimates the share of traffic of each expert of one layer, with
// its trend and the age of the reports. Shares have a mean of 1, so that a rise
// of the total traffic isn't taken for a trend.
//
// The method is Holt's double exponential smoothing with a damped trend
// (Gardner and McKenzie, 1985), with smoothing factors that depend on the time
// between reports.
type Estimator struct {
	smoothing     Smoothing
	level         []float64
	trend         []float64
	meanError     []float64
	jumpDirection []int8
	lastReport    []time.Time
	newest        time.Time
	residuals     []float64
	noise         float64 // square of the trend that noise alone would show
}

// NewEstimator returns an estimator whose initial forecast is equal loads.
func NewEstimator(experts int, s Smoothing) *Estimator {
	est := &Estimator{
		smoothing:     s.withDefaults(),
		level:         make([]float64, experts),
		trend:         make([]float64, experts),
		meanError:     make([]float64, experts),
		jumpDirection: make([]int8, experts),
		lastReport:    make([]time.Time, experts),
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

// Observe records a report of the loads measured at the given time, in any
// unit. A value that is NaN, infinite or negative is missing. A report that is
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
		if isReported(load) {
			est.residuals = append(est.residuals, math.Abs(est.observe(e, at, load*scale)))
		}
	}
	est.updateNoise()
}

// updateNoise estimates from the median residual the trend that noise alone
// would show.
func (est *Estimator) updateNoise() {
	slices.Sort(est.residuals)
	median := est.residuals[len(est.residuals)/2]
	a, b := smoothingFactor(typicalInterval, est.smoothing.Level), smoothingFactor(typicalInterval, est.smoothing.Trend)
	drift := noiseFactor * a * b * median / typicalInterval.Seconds()
	est.noise += errorMemory * (drift*drift - est.noise)
}

// scale returns the factor that converts the reported loads into shares. The
// experts without a value are assumed to have kept their share of the traffic.
func (est *Estimator) scale(loads []float64) float64 {
	reported, before, all := 0.0, 0.0, 0.0
	for e, load := range loads {
		if isReported(load) {
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

func isReported(load float64) bool { return load >= 0 && !math.IsInf(load, 1) }

// observe records one share and returns the residual of the forecast, as a
// logarithm.
func (est *Estimator) observe(e int, at time.Time, share float64) float64 {
	first := est.lastReport[e].IsZero()
	dt := at.Sub(est.lastReport[e])
	est.lastReport[e] = at
	value := math.Log(max(share, levelFloor))
	if first {
		est.level[e] = value
		return 0
	}
	expected := est.logForecast(e, dt)
	residual := value - expected
	est.meanError[e] += errorMemory * (min(math.Abs(residual), 1) - est.meanError[e])
	est.trend[e] *= math.Exp(-dt.Seconds() / est.smoothing.Damping.Seconds())
	a, b := smoothingFactor(dt, est.smoothing.Level), smoothingFactor(dt, est.smoothing.Trend)
	jumpDirection := directionOf(residual, est.smoothing.Jump)
	again := jumpDirection == est.jumpDirection[e]
	est.jumpDirection[e] = jumpDirection
	if jumpDirection != 0 {
		est.level[e] = value
		if again {
			est.trend[e] += a * b * float64(jumpDirection) * est.smoothing.Jump / dt.Seconds()
		}
		return residual
	}
	est.level[e] = expected + a*residual
	est.trend[e] += a * b * residual / dt.Seconds()
	return residual
}

// directionOf returns the sign of a residual, or 0 when it is no larger than
// the limit.
func directionOf(residual, limit float64) int8 {
	if math.Abs(residual) <= limit {
		return 0
	}
	if residual > 0 {
		return 1
	}
	return -1
}

func smoothingFactor(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/constant.Seconds())
}

// logForecast returns the logarithm of the share that is expected at the given
// time after the last report. A trend that can't be distinguished from noise
// counts little.
func (est *Estimator) logForecast(e int, d time.Duration) float64 {
	damping := est.smoothing.Damping.Seconds()
	trend := est.trend[e]
	trend *= trend * trend / (trend*trend + est.noise + minVariance)
	return est.level[e] + trend*damping*(1-math.Exp(-max(d.Seconds(), 0)/damping))
}

// Forecast appends the expected shares at the given time to dst[:0].
func (est *Estimator) Forecast(dst []float64, at time.Time) []float64 {
	dst = dst[:0]
	for e := range est.level {
		value := est.level[e]
		if !est.lastReport[e].IsZero() {
			value = est.logForecast(e, at.Sub(est.lastReport[e]))
		}
		dst = append(dst, math.Exp(value))
	}
	return dst
}

// Age returns the age of the newest report, or the maximum duration when there
// is none.
func (est *Estimator) Age(now time.Time) time.Duration {
	if est.newest.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(est.newest)
}

// Confidence returns the reliability of the forecast, from 0 to 1: the
// freshness of the reports times the accuracy of recent forecasts.
func (est *Estimator) Confidence(now time.Time) float64 {
	fresh, totalError := 0.0, 0.0
	for e := range est.level {
		if !est.lastReport[e].IsZero() {
			fresh += max(0, 1-now.Sub(est.lastReport[e]).Seconds()/est.smoothing.MaxAge.Seconds())
		}
		totalError += est.meanError[e]
	}
	n := float64(len(est.level))
	return min(1, fresh/n) / (1 + errorWeight*totalError/n)
}
