package proof

import (
	"testing"

	"verbenashift/standin/deployment"
)

// Guards against truncated or duplicated text when the link between the entries and an agent
// is cut mid-stream and restored. Agent and engine keep running. No draft with a key may run
// again.
func TestAgentLinkCut(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.17", LinkAgents: true})
	lines := append(s.Streams("cut", 6, 120), s.Drafts("cut", 6, 120)...)
	lines = append(lines, s.Jobs("cut", 6)...)
	play := s.Begin(s.ctx, lines)
	runs := s.awaitRunning(18, "")
	for _, at := range []string{runs[0].Target, runs[len(runs)-1].Target} {
		s.Link(agentOf(at)).Cut()
		defer s.Link(agentOf(at)).Heal()
	}
	s.awaitRunning(1, "") // runs continue while the link is cut
	for _, at := range []string{runs[0].Target, runs[len(runs)-1].Target} {
		s.Link(agentOf(at)).Heal()
	}
	records := play.Wait()
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.verify(records)
	s.Equal(s.checkRanOnce(), 12)
}

// Guards against second executions when the network drops all packets to an agent without an
// error, long enough that the entries time out, and then delivers them. Requests that were
// abandoned arrive late. What was reported as "not-run" must not run, and a key that ran
// elsewhere meanwhile must not run here.
func TestAgentLinkSilent(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.18", LinkAgents: true})
	warm := s.Play(s.ctx, s.Jobs("warm", 8)) // connections are open
	for _, agent := range []string{"agent-1", "agent-5"} {
		s.Link(agent).Blackhole()
	}
	lines := append(s.Jobs("silent", 12), s.Drafts("silent", 12, 20)...)
	records := s.Begin(s.ctx, lines).Wait()
	for _, agent := range []string{"agent-1", "agent-5"} {
		s.Link(agent).Heal()
	}
	// Retry once all delayed messages have arrived.
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.verify(append(warm, records...))
	s.checkRanOnce()
}

// Guards against a second execution when the connection between an agent and its target breaks
// mid-response while the target goes on. The agent requests the rest from the engine by the
// request id; a job at the desk, which offers no such query, is unknown.
func TestTargetLinkCut(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.19", LinkTargets: true})
	lines := append(s.Drafts("broken", 8, 120), s.Jobs("broken", 8)...)
	play := s.Begin(s.ctx, lines)
	s.awaitRunning(16, "")
	for _, target := range []string{"target-1", "target-2", "target-5"} {
		s.Link(target).Cut()
		s.Link(target).Heal()
	}
	records := play.Wait()
	s.Equal(s.verify(records[:8]).Complete, 8) // the rest of the drafts was requested from the engines
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.verify(records)
	s.Equal(s.checkRanOnce(), 16)
}
