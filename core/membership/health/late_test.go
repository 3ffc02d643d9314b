package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One of three servers is many times slower than the others, and all callers of a zone wait for it.
// Work that takes long by itself, and a kind that always does, say nothing about a server.
func TestSlowAnswersInARow(t *testing.T) {
	const usual, objective = 30 * time.Millisecond, 200 * time.Millisecond
	tests := map[string]struct {
		took    []time.Duration
		suspect bool
	}{
		"twelve times as slow":     {[]time.Duration{12 * usual, 12 * usual, 12 * usual}, true},
		"one long request":         {[]time.Duration{12 * usual, usual, 12 * usual, 12 * usual}, false},
		"slow, but in time":        {[]time.Duration{6 * usual, 6 * usual, 6 * usual, 6 * usual}, false},
		"slow after a long answer": {[]time.Duration{12 * usual, usual, 12 * usual, 12 * usual, 12 * usual}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var kind AnswerTime
			var target SlowAnswers
			for range 50 {
				kind.Observe(usual)
			}
			suspect := false
			for _, d := range tt.took {
				suspect = target.Add(kind.TooSlow(d, objective)) || suspect
				kind.Observe(d)
			}
			is.Equal(suspect, tt.suspect)
		})
	}
	is := is.New(t)
	var unknown AnswerTime
	is.True(!unknown.TooSlow(time.Second, objective))
	for range 50 {
		unknown.Observe(400 * time.Millisecond)
	}
	is.True(!unknown.TooSlow(time.Second, objective)) // its kind takes long
	is.True(!unknown.TooSlow(2*time.Second, 0))       // its callers do not mind
}
