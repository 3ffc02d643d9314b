package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine dies with a dozen drafts in flight, some before their first token.
// The budget holds one retry; the callers of the others hear "unknown" though
// three engines are idle. What was in flight goes elsewhere; what was sent to
// the dead engine afterwards draws on the budget, and so does a second death
// soon after.
func TestDeathOfTargetGivesBackWhatWasInFlight(t *testing.T) {
	is := is.New(t)
	var l TargetCrashes
	sent := start
	died := start.Add(300 * time.Millisecond)
	is.True(l.AttemptBroke("a", sent, died)) // the first to break
	for n := range 11 {
		is.True(l.AttemptBroke("a", sent.Add(time.Duration(n)*20*time.Millisecond), died.Add(time.Duration(n)*30*time.Millisecond)))
	}
	is.True(!l.AttemptBroke("a", died.Add(time.Millisecond), died.Add(50*time.Millisecond))) // sent after the death
	is.True(!l.AttemptBroke("a", sent, died.Add(lossWindow+time.Millisecond)))               // not this death
	is.True(l.AttemptBroke("b", sent, died))                                                 // another target
	is.True(!l.AttemptBroke("a", died.Add(2*time.Second), died.Add(3*time.Second)))          // a crash loop
	is.True(l.AttemptBroke("a", died.Add(9*time.Second), died.Add(lossEvery)))
	is.Equal(len(l.first), 1) // b is forgotten
}
