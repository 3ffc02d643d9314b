package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target crash that leaves requests in flight with the outcome unknown
// although other targets are idle: the budget holds fewer retries than the crash breaks
// attempts. Attempts that were in flight are retried outside the budget; attempts sent after
// the crash, and those of a second crash soon after, draw on it.
func TestTargetCrashExemptsAttemptsInFlight(t *testing.T) {
	is := is.New(t)
	var l TargetCrashes
	sent := start
	died := start.Add(300 * time.Millisecond)
	is.True(l.AttemptBroke("a", sent, died)) // the first to break
	for n := range 11 {
		is.True(l.AttemptBroke("a", sent.Add(time.Duration(n)*20*time.Millisecond), died.Add(time.Duration(n)*30*time.Millisecond)))
	}
	is.True(!l.AttemptBroke("a", died.Add(time.Millisecond), died.Add(50*time.Millisecond))) // sent after the crash
	is.True(!l.AttemptBroke("a", sent, died.Add(crashWindow+time.Millisecond)))              // too late for this crash
	is.True(l.AttemptBroke("b", sent, died))                                                 // another target
	is.True(!l.AttemptBroke("a", died.Add(2*time.Second), died.Add(3*time.Second)))          // a crash loop
	is.True(l.AttemptBroke("a", died.Add(9*time.Second), died.Add(crashInterval)))
	is.Equal(len(l.firstBreak), 1) // b has expired
}
