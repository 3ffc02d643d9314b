package proof

import (
	"math/rand/v2"
	"time"
)

// asking has servers ask for less, draw by draw of its own, so that the faults of a seed stay as
// they are.
type asking struct {
	*faulty
	rng *rand.Rand
}

// askOneIn is how many faults come for each server that asks for something.
const askOneIn = 5

// ask has a server name a limit, refuse and ask for a pause, or say that it leaves, now and then.
func (a *asking) ask() {
	if a.rng.IntN(askOneIn) > 0 {
		return
	}
	plain, rank := a.rng.IntN(a.Plains()), a.rng.IntN(a.ranks())
	model := a.rng.IntN(2) == 0
	rate := 0.5 + 5*a.rng.Float64()
	span := time.Duration(a.rng.Int64N(int64(longest)))
	switch a.rng.IntN(3) {
	case 0:
		a.note("limit %.1f, model %v", rate, model)
		if model {
			a.LimitRank(rank, rate)
			a.later(2*longest, func() { a.ClearRankLimit(rank) })
			return
		}
		a.Limit(plain, rate)
		a.later(2*longest, func() { a.ClearLimit(plain) })
	case 1:
		a.note("pause of %v, model %v", span, model)
		if model {
			a.PauseRank(rank, true, span)
			a.later(longest, func() { a.PauseRank(rank, false, 0) })
			return
		}
		a.Pause(plain, true, span)
		a.later(longest, func() { a.Pause(plain, false, 0) })
	case 2:
		a.note("leaves and starts again, model %v", model)
		if model {
			a.AnnounceRankLeaving(rank)
			a.later(longest, func() { a.CancelLeaving(); a.Crash(rank, span) })
			return
		}
		a.AnnounceLeaving(plain)
		a.later(longest, func() { a.CancelLeaving(); a.Restart(plain) })
	}
}

// calm has all servers take what comes again.
func (a *asking) calm() {
	a.CancelLeaving()
	for plain := range a.Plains() {
		a.ClearLimit(plain)
		a.Pause(plain, false, 0)
	}
	for rank := range a.ranks() {
		a.ClearRankLimit(rank)
		a.PauseRank(rank, false, 0)
	}
}
