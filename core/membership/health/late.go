package health

import "time"

const (
	// slowFactor is how many times as long as its kind usually takes an answer must take to be
	// evidence against its target.
	slowFactor = 3
	// slowAnswersNeeded is how many such answers in a row make an entry suspect a target: work
	// that takes long by itself comes one at a time.
	slowAnswersNeeded = 3
)

// TooSlow reports whether an answer took so long that its target may be slow: several times as long
// as answers of its kind usually take, and longer than its callers want to wait. A slow target whose
// answers are in time serves its callers.
func (t *AnswerTime) TooSlow(d, objective time.Duration) bool {
	return t.n >= minAnswers && objective > 0 && d > objective && d > slowFactor*t.mean
}

// SlowAnswers counts the answers of one target in a row that were too slow. The zero value has none.
//
// It handles one of a few targets of a service that is many times slower than the others for some
// seconds. Entries that prefer it, because it is near, send it all their requests.
type SlowAnswers struct {
	n int
}

// Add counts an answer, and reports whether the target should be suspected now.
func (s *SlowAnswers) Add(tooSlow bool) bool {
	if !tooSlow {
		s.n = 0
		return false
	}
	s.n++
	if s.n < slowAnswersNeeded {
		return false
	}
	s.n = 0
	return true
}
