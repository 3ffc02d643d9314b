package expert

import "time"

const (
	// copySlowdown is by how much passes take longer while ranks copy experts.
	copySlowdown = 0.15
	// changesGained is for how many changes a lower skew lasts: until the next one is in force,
	// which then starts from less itself.
	changesGained = 2
)

// ChangeTime is how long a change of a group's maps takes. The rest beside the copies is learned
// from earlier changes; while it is unknown, no change copies more than Limits.PerRank.
type ChangeTime struct {
	// Copy is how long a rank takes to copy one expert.
	Copy time.Duration

	rest time.Duration
}

// Observe records a change that took the given time until it was in force, with the largest
// number of experts that one rank had to copy for it.
func (c *ChangeTime) Observe(took time.Duration, copies int) {
	rest := max(took-time.Duration(copies)*c.Copy, 0)
	if c.rest > 0 {
		rest = (c.rest + rest) / 2
	}
	c.rest = rest
}

// pays reports whether a change should make each rank copy one expert more than the given number,
// where that reduces the skew after the change from reached to next.
//
// The load is a sudden shift of the demand to other experts: callers see long passes until the
// experts are placed anew. One copy more delays the change, so that the skew before it lasts
// longer, in passes that the copying lengthens. In return the skew is lower during the changes that
// follow.
func (c ChangeTime) pays(before, reached, next float64, copies int) bool {
	lasts := c.rest + time.Duration(copies)*c.Copy
	gain := changesGained * (reached - next) * lasts.Seconds()
	delay := (before - reached + copySlowdown*before) * c.Copy.Seconds()
	return gain > delay
}
