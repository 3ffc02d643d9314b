package groups

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/expert"
)

func TestTracesDependOnTheSeedAlone(t *testing.T) {
	is := is.New(t)
	a, b, other := traces(seed), traces(seed), traces(seed+100)
	for i := range a {
		is.Equal(a[i].loads[intervals-1][0], b[i].loads[intervals-1][0])
		is.Equal(a[i].protected, b[i].protected)
		is.True(a[i].loads[1][0][0] != other[i].loads[1][0][0])
	}
}

func TestReportsAreLateAndIncomplete(t *testing.T) {
	is := is.New(t)
	tr := traces(seed)[lagAndGaps]
	lost, gaps, seen := 0, 0, 0
	for i := range intervals {
		u, loads := tr.report(i, 0)
		is.Equal(u, i-3)
		if loads == nil {
			lost++
		}
		for _, load := range loads {
			seen++
			if math.IsNaN(load) {
				gaps++
			}
		}
	}
	is.True(lost > intervals/5 && lost < intervals/2)
	is.True(gaps > seen/40 && gaps < seen/10)
}

// swapAt is a rebalancer that replaces all maps once, at the given time, and
// reports 7 moves.
type swapAt struct {
	at   time.Time
	maps []expert.Map
}

func (s *swapAt) next(now time.Time, maps []expert.Map, _ []*expert.Estimator, _ int) ([]expert.Map, int) {
	if !now.Equal(s.at) {
		return maps, 0
	}
	return s.maps, 7
}

// A plan that takes effect in the middle of an interval contributes to the skew
// of the interval in proportion to time, and no other plan is made while it is
// loading.
func TestPlayWaitsForTheStore(t *testing.T) {
	is := is.New(t)
	g := newGroup(32, 4)
	tr := traces(seed)[slowDrift]
	better := make([]expert.Map, layers)
	for l := range better {
		better[l] = expert.Place(g, tr.loads[102][l])
	}
	slow := simulate(tr, g, &swapAt{after(100), better}, func(int) time.Duration { return 5 * interval / 2 })
	is.Equal(slow.moves, 7)
	is.Equal(slow.switches, 1)
	is.Equal(slow.blocked, 2)
	fast := simulate(tr, g, &swapAt{after(100), better}, switchOnly)
	never := simulate(tr, g, static{}, switchOnly)
	is.True(fast.mean < slow.mean)
	is.True(slow.mean < never.mean)
}
