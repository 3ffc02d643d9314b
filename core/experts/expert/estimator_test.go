package expert

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func minute(i int) time.Time { return start.Add(time.Duration(i) * time.Minute) }

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

// The total traffic rises, and no expert gets a larger share of it. If the rise
// counted as a trend, the planner would move experts for no benefit.
func TestRiseOfAllTrafficIsNoTrend(t *testing.T) {
	is := is.New(t)
	est := NewEstimator(2, Smoothing{})
	for i := range 10 {
		est.Observe(minute(i), []float64{100 * float64(i+1), 300 * float64(i+1)})
	}
	got := est.Forecast(nil, minute(15))
	is.True(near(got[0], 0.5, 1e-6))
	is.True(near(got[1], 1.5, 1e-6))
}

func TestForecastFollowsTrend(t *testing.T) {
	is := is.New(t)
	est := NewEstimator(64, Smoothing{})
	rng := rand.New(rand.NewPCG(1, 2))
	loads := make([]float64, 64)
	at := func(i int) float64 { return math.Exp(0.08 * float64(i)) }
	for i := range 20 {
		for e := range loads {
			loads[e] = 20 * (1 + 0.01*rng.NormFloat64())
		}
		loads[0] = at(i)
		est.Observe(minute(i), loads)
	}
	got := est.Forecast(nil, minute(22))
	ratio := got[0] / got[1] * 20 / at(22)
	is.True(near(ratio, 1, 0.08)) // 8% a minute: 24% off without the trend
	is.True(near(got[2]/got[1], 1, 0.03))
}

// Reports may arrive out of order. An old one that arrives last must not
// overwrite the loads, or experts would be moved to where they were needed
// minutes ago.
func TestOldReportIsIgnored(t *testing.T) {
	is := is.New(t)
	est := NewEstimator(2, Smoothing{})
	est.Observe(minute(5), []float64{1, 3})
	est.Observe(minute(4), []float64{3, 1})
	est.Observe(minute(5), []float64{3, 1})
	is.True(near(est.Forecast(nil, minute(5))[1], 1.5, 1e-9))
	is.Equal(est.Age(minute(7)), 2*time.Minute)
}

// A report lacks the most loaded expert. If the missing value counted as no
// load, all other shares would seem to double and that expert would lose its
// replicas.
func TestGapKeepsShares(t *testing.T) {
	is := is.New(t)
	est := NewEstimator(3, Smoothing{})
	est.Observe(minute(0), []float64{1, 1, 4})
	est.Observe(minute(1), []float64{1, 1, math.NaN()})
	est.Observe(minute(2), []float64{1, -1, math.Inf(1)})
	got := est.Forecast(nil, minute(2))
	is.True(near(got[0], 0.5, 0.01))
	is.True(near(got[2], 2, 0.01))
	est.Observe(minute(3), []float64{1})
	is.Equal(est.Age(minute(3)), time.Minute) // a report of another length is ignored
}

func TestSuddenChangeIsFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	est := NewEstimator(2, Smoothing{})
	for i := range 10 {
		est.Observe(minute(i), []float64{1, 3})
	}
	est.Observe(minute(10), []float64{3, 1})
	got := est.Forecast(nil, minute(12))
	is.True(near(got[0], 1.5, 0.01))
	is.True(near(got[1], 0.5, 0.01))
}

func TestConfidenceFallsWithAge(t *testing.T) {
	is := is.New(t)
	est := NewEstimator(2, Smoothing{})
	is.Equal(est.Confidence(start), 0.0)
	is.Equal(est.Age(start), time.Duration(math.MaxInt64))
	for i := range 5 {
		est.Observe(minute(i), []float64{1, 3})
	}
	fresh := est.Confidence(minute(4))
	is.True(near(fresh, 1, 0.01))
	is.True(est.Confidence(minute(9)) < fresh)
	is.Equal(est.Confidence(minute(20)), 0.0)
	est.Observe(minute(5), []float64{3, 1})
	is.True(est.Confidence(minute(5)) < 0.7) // the forecast was wrong
}
