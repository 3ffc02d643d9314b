package health

import "time"

const (
	// minTimeout is the shortest time after which an unanswered request counts as evidence,
	// since a lost packet is retransmitted after 200 ms. timeoutFactor is the timeout as a
	// multiple of the mean answer time of the request's kind.
	minTimeout    = 260 * time.Millisecond
	timeoutFactor = 6
	// answerGain is the weight of one answer in the mean answer time, and minAnswers how
	// many answers are needed before the mean is used.
	answerGain = 0.05
	minAnswers = 5
)

// AnswerTime estimates the mean answer time of requests of one kind. The zero value has no
// samples.
type AnswerTime struct {
	mean time.Duration
	n    int
}

// Observe records the time of one answer.
func (t *AnswerTime) Observe(d time.Duration) {
	t.n++
	gain := max(answerGain, 1/float64(t.n))
	t.mean += time.Duration(gain * float64(d-t.mean))
}

// Timeout returns how long an answer may take before its target is suspected, and false
// while there are too few samples.
func (t *AnswerTime) Timeout() (time.Duration, bool) {
	return max(minTimeout, timeoutFactor*t.mean), t.n >= minAnswers
}

// Pending is a plain request that awaits its answer.
type Pending struct {
	// Sent is when it was sent, Target when its target last answered any request, Others
	// when another target of the service did.
	Sent, Target, Others time.Time
	// Timeout is how long such an answer may take.
	Timeout time.Duration
}

// Unanswered reports whether the target should be suspected: it has accepted the request
// and sent nothing for many times as long as the other targets take, though they answer.
//
// It is for targets that accept requests, answer none and report that they are healthy.
// Nothing fails until the callers' deadlines, and the requests of a service are spread
// over so many entries that each of them meets such a target once a second or less.
func (p Pending) Unanswered(now time.Time) bool {
	return now.Sub(p.Sent) >= p.Timeout && !p.Target.After(p.Sent) && now.Sub(p.Others) <= peerAnswerWindow
}

// peerAnswerWindow is how recently another target must have answered: if none has, the
// fault is the entry's own or common to all, and no target is better than another.
const peerAnswerWindow = time.Second
