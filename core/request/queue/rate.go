package queue

import (
	"math"
	"time"
)

const (
	// sampleInterval is the shortest span over which a rate is measured.
	sampleInterval = 200 * time.Millisecond
	// rateTimeConstant is the time constant of the moving average.
	rateTimeConstant = 3 * time.Second
	// minRate keeps waits finite, in tokens a second.
	minRate = 1
)

// meter learns the service rate of the target in tokens a second.
//
// A target with free slots serves less than it could, so that a sample taken then may raise the
// estimate but never lower it. Otherwise an idle hour would make the target look slow, and the
// first burst after it would be shed needlessly.
type meter struct {
	rate   float64
	start  time.Time
	tokens int64
	// hadFreeSlot reports whether a slot was free at some time in the sample.
	hadFreeSlot bool
}

func (m *meter) observe(tokens int64, saturated bool, now time.Time) {
	if m.start.IsZero() {
		m.start = now
		m.hadFreeSlot = !saturated
	}
	m.tokens += tokens
	m.hadFreeSlot = m.hadFreeSlot || !saturated
	span := now.Sub(m.start)
	if span < sampleInterval {
		return
	}
	m.addSample(float64(m.tokens)/span.Seconds(), span)
	m.start, m.tokens, m.hadFreeSlot = now, 0, !saturated
}

func (m *meter) addSample(sample float64, span time.Duration) {
	if m.hadFreeSlot && sample <= m.rate {
		return
	}
	gain := 1 - math.Exp(-span.Seconds()/rateTimeConstant.Seconds())
	m.rate = max(minRate, m.rate+gain*(sample-m.rate))
}

// seconds returns how long the target takes for the given tokens of work.
func (m *meter) seconds(tokens float64) float64 {
	return tokens / max(minRate, m.rate)
}
