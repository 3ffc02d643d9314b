package health

import "time"

const (
	// leastPending is the least time for which a request is left unanswered before that
	// says anything, since a lost packet is sent again after 200 ms; pendingFactor is how
	// many times the usual answer time of its kind.
	leastPending  = 260 * time.Millisecond
	pendingFactor = 6
	// usualGain is the weight of one answer in the usual answer time, and usualSamples how
	// many answers there must have been.
	usualGain    = 0.05
	usualSamples = 5
)

// AnswerTime learns how long requests of one kind usually take to be answered. The zero
// value has seen none.
type AnswerTime struct {
	mean time.Duration
	n    int
}

// Observe takes the time of one answer.
func (t *AnswerTime) Observe(d time.Duration) {
	t.n++
	gain := max(usualGain, 1/float64(t.n))
	t.mean += time.Duration(gain * float64(d-t.mean))
}

// Timeout returns how long an answer may take before its target is doubted, and false as
// long as too few have been seen.
func (t *AnswerTime) Timeout() (time.Duration, bool) {
	return max(leastPending, pendingFactor*t.mean), t.n >= usualSamples
}

// Pending is a plain request that waits for its answer.
type Pending struct {
	// Sent is when it was sent, Target when its target last answered any request, Others
	// when another target of the service did.
	Sent, Target, Others time.Time
	// Timeout is how long such an answer may take.
	Timeout time.Duration
}

// Unanswered reports whether the target should be doubted: it has taken the request and
// says nothing for many times as long as others take, though they answer.
//
// It is for targets that accept requests, answer none and say that they are well. Nothing
// fails until the callers' deadlines, and the requests of a service are spread over so many
// entries that each of them meets such a target once a second or less.
func (p Pending) Unanswered(now time.Time) bool {
	return now.Sub(p.Sent) >= p.Timeout && !p.Target.After(p.Sent) && now.Sub(p.Others) <= othersAnswer
}

// othersAnswer is how recently another target must have answered: if none does, the fault is
// the entry's own or that of all, and no target is better than the other.
const othersAnswer = time.Second
