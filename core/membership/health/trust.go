package health

import (
	"math"
	"time"
)

// trust counts how a target's lagging reports agree with its agent.
type trust struct {
	wrong, right int
	lost         bool
}

const (
	// maxApart is how far apart in time two loads may be taken and still be
	// compared: queues change in that time by less than the factor below.
	maxApart = time.Second
	// contradiction is the factor between two loads that can't both be true,
	// and contradictionFloor the tokens up to which any two agree.
	contradiction      = 4
	contradictionFloor = 2000
	// wrongToLose and rightToRegain are how many comparisons in a row change
	// the trust: losing it is cheap, since the agents' word remains.
	wrongToLose   = 3
	rightToRegain = 20
)

// CompareLoads holds a lagging report of target i against its agent's word: the
// work queued at both, and the time between the moments they were taken. A
// target that reports itself idle while its queue is long would draw all
// requests of entries that go by reports.
func (m *Monitor) CompareLoads(i int, reported, truth float64, apart time.Duration) {
	if apart.Abs() > maxApart {
		return
	}
	t := &m.targets[i].trust
	low, high := min(reported, truth), max(reported, truth)
	if math.IsNaN(reported) || high > contradictionFloor && high > low*contradiction {
		t.wrong++
		t.right = 0
		t.lost = t.lost || t.wrong >= wrongToLose
		return
	}
	t.wrong = 0
	t.right++
	if t.right >= rightToRegain {
		t.lost = false
	}
}
