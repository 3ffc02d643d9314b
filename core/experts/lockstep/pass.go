package lockstep

import (
	"time"
)

const (
	// minLead and maxLead bound how many passes ahead of the group a change is
	// armed, leadTime is the time that it should be: the three moves of a change
	// take a round trip each between instances of a region, some ten
	// milliseconds in all.
	minLead  = 1
	maxLead  = 12
	leadTime = 40 * time.Millisecond
	// tookKept is the part of a longer time from hold to release that is kept
	// when the next change took less: while some orders are not answered, the
	// slowest of all ranks decides, and it differs from change to change.
	tookKept = 0.8
)

// measure records how long the change has taken from its hold. A hold that is
// placed as far ahead as that makes nobody wait.
func (s *Coordinator) measure() {
	if s.heldAt.IsZero() {
		return
	}
	s.took = max(s.now.Sub(s.heldAt), time.Duration(tookKept*float64(s.took)))
	s.heldAt = time.Time{}
}

// passWindow is the span over which the time of a pass is measured. Readings are
// some milliseconds old, each by another time: over a single pass that would be
// half of the result.
const passWindow = 300 * time.Millisecond

// passClock measures how long the passes of a group take.
type passClock struct {
	step int64
	at   time.Time
	took time.Duration
	// windows is over how many spans in a row passes were measured.
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
		p.took = span / time.Duration(n)
		p.windows++
	} else {
		p.windows = 0
	}
	p.step, p.at = step, now
}

// lead returns how many passes ahead a change is armed that takes so long.
//
// A group that was just formed, or that stood idle, begins with passes of a few
// milliseconds and has some of 0.3 s a moment later, when all callers are back. Armed as
// far ahead as the first ones say, its change was in force 2.8 s after it was ready (192
// ranks after a loss of power). So the lead grows with what was seen; that a group is held
// for the length of one change costs less.
func (p *passClock) lead(change time.Duration) int64 {
	if p.took <= 0 {
		return minLead
	}
	return min(max(int64(change/p.took)+1, minLead), minLead+p.windows, maxLead)
}
