package main

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/peer/wire"
)

// A limit is shared by the entries, and one that is cut off admits its safe
// part. If it took the few entries that an agent has heard for all there are,
// 390 cut-off entries would together admit many times the limit.
func TestEntriesAreEstimatedFromCounts(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	is.Equal(f.estimate(670), 1) // nothing heard yet
	for range keptCounts {
		f.heard("a", &wire.ExchangeResponse{EntriesHeard: 8})
	}
	n := f.estimate(670) // an entry meets 14 of 670 agents
	is.True(n > 350 && n < 430)
	is.Equal(f.estimate(8), 8) // in a small fleet everybody meets everybody
}
