package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerTime returns an AnswerTime with n samples of d.
func answerTime(n int, d time.Duration) *AnswerTime {
	var t AnswerTime
	for range n {
		t.Observe(d)
	}
	return &t
}

// Guards against suspecting targets before there are enough answers to compare with.
func TestTimeoutIsEstimated(t *testing.T) {
	is := is.New(t)
	_, known := answerTime(minAnswers-1, time.Millisecond).Timeout()
	is.True(!known)
	timeout, known := answerTime(minAnswers, time.Millisecond).Timeout()
	is.True(known)
	is.Equal(timeout, minTimeout)
	timeout, _ = answerTime(100, 100*time.Millisecond).Timeout()
	is.Equal(timeout, 600*time.Millisecond)
}

// Guards against requests that wait for a target that answers nothing, and against
// suspecting one that is only slow, or when no other answers either.
func TestUnanswered(t *testing.T) {
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	never := time.Time{}
	for _, tt := range []struct {
		name           string
		target, others time.Time
		now            time.Time
		want           bool
	}{
		{"target hangs", never, after(90), after(300), true},
		{"target has answered before", after(-10), after(90), after(300), true},
		{"others have answered just before", never, after(-500), after(300), true},
		{"target answers other requests", after(40), after(90), after(300), false},
		{"no other answers", after(-10), after(-800), after(300), false},
		{"a packet was lost", never, after(90), after(240), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := Pending{Sent: start, Target: tt.target, Others: tt.others, Timeout: minTimeout}
			is.New(t).Equal(p.Unanswered(tt.now), tt.want)
		})
	}
}
