package queue

import (
	"math"
	"time"
)

const (
	// limiterWindow is the span over which pauses are averaged: some steps of
	// an engine under load.
	limiterWindow = 200 * time.Millisecond
	// limiterSamples is how many pauses are judged at least.
	limiterSamples = 8
	// limiterRaise and limiterLower are the factors of a window with short and
	// with long pauses. Falling faster than rising keeps several limiters before
	// the same engines stable and makes their limits fair (Chiu and Jain,
	// "Analysis of the Increase and Decrease Algorithms", 1989).
	limiterRaise = 1.06
	limiterLower = 0.85
	// limiterPatience is how many windows in a row must be slow before the limit
	// is lowered: the map of an expert group needs about a second to follow a
	// change of the mix, and fewer requests would not make that shorter.
	limiterPatience = 5
	// limiterUsed is the part of the limit that must have been used for pauses
	// to say that there is room for more.
	limiterUsed = 0.85
)

// Limiter learns how many requests may run at once on engines that batch.
//
// An engine with a full batch takes so long for each step that every answer is
// late, although it makes hardly more tokens than with two thirds of it. What
// tells this is the pause between the parts of answers, which each entry sees
// on its own answers: the limit is lowered while the mean pause is over Pause,
// and raised while it is below and the limit is used. The load pattern it
// answers is a burst or a stall after which all slots stay full for good: the
// callers who give up and come back keep them full.
type Limiter struct {
	// Pause is the mean pause that is aimed at.
	Pause time.Duration
	// Least and Most bound the limit.
	Least, Most int

	limit float64
	began time.Time
	sum   time.Duration
	n     int
	// slow counts the slow windows in a row.
	slow int
}

// NewLimiter returns a Limiter with a first limit.
func NewLimiter(pause time.Duration, first, least, most int) *Limiter {
	return &Limiter{Pause: pause, Least: least, Most: most, limit: float64(first)}
}

// Limit returns how many requests may run now.
func (l *Limiter) Limit() int { return int(math.Round(l.limit)) }

// Begin sets the first limit, as long as nothing has been learned yet.
func (l *Limiter) Begin(first int) bool {
	if !l.began.IsZero() {
		return false
	}
	l.limit = math.Min(math.Max(float64(first), float64(l.Least)), float64(l.Most))
	return true
}

// Observe takes the pause before a part of an answer while a number of requests
// run. It reports whether the limit has changed.
func (l *Limiter) Observe(pause time.Duration, running int, now time.Time) bool {
	if l.began.IsZero() {
		l.began = now
	}
	// One stall is not many slow steps.
	l.sum += min(pause, 2*l.Pause)
	l.n++
	if now.Sub(l.began) < limiterWindow || l.n < limiterSamples {
		return false
	}
	mean := l.sum / time.Duration(l.n)
	l.began, l.sum, l.n = now, 0, 0
	before := l.Limit()
	l.slow++
	if mean <= l.Pause {
		l.slow = 0
	}
	switch {
	case l.slow >= limiterPatience:
		// From the requests that run, if the limit has not been reached: a
		// limit far above them would take long to be felt.
		l.limit = math.Min(l.limit, float64(max(running, l.Least))) * limiterLower
	case l.slow == 0 && float64(running) >= limiterUsed*l.limit:
		l.limit = l.limit*limiterRaise + 1
	}
	l.limit = math.Min(math.Max(l.limit, float64(l.Least)), float64(l.Most))
	return l.Limit() != before
}
