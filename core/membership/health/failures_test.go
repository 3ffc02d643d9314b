package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Several targets of a service fail at the same time: with a few of them it is their own fault, with
// many that of the service, and none is better than another.
func TestFewTargetsFailOnTheirOwn(t *testing.T) {
	for _, tt := range []struct {
		failing, targets int
		few              bool
	}{{1, 63, true}, {4, 63, true}, {15, 63, true}, {16, 63, false}, {1, 4, true}, {1, 3, false}, {2, 2, false}} {
		is.New(t).Equal(FewFail(tt.failing, tt.targets), tt.few)
	}
}

// A target that failed a request long ago, and has had none since, counts as failing for ever.
func TestFailureIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)
	is.True(!FailsNow(time.Time{}, now))
	is.True(FailsNow(now.Add(-strikeWindow), now))
	is.True(!FailsNow(now.Add(-strikeWindow-1), now))
}
