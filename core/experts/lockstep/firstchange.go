package lockstep

import "time"

// urgentWindow is for how long the first change of an epoch is urgent: after the group was formed,
// when callers that were cut off come back at once, and after its first request. By then there are
// enough counts for a change, or too few requests to hurry for.
const urgentWindow = time.Second

// FirstChange decides when the first change of an epoch is urgent. The load is that of a group that
// was just formed, or is at work for the first time: its first map fits no demand, so that all its
// callers meet long passes until the counts have led to a change. The zero value belongs to a group
// that was formed long ago.
type FirstChange struct {
	formedAt, workedAt time.Time
}

// Formed records that the group was formed.
func (f *FirstChange) Formed(now time.Time) { *f = FirstChange{formedAt: now} }

// Urgent reports whether the group waits for its first change while requests run or are about to.
func (f *FirstChange) Urgent(ranks []Rank, now time.Time) bool {
	if version, ok := InForce(ranks); !ok || version != 0 {
		return false
	}
	if f.workedAt.IsZero() && Running(ranks) > 0 {
		f.workedAt = now
	}
	return now.Sub(f.formedAt) < urgentWindow || !f.workedAt.IsZero() && now.Sub(f.workedAt) < urgentWindow
}
