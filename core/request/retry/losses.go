package retry

import "time"

const (
	// lossWindow is how long after the first broken attempt at a target the
	// others that were in flight there may be seen to break. Resets arrive
	// within milliseconds; a busy process reads them some hundreds later.
	lossWindow = time.Second
	// lossEvery is how long a target that was lost gives no second window. A
	// target that crashes again and again must not free its retries from the
	// budget each time.
	lossEvery = 10 * time.Second
)

// TargetCrashes tells the attempts that broke because their target died. All that was
// in flight there breaks at once, which is more than a budget of retries has
// saved up, and each of these requests would end as unknown though other
// targets are well. To send them elsewhere adds no more than what the dead
// target had in flight, once in lossEvery. The zero value is ready. It is not
// safe for concurrent use.
type TargetCrashes struct {
	first map[string]time.Time
}

// AttemptBroke records that an attempt at a target broke which had begun at started,
// and reports whether its retry is free of the budget.
func (l *TargetCrashes) AttemptBroke(target string, started, now time.Time) bool {
	first, known := l.first[target]
	if !known || now.Sub(first) >= lossEvery {
		l.forget(now)
		l.first[target] = now
		return true
	}
	return started.Before(first) && now.Sub(first) <= lossWindow
}

// forget drops the losses that no longer matter.
func (l *TargetCrashes) forget(now time.Time) {
	if l.first == nil {
		l.first = make(map[string]time.Time)
	}
	for target, first := range l.first {
		if now.Sub(first) >= lossEvery {
			delete(l.first, target)
		}
	}
}
