package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/engine"
)

// Guards against callers who meet the first map of a group for longer than the first counts need.
func TestFirstChangeIsAwaited(t *testing.T) {
	of := func(version int64, running int) []Rank {
		ranks := make([]Rank, 3)
		for i := range ranks {
			ranks[i] = Rank{Known: true, State: engine.State{Group: "g", Epoch: 2, Rank: i, Size: 3, Open: true, Map: version}}
		}
		ranks[1].State.Running = running
		return ranks
	}
	missing := of(0, 4)
	missing[2].Known = false
	for _, c := range []struct {
		name  string
		ranks []Rank
		since time.Duration
		want  bool
	}{
		{"just formed", of(0, 0), formedWindow - 1, true},
		{"idle", of(0, 0), formedWindow, false},
		{"at work", of(0, 4), time.Hour, true},
		{"changed", of(77, 4), 0, false},
		{"a rank is missing", missing, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(AwaitsFirstChange(c.ranks, c.since), c.want)
		})
	}
}
