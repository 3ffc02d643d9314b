package health

import (
	"time"
)

// refillProbes adds the probes that have accumulated since the last tick.
func (m *Monitor) refillProbes(now time.Time) {
	if !m.ticked.IsZero() {
		m.probes += m.opt.ProbeRate * now.Sub(m.ticked).Seconds()
	}
	m.ticked = now
	m.probes = min(m.probes, probeBurst)
}

// grantProbe spends a probe on a half-open target, if one is due and available.
// Probes are callers' requests, and many of them fail: without a limit an
// entry with fifty failing targets would spend a tenth of its requests on
// finding out that they still fail.
func (m *Monitor) grantProbe(t *target, now time.Time) bool {
	if m.probes < 1 || now.Before(t.probeAt) {
		return false
	}
	m.probes--
	t.probeAt = now.Add(probeInterval)
	return true
}

func (m *Monitor) share(t *target, now time.Time) float64 {
	switch t.state {
	case Healthy:
		return 1
	case SlowStart:
		part := now.Sub(t.since).Seconds() / m.opt.SlowStart.Seconds()
		return min(1, slowStartShare+(1-slowStartShare)*part)
	default:
		return 0
	}
}
