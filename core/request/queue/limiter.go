package queue

import "math"

// EngineLoad is the load of the engines of one group, as reported by its coordinator.
type EngineLoad struct {
	// Slots is how many requests the engines can run at once, Running how many they run, and
	// Queued how many wait there.
	Slots, Running, Queued int
	// Entries is how many entries send them requests; 0 means unknown.
	Entries int
	// Waiting reports whether requests wait at this entry.
	Waiting bool
}

const (
	// minShare is the part of the free slots that any entry may use, whatever part of the
	// requests it sent lately: callers may come to it at any time.
	minShare = 0.25
	// overcommitFactor is how many times over the free slots may be used if all entries take
	// their part at once, while none of them has requests waiting: then few do. All see the
	// same free slots, and the excess waits at the engines.
	overcommitFactor = 3
)

// minFreeShare returns the part of the free slots that each of the given number of entries may
// use. If requests wait at one entry they wait at others as well, and all take their part at
// once.
func minFreeShare(entries int, waiting bool) float64 {
	switch {
	case entries <= 0:
		return minShare
	case waiting:
		return math.Min(minShare, 1/float64(entries))
	}
	return math.Min(minShare, overcommitFactor/float64(entries))
}

// EntryLimit returns how many requests one entry, which has own there now, may have at the
// engines: those and its part of the free slots, or its part of all slots if the engines have
// more requests than slots.
//
// The load patterns it handles are a burst, and the moment when engines are back and all
// waiting requests are admitted: what waits at an engine is served in order of arrival, late or
// not, while an entry can still refuse it or let another request go first. All entries use the
// same figures, and each takes the part that its requests have of all, so they need no
// coordination.
//
// Engines are not limited to fewer requests than they have slots: a full batch yields more
// tokens a second.
func EntryLimit(e EngineLoad, own int) int {
	total := float64(max(e.Running+e.Queued, own))
	slots := float64(e.Slots)
	if total >= slots {
		return max(1, int(math.Round(slots*float64(own)/total)))
	}
	return own + max(1, int(math.Round((slots-total)*e.freeShare(float64(own), total))))
}

// freeShare returns the part of the free slots that the entry may use.
//
// While requests wait, they wait at all entries, and the parts of all must not add up to more
// than the free slots. Each entry takes the part that its requests have of all. That says
// little where few run, as at engines that have just come back, so it is averaged with an equal
// part there.
func (e EngineLoad) freeShare(own, total float64) float64 {
	part := minFreeShare(e.Entries, e.Waiting)
	if e.Waiting {
		equal := e.Slots / equalShareDivisor
		return (own + part*float64(equal)) / (total + float64(equal))
	}
	if total > 0 {
		return math.Max(own/total, part)
	}
	return part
}

// equalShareDivisor is the fraction of the slots, one in so many, that has to be taken for an
// entry's part of the requests to count as much as an equal part.
const equalShareDivisor = 8

// RecoveryLimit returns how many requests each of the given number of entries may have at
// engines that have just come back, until their load is reported.
func RecoveryLimit(slots, entries int) int {
	part := minShare * recoveryShare
	if entries > 0 {
		part = math.Min(part, 1/float64(entries))
	}
	return max(1, int(part*float64(slots)))
}

// StaleLimit returns how many requests an entry may have at engines whose load has not been
// reported for a while. If many entries send to them, each without a limit, all waiting
// requests would move to the engines while a coordinator is replaced.
func StaleLimit(slots, entries int) int {
	if entries <= 0 {
		return slots
	}
	return max(1, int(math.Min(1, overcommitFactor/float64(entries))*float64(slots)))
}

// recoveryShare is the part of the slots that a few entries fill together when engines are
// back: waiting requests start at once, and capacity is left for those that wait at other
// entries.
const recoveryShare = 0.55
