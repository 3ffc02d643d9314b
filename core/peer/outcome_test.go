package peer

import (
	"testing"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/outcome"
)

// Guards against an outcome that changes when it is sent from one process to another.
func TestOutcomesOnTheWire(t *testing.T) {
	for _, o := range []outcome.Outcome{outcome.Unknown, outcome.Complete, outcome.NotRun, outcome.Failed} {
		if got := FromWire(ToWire(o)); got != o {
			t.Errorf("%v arrives as %v", o, got)
		}
	}
	if got := FromWire(wire.Outcome(99)); got != outcome.Unknown {
		t.Errorf("the unknown wire outcome 99 arrives as %v", got)
	}
}
