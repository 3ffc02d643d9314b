package route

import (
	"math/rand/v2"
	"time"
)

const (
	// maxScanned is how many targets of a pool are compared by their free slots.
	maxScanned = 64
	// slotsValid is the maximum age of a load whose free slots are used.
	slotsValid = 1500 * time.Millisecond
	// unknownEntries is how many entries are assumed to send requests to a target as long as
	// their number is not known.
	unknownEntries = 8
)

// SetSharing sets how many entries send requests to the targets; 0 means unknown.
func (t *Table) SetSharing(entries int) { t.sharing = entries }

// freeTarget draws a target with a free slot, or returns noTarget if none is known to have one.
//
// The load pattern it handles is a group that is nearly full: many entries choose at once, by loads
// that are some tenths of a second old, and a request that meets a full target waits there while
// other targets have free slots. All entries see the same reported slots, so that each counts only
// its part of them. A slot that a request of this entry has left since the report is known to
// nobody else and counts in full: the next request takes it. The entry's requests since the report
// count against its part in full as well, which spreads them.
func (t *Table) freeTarget(p *pool, q *Query, at int64, rng *rand.Rand) int {
	if q.Prefix != 0 {
		return noTarget
	}
	entries := t.sharing
	if entries <= 0 {
		entries = unknownEntries
	}
	found, total := noTarget, 0.0
	for _, m := range p.scanned {
		i := int(m)
		s := &t.states[i]
		if !s.known || at-s.at > int64(slotsValid) || s.avoided || !t.usable(i, q) {
			continue
		}
		reported, own := t.targets[i].Slots-s.occupied, s.ended.since(s.at)-s.started.since(s.at)
		if reported+own <= 0 {
			continue
		}
		part := max(float64(reported)/float64(entries)+float64(own), 0)
		// The cube prefers a slot that only this entry knows to several that all see.
		w := s.share * part * part * part
		total += w
		// Weighted reservoir sampling: each target is kept with its share of all weights so far.
		if rng.Float64()*total < w {
			found = i
		}
	}
	return found
}

// maxRecentTimes is how many times are kept for each target: more than there are requests of one
// entry at a target between two loads.
const maxRecentTimes = 4

// recentTimes are the last times of an event, in ascending order.
type recentTimes struct {
	at [maxRecentTimes]int64
	n  int
}

// add records a time; the oldest gives way if there are too many.
func (r *recentTimes) add(at int64) {
	if r.n == maxRecentTimes {
		copy(r.at[:], r.at[1:])
		r.n--
	}
	r.at[r.n] = at
	r.n++
}

// since returns how many of the times are after the given one.
func (r *recentTimes) since(at int64) int {
	k := r.n
	for k > 0 && r.at[k-1] > at {
		k--
	}
	return r.n - k
}
