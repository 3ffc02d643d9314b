package health

import (
	"math"
	"time"
)

// trust counts consecutive mismatches and matches between a target's delayed load
// reports and those of its agent.
type trust struct {
	mismatches, matches int
	revoked             bool
}

const (
	// maxTimeApart is the largest time between two load readings that are compared:
	// queues change in that time by less than the factor below.
	maxTimeApart = time.Second
	// contradiction is the factor between two loads that cannot both be true, and
	// contradictionFloor the number of tokens up to which any two loads agree.
	contradiction      = 4
	contradictionFloor = 2000
	// mismatchesToRevoke and matchesToRestore are how many consecutive comparisons
	// change the trust. Revoking it is cheap, since the agents' reports remain.
	mismatchesToRevoke = 3
	matchesToRestore   = 20
)

// CompareLoads compares a delayed load report of target i with its agent's: the work
// queued according to each, and the time between the two readings. A target that
// reports itself idle while its queue is long would attract all requests of entries
// that rely on reports.
func (m *Monitor) CompareLoads(i int, reported, fromAgent float64, apart time.Duration) {
	if apart.Abs() > maxTimeApart {
		return
	}
	t := &m.targets[i].trust
	low, high := min(reported, fromAgent), max(reported, fromAgent)
	if math.IsNaN(reported) || high > contradictionFloor && high > low*contradiction {
		t.mismatches++
		t.matches = 0
		t.revoked = t.revoked || t.mismatches >= mismatchesToRevoke
		return
	}
	t.mismatches = 0
	t.matches++
	if t.matches >= matchesToRestore {
		t.revoked = false
	}
}
