package health

import "time"

const (
	// maxRareRate is the largest failure rate of one kind of request at which a failure
	// counts as evidence against its target: above it the requests themselves may be at fault.
	maxRareRate = 0.05
	// rateSamples is how many answers are needed before the rate is used.
	rateSamples = 20
	// rateGain is the weight of one answer.
	rateGain = 0.01
	// strikesNeeded is how many failures within strikeWindow make an entry suspect a target.
	strikesNeeded = 2
	strikeWindow  = 5 * time.Second
	// maxFailingPart is the largest part of a service's targets, one in so many, that may fail at the
	// same time for it to be their own fault.
	maxFailingPart = 4
)

// FailureRate estimates how often requests of one kind fail, whatever the target. The zero
// value has no samples.
type FailureRate struct {
	rate float64
	n    int
}

// Observe records one answer.
func (f *FailureRate) Observe(failed bool) {
	f.n++
	x := 0.0
	if failed {
		x = 1
	}
	f.rate += max(rateGain, 1/float64(f.n)) * (x - f.rate)
}

// Rare reports whether failures of this kind are so rare that one is evidence against its
// target.
func (f *FailureRate) Rare() bool { return f.n >= rateSamples && f.rate <= maxRareRate }

// FailsNow reports whether a target that failed a request at a time, and has served none since, still
// counts as failing.
func FailsNow(failedAt, now time.Time) bool {
	return !failedAt.IsZero() && now.Sub(failedAt) <= strikeWindow
}

// FewFail reports whether so few targets of a service fail at the same time that it is their own
// fault. If more do, the service is at fault and none of them is better than another.
func FewFail(failing, targets int) bool { return failing*maxFailingPart <= targets }

// Strikes counts the failures of one target that are evidence against it. The zero value
// has none.
type Strikes struct {
	last time.Time
	n    int
}

// Add counts a failure, and reports whether the target should be suspected now.
func (s *Strikes) Add(now time.Time) bool {
	if now.Sub(s.last) > strikeWindow {
		s.n = 0
	}
	s.n++
	s.last = now
	if s.n < strikesNeeded {
		return false
	}
	s.n = 0
	return true
}
