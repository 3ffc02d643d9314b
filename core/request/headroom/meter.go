package headroom

import (
	"slices"
	"time"
)

const (
	// passSpread is how far apart the events of one pass arrive, at most.
	passSpread = 25 * time.Millisecond
	// minSamples is how many streams have to agree on a pass. A single one may have been
	// resumed or delayed on its way.
	minSamples = 2
	// maxSamples bounds the pauses that are kept for one pass.
	maxSamples = 64
	// currentValid is how long after the last event of a group nothing is known of its passes.
	currentValid = 600 * time.Millisecond
)

// Meter measures the passes of a group by the pauses between the events of its streams. The zero
// value is ready to use.
type Meter struct {
	since   time.Time
	samples []time.Duration
	// last is the last pass that enough streams have agreed on.
	last time.Duration
}

// Observe records the pause before an event that has arrived. It returns the time of the previous
// pass once the first event of another one arrives: the median of the pauses that ended with it.
func (m *Meter) Observe(pause time.Duration, now time.Time) (pass time.Duration, ok bool) {
	if now.Sub(m.since) > passSpread {
		if pass, ok = m.median(); ok {
			m.last = pass
		}
		m.since, m.samples = now, m.samples[:0]
	}
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, pause)
	}
	return pass, ok
}

// median returns the median of the pauses, or false if there are too few.
func (m *Meter) median() (time.Duration, bool) {
	if len(m.samples) < minSamples {
		return 0, false
	}
	slices.Sort(m.samples)
	return m.samples[(len(m.samples)-1)/2], true
}

// Current returns how long the passes of the group take now: the last one, or the one in progress if
// it has lasted longer already. The streams of the group have to be several, or it may just be that
// none has an event to send. It reports false if no pass is known of late.
func (m *Meter) Current(now time.Time) (pass time.Duration, ok bool) {
	pass = m.last
	if ending, ok := m.median(); ok {
		pass = ending
	}
	since := now.Sub(m.since)
	if pass == 0 || since > currentValid {
		return 0, false
	}
	return max(pass, since), true
}
