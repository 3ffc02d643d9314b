package queue

import (
	"math"
	"time"
)

// Engines is the load of the engines of one group, as its steward tells it.
type Engines struct {
	// Slots is how many requests the engines can run at once, Running how many
	// they do, and Queued how many wait there.
	Slots, Running, Queued int
	// Pause is how long the engines take between two parts of an answer.
	Pause time.Duration
}

// leastPart is the part of the slots that is always allowed. With half of its
// slots in use an engine gives nearly as many tokens as with all, and steps in
// half the time; with fewer it gives less.
const leastPart = 0.55

// Allowed returns how many requests one entry may have at the engines, of which
// it has own there now, so that the pauses come down to the given one.
//
// The load pattern it answers is a stall, or a burst, after which all slots of
// the engines stay full: answers are then so slow that callers give up and come
// back, and the slots never empty. An engine with a full batch hardly makes more
// tokens than with half of it. As all entries use the same figures, and each
// takes the part of the requests that are its own, they need not talk.
func Allowed(e Engines, own int, pause time.Duration) int {
	total := e.Running + e.Queued
	least := leastPart * float64(e.Slots)
	if e.Pause <= pause || float64(total) <= least || own == 0 {
		return e.Slots
	}
	all := math.Max(float64(total)*float64(pause)/float64(e.Pause), least)
	return max(1, int(math.Round(all*float64(own)/float64(max(total, own)))))
}
