package proof

import (
	"testing"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/client"
	"verbenashift/standin/deployment"
	"verbenashift/standin/ledger"
)

// A studio's caption stops mid-word: the entry that relayed it was killed.
// The client comes back at the other entry with the request's id and the
// number of the last event. The engine must not begin again, and the text must
// go on at the very next token.
func TestEntryKilledMidStream(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.10"})
	play := s.Begin(s.ctx, s.Streams("entry-dies", 12, 120))
	s.running(12, "")
	s.must(s.Kill9("entry-1"))
	records := play.Wait()
	v := s.kept(records)
	s.Equal(v.Complete, 12)       // every stream is whole
	s.True(attached(records) > 0) // some came back for the rest
	runs, err := s.Runs(func(ledger.Run) bool { return true })
	s.must(err)
	seen := make(map[string]bool)
	for _, r := range runs {
		s.True(!seen[r.RequestID]) // re-attached, not run again
		seen[r.RequestID] = true
	}
}

// An arranger books a chapel, another waits for a whole draft; the entry dies
// after the booking reached the desk. The arranger's program sends the booking again, with its key, to the
// other entry. The desk must see it once, and the second try gets its answer.
func TestEntryKilledMidCall(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.11"})
	lines := append(s.Jobs("entry-dies", 12), whole(s.Drafts("entry-dies", 12, 60))...)
	play := s.Begin(s.ctx, lines)
	s.running(24, "")
	s.must(s.Kill9("entry-1"))
	records := play.Wait()
	v := s.kept(records)
	s.Equal(v.Complete, 24)
	s.True(attempts(records) > 24) // some had to ask again
	s.Equal(s.once(), 24)
}

// A family waits for an obituary draft; the agent beside its engine is killed
// mid-stream. A draft that may be repeated goes on at another engine from the
// token it had reached; the caller sees one unbroken text.
func TestAgentKilledMidStream(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.12"})
	play := s.Begin(s.ctx, s.Streams("agent-dies", 12, 120))
	at := s.running(12, "")[0].Target
	s.must(s.Kill9(agentOf(at)))
	records := play.Wait()
	s.Equal(s.kept(records).Complete, 12)
	resumed, err := s.Runs(func(r ledger.Run) bool { return r.Resumed > 0 && r.Target != at })
	s.must(err)
	s.True(len(resumed) > 0) // elsewhere, from where it was
}

// A member's billed job runs at the desk when the agent there is killed, and a
// new one starts with an empty memory. Nobody can know whether the job ran to
// its end: the answer may be "unknown". The member asks again with the same
// key, at both entries, before and after the restart. The job must not run a
// second time; nor may jobs whose keys the dead agent was the home of.
func TestAgentKilledMidCall(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.13", ServiceTargets: 3, ModelTargets: 1})
	records := s.Play(s.ctx, s.Jobs("before", 16))
	lines := s.Jobs("agent-dies", 16)
	play := s.Begin(s.ctx, lines)
	at := s.running(8, "")[0].Target
	s.must(s.Kill9(agentOf(at)))
	records = append(records, play.Wait()...)
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.must(s.Restart(s.ctx, agentOf(at)))
	for _, again := range [][]string{{"entry-1"}, {"entry-2"}} {
		records = append(records, s.Begin(s.ctx, s.Jobs("before", 16), again...).Wait()...)
		records = append(records, s.Begin(s.ctx, lines, again...).Wait()...)
	}
	v := s.kept(records)
	s.Equal(v.Doubled, 0)
	s.Equal(s.once(), 32) // every key ran
}

// A draft that may not be repeated streams when its agent is killed. The
// engine goes on with it. The restarted agent has an empty memory: it may give
// the engine's answer on, but a second run with the key must never begin.
func TestAgentKilledMidDraft(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.14"})
	lines := s.Drafts("agent-dies", 12, 120)
	play := s.Begin(s.ctx, lines)
	at := s.running(12, "")[0].Target
	s.must(s.Kill9(agentOf(at)))
	s.must(s.Restart(s.ctx, agentOf(at)))
	records := play.Wait()
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.kept(records)
	s.Equal(s.once(), 12)
}

// An engine dies mid-stream. What it was writing goes on at another engine
// from the last token that the caller had; no text is lost or said twice.
func TestTargetKilledMidStream(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.15"})
	play := s.Begin(s.ctx, s.Streams("engine-dies", 12, 120))
	at := s.running(12, "")[0].Target
	s.must(s.Kill9(at))
	s.Equal(s.kept(play.Wait()).Complete, 12)
	resumed, err := s.Runs(func(r ledger.Run) bool { return r.Resumed > 0 && r.Target != at })
	s.must(err)
	s.True(len(resumed) > 0)
}

// The job desk dies while it runs billed jobs. The callers hear "unknown",
// never "not-run". The desk comes back and the callers ask again with the same
// keys: no job may run a second time.
func TestTargetKilledMidCall(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.16"})
	lines := s.Jobs("desk-dies", 12)
	play := s.Begin(s.ctx, lines)
	hit := len(s.running(12, ""))
	at := s.running(1, "target-5")[0].Target
	s.must(s.Kill9(at))
	records := play.Wait()
	unknown := 0
	for _, r := range records {
		if r.Outcome == outcome.Unknown {
			unknown++
		}
	}
	s.True(unknown > 0) // the test hit jobs that ran
	s.True(unknown < hit)
	s.must(s.Restart(s.ctx, at))
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.kept(records)
	s.once()
}

// The desk runs jobs and its answers are lost on the way back. The callers hear
// "unknown" and ask again, at the other entry: no job may run a second time,
// and none that ran may be called "not-run".
func TestAnswerLostAtTarget(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.30", PlainFlags: []string{"-work", "20ms"}})
	for _, desk := range []string{"target-5", "target-6"} {
		s.must(s.Fault(s.ctx, desk, map[string]int{"lose-answers": 4}))
	}
	lines := s.Jobs("lost", 24)
	records := s.Play(s.ctx, lines)
	s.Equal(s.kept(records).Unknown, 8)
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.kept(records)
	s.Equal(s.once(), 24)
}

// whole has the answers come as one document.
func whole(lines []client.Line) []client.Line {
	for i := range lines {
		lines[i].Stream = new(bool)
	}
	return lines
}

// agentOf returns the process name of the agent beside a target.
func agentOf(target string) string {
	return "agent" + target[len("target"):]
}
