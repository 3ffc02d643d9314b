package proof

import (
	"testing"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/membership/instances"
	"verbenashift/core/request/outcome"
	"verbenashift/standin/client"
	"verbenashift/standin/deployment"
	"verbenashift/standin/judge"
	"verbenashift/standin/ledger"
)

type ledgerRun = ledger.Run

// stopBound is a generous time limit for one graceful shutdown.
const stopBound = 20 * time.Second

// leaveBound is when a leaving target must no longer get new work: the list lags by one second
// and is polled every two.
const leaveBound = 8 * time.Second

// Guards against cut streams and second executions in a rolling restart: each entry and agent
// in turn gets SIGTERM and restarts under load. No stream may be cut, no first attempt of a
// request with a key may end as unknown, and a retry after the restarts must not run a key
// again, although every register has moved between processes.
func TestRollingRestart(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.26", PlainFlags: []string{"-work", "100ms"}})
	early := append(s.Jobs("early", 24), s.Drafts("early", 24, 30)...)
	records := s.Play(s.ctx, early)
	load := make([]client.Line, 0, 600)
	for i := range 200 {
		load = append(load, s.Jobs("load", 200)[i], s.Drafts("load", 200, 40)[i], s.Streams("load", 200, 40)[i])
	}
	player := s.Player()
	player.Rate = 60
	done := make(chan []judge.Record)
	go func() { done <- player.Play(s.ctx, load) }()
	for _, node := range []string{"agent-1", "entry-1", "agent-5", "agent-2", "entry-2", "agent-6", "agent-3", "agent-4"} {
		s.must(s.Term(node))
		code, err := s.Wait(node, stopBound)
		s.must(err)
		s.Equal(code, 0) // a planned stop is not an error
		s.must(s.Restart(s.ctx, node))
	}
	first := <-done
	for _, r := range first {
		if r.Outcome == outcome.Unknown || r.Outcome == outcome.Failed {
			t.Errorf("%s %s: %s, %+v", r.Workspace, r.Class, r.Outcome, r.Attempts)
		}
	}
	records = append(records, first...)
	for _, again := range [][]client.Line{early, load} {
		records = append(records, s.Begin(s.ctx, keyed(again), "entry-2", "entry-1").Wait()...)
	}
	s.verify(records)
	s.checkRanOnce()
}

// Guards against a gap or a second run when an entry stops while drafts run that take longer
// than its drain bound. What is left at the bound is handed over: the callers resume at the
// other entry.
func TestEntryHandsOver(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.31", EntrySettings: deployment.Settings{"drain.bound": "100ms"}})
	lines := append(s.Streams("long", 12, 200), s.Drafts("long", 12, 200)...)
	play := s.Begin(s.ctx, lines)
	s.awaitRunning(24, "")
	s.must(s.Term("entry-1"))
	code, err := s.Wait("entry-1", stopBound)
	s.must(err)
	s.Equal(code, 0)
	records := play.Wait()
	s.Equal(s.verify(records).Complete, 24)
	moved := 0
	for _, r := range records {
		for _, a := range r.Attempts[:len(r.Attempts)-1] {
			s.Equal(a.Reason, "handover") // no stream was cut
			moved++
		}
	}
	s.True(moved > 0)
	s.Equal(s.checkRanOnce(), 12)
}

// Guards against second executions when two agents stop while drafts and jobs run that take
// longer than their drain bound, and restart. Drafts that may be repeated continue elsewhere;
// each request that may not be repeated ends as complete or unknown, and none runs again.
func TestAgentHandsOver(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.32", PlainFlags: []string{"-work", "1500ms"}, AgentSettings: deployment.Settings{"drain.bound": "100ms"}})
	streams, once := s.Streams("long", 12, 200), append(s.Drafts("long", 12, 200), s.Jobs("long", 12)...)
	plays := []*deployment.Playback{s.Begin(s.ctx, streams), s.Begin(s.ctx, once)}
	for _, at := range []string{agentOf(s.awaitRunning(36, "")[0].Target), "agent-5"} {
		s.must(s.Term(at))
		code, err := s.Wait(at, stopBound)
		s.must(err)
		s.Equal(code, 0)
		s.must(s.Restart(s.ctx, at))
	}
	s.Equal(s.verify(plays[0].Wait()).Complete, 12)
	records := append(plays[1].Wait(), s.Begin(s.ctx, once, "entry-2", "entry-1").Wait()...)
	s.verify(records)
	s.Equal(s.checkRanOnce(), 24)
}

