package queue

import "math"

// EngineLoad is the load of the engines of one group, as its steward tells it.
type EngineLoad struct {
	// Slots is how many requests the engines can run at once, Running how many
	// they do, and Queued how many wait there.
	Slots, Running, Queued int
	// Entries is how many entries send them requests, 0 if that is not known.
	Entries int
	// Waiting says that requests wait at this entry.
	Waiting bool
}

const (
	// leastShare is the part of the free slots that any entry may use, whatever part
	// of the requests was its own lately: callers may come to it at any time.
	leastShare = 0.25
	// overcommit is how often the free slots may be used if all entries take that part at
	// once, while none of them lets requests wait: then few do. All see the same free
	// slots, and what is too much waits at the engines.
	overcommit = 3
)

// leastPart returns the part of the free slots that each of so many entries may use. Where
// requests wait at one entry they wait at others as well, and all take theirs at once.
func leastPart(entries int, waiting bool) float64 {
	switch {
	case entries <= 0:
		return leastShare
	case waiting:
		return math.Min(leastShare, 1/float64(entries))
	}
	return math.Min(leastShare, overcommit/float64(entries))
}

// EntryLimit returns how many requests one entry may have at the engines, of which
// it has own there now: those and its part of the free slots, or its part of all
// slots if more wait there already.
//
// The load patterns it answers are a burst, and the moment when engines are back
// and all who waited are let in: what waits at an engine is served in the order in
// which it came, late or not, while an entry can still refuse it or let another
// one go first. As all entries use the same figures, and each takes the part of
// the requests that are its own, they need not talk.
//
// Engines are not held to fewer requests than they have slots: a full batch makes
// more tokens a second.
func EntryLimit(e EngineLoad, own int) int {
	total := float64(max(e.Running+e.Queued, own))
	slots := float64(e.Slots)
	if total >= slots {
		return max(1, int(math.Round(slots*float64(own)/total)))
	}
	return own + max(1, int(math.Round((slots-total)*e.share(float64(own), total))))
}

// share returns the part of the free slots that the entry may use.
//
// While requests wait, they wait at all entries, and the parts of all must not be more than
// there is: each takes the part that its requests have of all, which says little where few
// run, as at engines that have just come back, and counts together with an even part there.
func (e EngineLoad) share(own, total float64) float64 {
	part := leastPart(e.Entries, e.Waiting)
	if e.Waiting {
		even := e.Slots / evenPart
		return (own + part*float64(even)) / (total + float64(even))
	}
	if total > 0 {
		return math.Max(own/total, part)
	}
	return part
}

// evenPart is the part of the slots, one in so many, that have to be taken for what the
// requests of an entry are of all to count as much as an even part.
const evenPart = 8

// RecoveryLimit returns how many requests each of so many entries may have at engines that have
// just come back, until their load is told.
func RecoveryLimit(slots, entries int) int {
	part := leastShare * reopenedPart
	if entries > 0 {
		part = math.Min(part, 1/float64(entries))
	}
	return max(1, int(part*float64(slots)))
}

// StaleLimit returns how many requests an entry may have at engines whose load has not been
// told for a while. Where many entries send to them, each unlimited, all that waits while a
// steward is replaced would wait at the engines.
func StaleLimit(slots, entries int) int {
	if entries <= 0 {
		return slots
	}
	return max(1, int(math.Min(1, overcommit/float64(entries))*float64(slots)))
}

// reopenedPart is the part of the slots that a few entries fill together when engines are
// back: those that waited begin at once, and there is room for whom another entry has let
// wait.
const reopenedPart = 0.55
