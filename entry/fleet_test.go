package main

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/peer/wire"
)

// A limit is shared by the entries, and an entry that can't reach the limit's home
// admits its safe share. If it took the few entries that one agent knows for all
// entries, 390 isolated entries would together admit many times the limit.
func TestEntriesAreEstimatedFromCounts(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	is.Equal(f.estimate(670), 1) // no report yet
	for range countSamples {
		f.record("a", &wire.ExchangeResponse{EntriesHeard: 8})
	}
	n := f.estimate(670) // an entry exchanges heartbeats with 14 of 670 agents
	is.True(n > 350 && n < 430)
	is.Equal(f.estimate(8), 8) // in a small fleet each entry reaches each agent
}
