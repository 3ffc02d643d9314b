package expert

import (
	"math"
	"time"
)

const (
	// copySlowdown is by how much passes take longer while ranks copy experts.
	copySlowdown = 0.15
	// changesGained is for how many changes a lower skew lasts: until the next one is in force,
	// which then starts from less itself.
	changesGained = 2
)

// ChangeTime is how long a change of a group's maps takes.
type ChangeTime struct {
	// Copy is how long a rank takes to copy one expert.
	Copy time.Duration
	// Rest is how long a change takes besides its copies, as learned from earlier ones. While it is
	// 0, and unknown, no change copies more than Limits.PerRank.
	Rest time.Duration
}

// Observe records a change that took the given time until it was in force, with the largest
// number of experts that one rank had to copy for it.
func (c *ChangeTime) Observe(took time.Duration, copies int) {
	rest := max(took-time.Duration(copies)*c.Copy, 0)
	if c.Rest > 0 {
		rest = (c.Rest + rest) / 2
	}
	c.Rest = rest
}

// pays reports whether a change should make each rank copy one expert more than the given number,
// where that reduces the skew after the change from reached to next.
//
// The load is a sudden shift of the demand to other experts: callers see long passes until the
// experts are placed anew. One copy more delays the change, so that the skew before it lasts
// longer, in passes that the copying lengthens. In return the skew is lower during the changes that
// follow.
func (c ChangeTime) pays(before, reached, next float64, copies int) bool {
	lasts := c.Rest + time.Duration(copies)*c.Copy
	gain := changesGained * (reached - next) * lasts.Seconds()
	delay := (before - reached + copySlowdown*before) * c.Copy.Seconds()
	return gain > delay
}

// CopyRoom returns for how long ranks may copy without making a pass that takes the given time longer
// than the gap that callers allow. There is no bound where the pass has room for copies during all
// of it, and it is 0 where the pass is too long already.
func CopyRoom(pass, gap time.Duration) time.Duration {
	room := time.Duration(float64(max(gap-pass, 0)) / copySlowdown)
	if room >= pass {
		return math.MaxInt64
	}
	return room
}

// PassForecast forecasts how long a pass takes as the skew changes. The time of a pass is measured
// over some tenths of a second; right after a shift of the demand it still belongs to the skew
// before. The zero value has seen nothing.
type PassForecast struct {
	// Window is over how long the time of a pass is measured.
	Window time.Duration

	recent []skewAt
}

type skewAt struct {
	at   time.Time
	skew float64
}

// Observe records the skew.
func (f *PassForecast) Observe(now time.Time, skew float64) {
	old := 0
	for old < len(f.recent) && now.Sub(f.recent[old].at) > f.Window {
		old++
	}
	f.recent = append(f.recent[old:], skewAt{now, skew})
}

// Pass returns how long a pass takes at the last observed skew at most, where measured is its mean
// time over the window.
func (f *PassForecast) Pass(measured time.Duration) time.Duration {
	if len(f.recent) == 0 {
		return measured
	}
	last, least := f.recent[len(f.recent)-1].skew, f.recent[0].skew
	for _, r := range f.recent {
		least = min(least, r.skew)
	}
	if least <= 0 {
		return measured
	}
	return time.Duration(float64(measured) * last / least)
}
