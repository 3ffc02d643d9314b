package queue

import (
	"testing"

	"github.com/matryer/is"
)

// After a stall more requests are at the engines than they have slots, and those
// that wait there are served in the order in which they came, late or not. The
// entries come down together to what the engines can run.
func TestAllowedUnderFullSlots(t *testing.T) {
	is := is.New(t)
	full := Engines{Slots: 192, Running: 192, Queued: 48}
	sum := 0
	for _, own := range []int{120, 60, 40, 20} {
		allowed := Allowed(full, own)
		is.True(allowed < own)
		sum += allowed
	}
	is.Equal(sum, 192)
}

// A few entries have nearly all of the requests and one has hardly any. Each may use
// its part of the free slots, and the last one a quarter: callers may come to it at
// any time.
func TestAllowedWithFreeSlots(t *testing.T) {
	is := is.New(t)
	e := Engines{Slots: 192, Running: 92}
	is.Equal(Allowed(e, 46), 46+50)
	is.Equal(Allowed(e, 44), 44+48)
	is.Equal(Allowed(e, 2), 2+25)
	is.Equal(Allowed(Engines{Slots: 192}, 0), 48)
}

// The load of the engines was told a moment ago, and one entry has sent more since.
// What it has there itself counts, so that one alone never goes beyond the slots.
func TestAllowedWithOldLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(Allowed(Engines{Slots: 192, Running: 10}, 192), 192)
	is.Equal(Allowed(Engines{Slots: 192, Running: 10}, 191), 192)
}

// Engines come back and hundreds have waited at four entries. What is let in grows
// with each word of their load and never goes beyond the slots.
func TestAllowedGrowsToTheSlots(t *testing.T) {
	is := is.New(t)
	own := Reopened(192, 4)
	is.True(own > 10 && own < 40)
	for range 12 {
		next := Allowed(Engines{Slots: 192, Running: 4 * own}, own)
		is.True(next >= own)
		is.True(4*next <= 192+4)
		own = next
	}
	is.True(4*own >= 190)
}

// 53 entries see the same 100 free slots at the same time. If each took a quarter of them,
// 1,300 requests would go to 100 slots and wait there, late or not. Together they use
// them three times over at most, beside one request that each may always send.
func TestAllowedForManyEntries(t *testing.T) {
	is := is.New(t)
	const slots, entries = 1152, 53
	e := Engines{Slots: slots, Running: slots - 100, Entries: entries}
	sum := 0
	for range entries {
		sum += Allowed(e, 20) - 20
	}
	is.True(sum >= 100) // nobody leaves slots free
	is.True(sum <= overcommit*100+entries)
	is.Equal(Allowed(Engines{Slots: 192, Running: 92, Entries: 4}, 2), 2+25) // few may take a quarter, as before
	is.True(entries*Reopened(slots, entries) <= overcommit*slots)
	is.True(entries*Untold(slots, entries) <= overcommit*slots)
	is.Equal(Untold(slots, 2), slots)
	is.Equal(Untold(slots, 0), slots) // engines without a steward
}
