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

const (
	// leastPart is the part of the slots that is always allowed. With half of
	// its slots in use an engine gives nearly as many tokens as with all, and
	// steps in half the time; with fewer it gives less.
	leastPart = 0.82
	// growth is how much more than at the engines now is allowed above that,
	// until their load is told anew: how long steps take shows half a second
	// later. At 1.25 the load swung between 400 and 600 of 720 slots.
	growth = 1.05
	// leastShare is the part of the room that any entry may use, whatever part
	// of the requests was its own lately.
	leastShare = 0.25
)

// Allowed returns how many requests one entry may have at the engines, of which
// it has own there now, so that the pauses stay within the given one.
//
// The load patterns it answers are a stall, or a burst, after which all slots of
// the engines stay full: answers are then so slow that callers give up and come
// back, and the slots never empty; and the moment when engines are back and
// all who waited are let in. An engine with a full batch hardly makes more
// tokens than with half of it. As all entries use the same figures, and each
// takes the part of the requests that are its own, they need not talk.
func Allowed(e Engines, own int, pause time.Duration) int {
	total := float64(max(e.Running+e.Queued, own))
	least := leastPart * float64(e.Slots)
	if e.Pause > pause && total > least {
		all := math.Max(total*float64(pause)/float64(e.Pause), least)
		return max(1, int(math.Round(all*float64(own)/total)))
	}
	all := math.Min(float64(e.Slots), math.Max(least, total*growth))
	share := leastShare
	if total > 0 {
		share = math.Max(float64(own)/total, leastShare)
	}
	return own + max(1, int(math.Round((all-total)*share)))
}

// Reopened returns how many requests an entry may have at engines that have
// just come back, until their load is told.
func Reopened(slots int) int {
	return max(1, int(leastShare*leastPart*float64(slots)))
}
