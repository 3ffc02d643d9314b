package queue

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that wait at full engines, where they are served late or not.
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

// Guards against an entry with few requests that may send none of a sudden burst.
func TestAllowedWithFreeSlots(t *testing.T) {
	is := is.New(t)
	e := Engines{Slots: 192, Running: 92}
	is.Equal(Allowed(e, 46), 46+50)
	is.Equal(Allowed(e, 44), 44+48)
	is.Equal(Allowed(e, 2), 2+25)
	is.Equal(Allowed(Engines{Slots: 192}, 0), 48)
}

// Guards against an entry that alone goes beyond the slots before the next load is told.
func TestAllowedWithOldLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(Allowed(Engines{Slots: 192, Running: 10}, 192), 192)
	is.Equal(Allowed(Engines{Slots: 192, Running: 10}, 191), 192)
}

// Guards against filling engines that come back beyond their slots, and leaving them half
// empty.
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

// Guards against many entries that each take a quarter of the same free slots.
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
