package proof

import (
	"testing"
	"time"

	"verbenashift/standin/deployment"
	"verbenashift/standin/judge"
)

// pingTime is how long a silent connection takes to be given up; a freeze has
// to last longer for the others to act on it.
const pingTime = 4 * time.Second

// One agent stops dead for seconds, as in a long pause of its machine, and
// goes on as if nothing had been. Its streams must be whole, from it or from
// another, and keys that were tried again elsewhere must not run when it wakes.
func TestAgentFrozen(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.20"})
	lines := append(s.Streams("frozen", 8, 150), s.Drafts("frozen", 8, 150)...)
	lines = append(lines, s.Jobs("frozen", 8)...)
	play := s.Begin(s.ctx, lines)
	runs := s.running(24, "")
	frozen := []string{agentOf(runs[0].Target), "agent-5"}
	for _, agent := range frozen {
		s.must(s.Stop(agent))
	}
	retry := s.Begin(s.ctx, lines[8:], "entry-2", "entry-1")
	time.Sleep(pingTime)
	for _, agent := range frozen {
		s.must(s.Cont(agent))
	}
	records := play.Wait()
	s.Equal(s.kept(records[:8]).Complete, 8) // the streams are whole
	records = append(records, retry.Wait()...)
	records = append(records, s.Begin(s.ctx, lines[8:], "entry-1", "entry-2").Wait()...)
	s.kept(records)
	s.once()
}

// An entry is stopped again and again in the middle of its work: between the
// claim of a key and the call, or while frames come in. Members try the same
// keys at the other entry meanwhile. When the first goes on, it acts on what
// it knew before; no key may run twice for that.
func TestEntryFrozen(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.21", PlainFlags: []string{"-work", "20ms"}})
	var records []judge.Record
	for _, prefix := range []string{"a", "b", "c", "d"} {
		lines := append(s.Jobs(prefix, 40), s.Drafts(prefix, 10, 20)...)
		play := s.Begin(s.ctx, lines, "entry-1")
		_, err := s.WaitRuns(s.ctx, len(s.byKey())+1, func(r ledgerRun) bool { return r.IdempotencyKey != "" })
		s.must(err)
		s.must(s.Stop("entry-1"))
		records = append(records, s.Begin(s.ctx, lines, "entry-2").Wait()...)
		s.must(s.Cont("entry-1"))
		records = append(records, play.Wait()...)
	}
	s.kept(records)
	s.Equal(s.once(), 200)
}
