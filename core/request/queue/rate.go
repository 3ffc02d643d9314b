package queue

import (
	"math"
	"time"
)

const (
	// sampleInterval is the shortest span over which a rate is taken.
	sampleInterval = 200 * time.Millisecond
	// rateMemory is the time constant of the moving average.
	rateMemory = 3 * time.Second
	// minRate keeps waits finite, in tokens a second.
	minRate = 1
)

// meter learns the service rate of the target in tokens a second.
//
// A target with free slots serves less than it could, so that a sample taken
// then may raise the estimate but never lower it. Without this, a quiet hour
// would teach the queue that the target is slow, and the first burst after it
// would be shed for nothing.
type meter struct {
	rate   float64
	start  time.Time
	tokens int64
	// slack says that a slot was free at some time in the sample.
	slack bool
}

func (m *meter) observe(tokens int64, saturated bool, now time.Time) {
	if m.start.IsZero() {
		m.start = now
		m.slack = !saturated
	}
	m.tokens += tokens
	m.slack = m.slack || !saturated
	span := now.Sub(m.start)
	if span < sampleInterval {
		return
	}
	m.take(float64(m.tokens)/span.Seconds(), span)
	m.start, m.tokens, m.slack = now, 0, !saturated
}

func (m *meter) take(sample float64, span time.Duration) {
	if m.slack && sample <= m.rate {
		return
	}
	gain := 1 - math.Exp(-span.Seconds()/rateMemory.Seconds())
	m.rate = max(minRate, m.rate+gain*(sample-m.rate))
}

// seconds returns how long the target takes for tokens of work.
func (m *meter) seconds(tokens float64) float64 {
	return tokens / max(minRate, m.rate)
}
