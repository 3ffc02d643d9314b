package retry

import (
	"math"
	"time"
)

const (
	// minSenders is the least number of senders among which the burst is divided by a sender that
	// may have had a share before it restarted.
	minSenders = 24
	// lives is how many shares one sender may use within a window: its own, and as much again
	// after a restart.
	lives = 2
	// minAssumed is the least number of senders to assume until one is reported, and
	// targetsPerSender how many targets there are for each sender at least.
	minAssumed       = 64
	targetsPerSender = 3
)

// Burst is the part of one sender in the retries that all senders together may make within a
// window in addition to the ratio of their requests.
//
// The load pattern it handles is the loss of everything that a few senders have at one group of
// targets: each of them needs as many retries at once as it has requests there. A sender that has
// restarted may have spent its share just before, and has a smaller one until a window has passed.
type Burst struct {
	// Total is the number of retries of all senders together.
	Total float64
	// Window is the time span that Total applies to.
	Window time.Duration
	// StartedAt is when this sender started. It is zero if it cannot have run before.
	StartedAt time.Time
}

// AssumedSenders returns the number of senders to assume until one is reported, given the number of
// targets: senders are seldom more than a third of them.
func AssumedSenders(targets int) int { return max(minAssumed, targets/targetsPerSender) }

// Share returns how many retries this sender may make, at least one, given the number of senders.
func (b *Burst) Share(senders int, now time.Time) float64 {
	return max(math.Floor(b.Total/float64(b.parts(senders, now))), 1)
}

// parts returns the number of equal parts that Total is divided into.
func (b *Burst) parts(senders int, now time.Time) int {
	least := minSenders
	if b.StartedAt.IsZero() || now.Sub(b.StartedAt) > b.Window {
		least = min(least, lives*senders)
	}
	return max(senders, least)
}
