package health

import "time"

const (
	// rareFailures is the part of the answers of one kind of request that may be failures
	// for a further one to say something of its target: otherwise the requests themselves
	// may be at fault.
	rareFailures = 0.05
	// rateSamples is how many answers must have been seen.
	rateSamples = 20
	// rateGain is the weight of one answer.
	rateGain = 0.01
	// strikesNeeded is how many failures within strikeSpan make an entry doubt a target.
	strikesNeeded = 2
	strikeSpan    = 5 * time.Second
)

// FailureRate learns how often requests of one kind fail, whatever the target. The zero
// value has seen none.
type FailureRate struct {
	rate float64
	n    int
}

// Observe takes one answer.
func (f *FailureRate) Observe(failed bool) {
	f.n++
	x := 0.0
	if failed {
		x = 1
	}
	f.rate += max(rateGain, 1/float64(f.n)) * (x - f.rate)
}

// Rare reports whether failures of this kind are so rare that one says something of its
// target.
func (f *FailureRate) Rare() bool { return f.n >= rateSamples && f.rate <= rareFailures }

// Strikes counts the failures of one target that say something of it. The zero value has
// none.
type Strikes struct {
	last time.Time
	n    int
}

// Add counts a failure, and reports whether the target should be doubted now.
func (s *Strikes) Add(now time.Time) bool {
	if now.Sub(s.last) > strikeSpan {
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
