package proof

import (
	"testing"

	"verbenashift/standin/deployment"
)

// The cable between the entries and one agent is pulled mid-stream and put
// back. Agent and engine are well and go on. No caller may get a truncated or
// doubled text, and no draft with a key may run again.
func TestAgentLinkCut(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.17", LinkAgents: true})
	lines := append(s.Streams("cut", 6, 120), s.Drafts("cut", 6, 120)...)
	lines = append(lines, s.Jobs("cut", 6)...)
	play := s.Begin(s.ctx, lines)
	runs := s.running(18, "")
	for _, at := range []string{runs[0].Target, runs[len(runs)-1].Target} {
		s.Link(agentOf(at)).Cut()
		defer s.Link(agentOf(at)).Heal()
	}
	s.running(1, "") // what runs goes on while the link is cut
	for _, at := range []string{runs[0].Target, runs[len(runs)-1].Target} {
		s.Link(agentOf(at)).Heal()
	}
	records := play.Wait()
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.kept(records)
	s.Equal(s.once(), 12)
}

// The network swallows all packets to one agent without telling anyone, long
// enough that the entries give the agent up, and then delivers them. Requests
// that were given up arrive late. What was told "not-run" must stay unrun, and
// a key that ran elsewhere meanwhile must not run here.
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
	// A second try, now that everything held back has arrived.
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.kept(append(warm, records...))
	s.once()
}

// The connection between an agent and its target breaks mid-answer while the
// target works on. The agent asks the engine for the rest by the request's
// name; a job at the desk, which can't be asked, is unknown. Nothing runs a
// second time.
func TestTargetLinkCut(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.19", LinkTargets: true})
	lines := append(s.Drafts("broken", 8, 120), s.Jobs("broken", 8)...)
	play := s.Begin(s.ctx, lines)
	s.running(16, "")
	for _, target := range []string{"target-1", "target-2", "target-5"} {
		s.Link(target).Cut()
		s.Link(target).Heal()
	}
	records := play.Wait()
	s.Equal(s.kept(records[:8]).Complete, 8) // the drafts' engines were asked again
	records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.kept(records)
	s.Equal(s.once(), 16)
}
