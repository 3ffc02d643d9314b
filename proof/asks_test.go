package proof

import (
	"math/rand/v2"
	"time"
)

// backpressure makes servers signal that they want less load. It draws from its own random
// source, so that the faults of a seed stay the same.
type backpressure struct {
	*faultInjector
	rng *rand.Rand
}

// backpressureOneIn is the number of injected faults for each backpressure signal.
const backpressureOneIn = 5

// injectSignal makes a random server name a rate limit, refuse requests and ask for a pause,
// or announce that it leaves. It does so in one of backpressureOneIn calls.
func (a *backpressure) injectSignal() {
	if a.rng.IntN(backpressureOneIn) > 0 {
		return
	}
	plain, rank := a.rng.IntN(a.Plains()), a.rng.IntN(a.ranks())
	model := a.rng.IntN(2) == 0
	rate := 0.5 + 5*a.rng.Float64()
	span := time.Duration(a.rng.Int64N(int64(maxFaultDuration)))
	switch a.rng.IntN(3) {
	case 0:
		a.note("limit %.1f, model %v", rate, model)
		if model {
			a.LimitRank(rank, rate)
			a.endLater(2*maxFaultDuration, func() { a.ClearRankLimit(rank) })
			return
		}
		a.Limit(plain, rate)
		a.endLater(2*maxFaultDuration, func() { a.ClearLimit(plain) })
	case 1:
		a.note("pause of %v, model %v", span, model)
		if model {
			a.PauseRank(rank, true, span)
			a.endLater(maxFaultDuration, func() { a.PauseRank(rank, false, 0) })
			return
		}
		a.Pause(plain, true, span)
		a.endLater(maxFaultDuration, func() { a.Pause(plain, false, 0) })
	case 2:
		a.note("leave and restart, model %v", model)
		if model {
			a.AnnounceRankLeaving(rank)
			a.endLater(maxFaultDuration, func() { a.CancelLeaving(); a.Crash(rank, span) })
			return
		}
		a.AnnounceLeaving(plain)
		a.endLater(maxFaultDuration, func() { a.CancelLeaving(); a.Restart(plain) })
	}
}

// clearSignals makes all servers accept requests again.
func (a *backpressure) clearSignals() {
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
