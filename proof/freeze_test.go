package proof

import (
	"testing"
	"time"

	"verbenashift/standin/deployment"
	"verbenashift/standin/judge"
)

// pingTimeout is how long it takes to detect and close a silent connection. A freeze has to
// last longer for other nodes to react to it.
const pingTimeout = 4 * time.Second

// Guards against broken streams and second executions when an agent is suspended for seconds,
// as in a long pause of its machine, and then goes on. Its streams must be complete, from it
// or from another agent, and keys that were retried elsewhere must not run when it resumes.
func TestAgentFrozen(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.20"})
	lines := append(s.Streams("frozen", 8, 150), s.Drafts("frozen", 8, 150)...)
	lines = append(lines, s.Jobs("frozen", 8)...)
	play := s.Begin(s.ctx, lines)
	runs := s.awaitRunning(24, "")
	frozen := []string{agentOf(runs[0].Target), "agent-5"}
	for _, agent := range frozen {
		s.must(s.Stop(agent))
	}
	retry := s.Begin(s.ctx, lines[8:], "entry-2", "entry-1")
	time.Sleep(pingTimeout)
	for _, agent := range frozen {
		s.must(s.Cont(agent))
	}
	records := play.Wait()
	s.Equal(s.verify(records[:8]).Complete, 8) // the streams are complete
	records = append(records, retry.Wait()...)
	records = append(records, s.Begin(s.ctx, lines[8:], "entry-1", "entry-2").Wait()...)
	s.verify(records)
	s.checkRanOnce()
}

// Guards against an entry that acts on stale state. It is suspended repeatedly during its
// work: between the claim of a key and the call, or while frames arrive. Callers retry the
// same keys at the other entry meanwhile. When the first entry resumes, no key may run twice.
func TestEntryFrozen(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.21", PlainFlags: []string{"-work", "20ms"}})
	var records []judge.Record
	for _, prefix := range []string{"a", "b", "c", "d"} {
		lines := append(s.Jobs(prefix, 40), s.Drafts(prefix, 10, 20)...)
		play := s.Begin(s.ctx, lines, "entry-1")
		_, err := s.WaitRuns(s.ctx, len(s.runsByKey())+1, func(r ledgerRun) bool { return r.IdempotencyKey != "" })
		s.must(err)
		s.must(s.Stop("entry-1"))
		records = append(records, s.Begin(s.ctx, lines, "entry-2").Wait()...)
		s.must(s.Cont("entry-1"))
		records = append(records, play.Wait()...)
	}
	s.verify(records)
	s.Equal(s.checkRanOnce(), 200)
}
