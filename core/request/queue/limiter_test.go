package queue

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that wait at full engines, where they are served even if they are
// late.
func TestEntryLimitAtFullSlots(t *testing.T) {
	is := is.New(t)
	full := EngineLoad{Slots: 192, Running: 192, Queued: 48}
	sum := 0
	for _, own := range []int{120, 60, 40, 20} {
		allowed := EntryLimit(full, own)
		is.True(allowed < own)
		sum += allowed
	}
	is.Equal(sum, 192)
}

// Guards against an entry with few requests that may send none of a sudden burst.
func TestEntryLimitWithFreeSlots(t *testing.T) {
	is := is.New(t)
	e := EngineLoad{Slots: 192, Running: 92}
	is.Equal(EntryLimit(e, 46), 46+50)
	is.Equal(EntryLimit(e, 44), 44+48)
	is.Equal(EntryLimit(e, 2), 2+25)
	is.Equal(EntryLimit(EngineLoad{Slots: 192}, 0), 48)
}

// Guards against an entry that alone exceeds the slots before the next load is reported.
func TestEntryLimitWithOldLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(EntryLimit(EngineLoad{Slots: 192, Running: 10}, 192), 192)
	is.Equal(EntryLimit(EngineLoad{Slots: 192, Running: 10}, 191), 192)
}

// Guards against filling engines that come back beyond their slots, and against leaving them
// half empty.
func TestEntryLimitGrowsToTheSlots(t *testing.T) {
	is := is.New(t)
	own := RecoveryLimit(192, 4)
	is.True(own > 10 && own < 40)
	for range 12 {
		next := EntryLimit(EngineLoad{Slots: 192, Running: 4 * own}, own)
		is.True(next >= own)
		is.True(4*next <= 192+4)
		own = next
	}
	is.True(4*own >= 190)
}

// Guards against many entries that each take a quarter of the same free slots.
func TestEntryLimitForManyEntries(t *testing.T) {
	is := is.New(t)
	const slots, entries = 1152, 53
	e := EngineLoad{Slots: slots, Running: slots - 100, Entries: entries}
	sum := 0
	for range entries {
		sum += EntryLimit(e, 20) - 20
	}
	is.True(sum >= 100) // no free slot is left unused
	is.True(sum <= overcommitFactor*100+entries)
	is.Equal(EntryLimit(EngineLoad{Slots: 192, Running: 92, Entries: 4}, 2), 2+25) // a few entries may take a quarter each
	is.True(entries*RecoveryLimit(slots, entries) <= overcommitFactor*slots)
	is.True(entries*StaleLimit(slots, entries) <= overcommitFactor*slots)
	is.Equal(StaleLimit(slots, 2), slots)
	is.Equal(StaleLimit(slots, 0), slots) // engines without a coordinator
}
