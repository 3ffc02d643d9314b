package retry

import "time"

const (
	// crashWindow is how long after the first broken attempt at a target the other attempts in
	// flight there may be seen to break. Resets arrive within milliseconds, but a busy process
	// may read them some hundreds of milliseconds later.
	crashWindow = time.Second
	// crashInterval is how long a crashed target gets no second window. A target in a crash
	// loop must not exempt its retries from the budget each time.
	crashInterval = 10 * time.Second
)

// TargetCrashes recognizes the attempts that broke because their target crashed. All attempts
// in flight at the target break at once, which is more than the retry budget has accumulated,
// and each of these requests would end as unknown although other targets are healthy. Retrying
// them elsewhere adds at most what the crashed target had in flight, once per crashInterval.
// The zero value is ready to use. It is not safe for concurrent use.
type TargetCrashes struct {
	firstBreak map[string]time.Time
}

// AttemptBroke records that an attempt at a target, begun at started, broke. It reports whether
// its retry is exempt from the budget.
func (l *TargetCrashes) AttemptBroke(target string, started, now time.Time) bool {
	firstBreak, known := l.firstBreak[target]
	if !known || now.Sub(firstBreak) >= crashInterval {
		l.expire(now)
		l.firstBreak[target] = now
		return true
	}
	return started.Before(firstBreak) && now.Sub(firstBreak) <= crashWindow
}

// expire removes the crashes older than crashInterval.
func (l *TargetCrashes) expire(now time.Time) {
	if l.firstBreak == nil {
		l.firstBreak = make(map[string]time.Time)
	}
	for target, firstBreak := range l.firstBreak {
		if now.Sub(firstBreak) >= crashInterval {
			delete(l.firstBreak, target)
		}
	}
}
