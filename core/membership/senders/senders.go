// Package senders counts the processes that send requests to the same targets, from what a
// coordinator reports. Limits that all of them share are divided by that number.
//
// # Usage
//
//	c := senders.Count{Window: 10 * time.Second}
//	c.Report(digest.Gateways, now)
//	share := total / float64(max(c.Value(), 1))
package senders

import "time"

// Count is the number of senders. Its zero value knows none.
type Count struct {
	// Window is how long a higher number that was reported before is used: senders that restart
	// are not counted for a moment.
	Window time.Duration

	// most holds the highest numbers of the current window and of the one before.
	most  [2]int
	until time.Time
}

// Report records how many senders there are; 0 means that it is not known.
func (c *Count) Report(n int, now time.Time) {
	if !now.Before(c.until) {
		c.most = [2]int{0, c.most[0]}
		c.until = now.Add(c.Window)
	}
	c.most[0] = max(c.most[0], n)
}

// Value returns the number of senders, or 0 if it is not known.
func (c *Count) Value() int { return max(c.most[0], c.most[1]) }
