package lockstep

import (
	"time"
)

const (
	// minLead and maxLead bound how many passes ahead of the group a change is armed; leadTime
	// is how far ahead it should be. The three moves of a change take a round trip each
	// between instances of a region, some ten milliseconds in all.
	minLead  = 1
	maxLead  = 12
	leadTime = 40 * time.Millisecond
	// changeTimeDecay is the fraction of a longer time from hold to release that is retained
	// when the next change took less: while some orders are not answered, the slowest of all
	// ranks determines the time, and it differs from change to change.
	changeTimeDecay = 0.8
)

// recordChangeTime records how long the change has taken since its hold. A hold that is placed
// that far ahead makes no rank wait.
func (s *Coordinator) recordChangeTime() {
	if s.heldAt.IsZero() {
		return
	}
	s.changeTime = max(s.now.Sub(s.heldAt), time.Duration(changeTimeDecay*float64(s.changeTime)))
	s.heldAt = time.Time{}
}

// passWindow is the span over which the time of a pass is measured. Readings are some
// milliseconds old, each by a different amount: over a single pass that error would be half of
// the result.
const passWindow = 300 * time.Millisecond

// passClock measures how long the passes of a group take.
type passClock struct {
	step    int64
	at      time.Time
	perPass time.Duration
	// windows is over how many consecutive spans passes were measured.
	windows int64
}

func (p *passClock) observe(step int64, now time.Time) {
	if p.at.IsZero() || step < p.step {
		p.step, p.at = step, now
		return
	}
	span := now.Sub(p.at)
	if span < passWindow {
		return
	}
	if n := step - p.step; n > 0 {
		p.perPass = span / time.Duration(n)
		p.windows++
	} else {
		p.windows = 0
	}
	p.step, p.at = step, now
}

// lead returns how many passes ahead to arm a change that takes the given time.
//
// A group that was just formed, or that was idle, begins with passes of a few milliseconds and
// has some of 0.3 s a moment later, when all callers have reconnected. Armed as far ahead as
// the first passes suggest, its change was in force 2.8 s after it was ready (192 ranks after
// a loss of power). So the lead grows with the number of measured spans; holding the group for
// the length of one change costs less.
func (p *passClock) lead(change time.Duration) int64 {
	if p.perPass <= 0 {
		return minLead
	}
	return min(max(int64(change/p.perPass)+1, minLead), minLead+p.windows, maxLead)
}