// Guards against second executions when targets are added to and removed from the
// configuration, so that many keys are owned by agents that have not seen them. Callers retry
// with their keys: no job may run again.
func TestTargetsChange(t *testing.T) {
	var spare config.Target
	s := start(t, deployment.Shape{Block: "127.0.33", PlainFlags: []string{"-work", "20ms"}, Configure: func(c *config.Config) {
		spare, c.Targets = c.Targets[0], c.Targets[1:]
	}})
	lines := s.Jobs("moved", 60)
	records := s.Play(s.ctx, lines)
	s.Equal(s.verify(records).Complete, 60)
	for i, edit := range []config.Edit{{PutTarget: &spare}, {RemoveTarget: "target-2"}, {RemoveTarget: "target-3"}} {
		_, err := s.Operator(1).Edit(s.ctx, "change targets", edit)
		s.must(err)
		s.must(s.WaitRevision(s.ctx, uint64(i+2)))
		records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	}
	v := s.verify(records)
	s.Equal(v.Complete, 240) // the first response each time
	s.Equal(s.checkRanOnce(), 60)
}

// Guards against a "not run, no target" response for jobs that have run when all desks are
// drained afterwards. A caller that retries with the key must get the response of the job, or
// it would order the job again.
func TestNoTargetLeft(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.37", PlainFlags: []string{"-work", "20ms"}})
	lines := s.Jobs("drained", 12)
	records := s.Play(s.ctx, lines)
	_, err := s.Operator(1).Edit(s.ctx, "drain the desks",
		config.Edit{Drain: &config.Drain{Target: "target-5", Drained: true}},
		config.Edit{Drain: &config.Drain{Target: "target-6", Drained: true}})
	s.must(err)
	s.must(s.WaitRevision(s.ctx, 2))
	player := s.Player()
	player.Attempts = 2
	records = append(records, player.Play(s.ctx, lines)...)
	s.Equal(s.verify(records).Complete, 24)
	fresh := s.Jobs("fresh", 1)
	s.Equal(player.Play(s.ctx, fresh)[0].Outcome, outcome.NotRun) // it did not run
	s.Equal(s.checkRanOnce(), 12)
}

// keyed returns the lines that have an idempotency key.
func keyed(lines []client.Line) []client.Line {
	var list []client.Line
	for _, l := range lines {
		if l.IdempotencyKey != "" {
			list = append(list, l)
		}
	}
	return list
}

// Guards against new work for a leaving target. The instance list of the platform, which lags,
// reports that the instance of an engine is leaving. Within seconds no entry may send it new
// work, while its running work continues to its end.
func TestLeavingTarget(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.27"})
	play := s.Begin(s.ctx, s.Streams("leaving", 16, 200))
	s.awaitRunning(16, "")
	s.must(s.Instances(s.ctx, instances.Instance{Name: "target-1", State: instances.Leaving}))
	atTarget1 := func(r ledgerRun) bool { return r.Target == "target-1" }
	// Send probes until the bound, not just until a round of them avoids the target: a
	// busy target may be avoided by chance.
	for end := time.Now().Add(leaveBound); time.Now().Before(end); {
		s.Play(s.ctx, s.Streams("probe", 12, 1))
	}
	before, err := s.Runs(atTarget1)
	s.must(err)
	s.True(len(before) > 0) // it had work before
	records := s.Play(s.ctx, s.Streams("after", 60, 1))
	after, err := s.Runs(atTarget1)
	s.must(err)
	s.Equal(len(after), len(before)) // no new work
	s.Equal(s.verify(append(records, play.Wait()...)).Complete, 76)
}
