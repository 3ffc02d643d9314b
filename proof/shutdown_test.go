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

// stopBound is a generous bound of one graceful shutdown.
const stopBound = 20 * time.Second

// leaveBound is when a leaving target must have stopped to get work: the list
// lags by one second and is read every two.
const leaveBound = 8 * time.Second

// Operators roll a new version out: each entry and agent in turn gets SIGTERM
// and starts again, under load. No stream may be cut, no first try of a keyed
// request may end as unknown, and a second try after the restarts must not run
// a key again, though every register has moved between processes.
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
		s.Equal(code, 0) // a planned stop is no failure
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
	s.kept(records)
	s.once()
}

// An entry is told to stop while drafts run that take longer than its bound.
// What is left at the bound is handed over: the callers read on at the other
// entry, without a gap, and nothing runs again.
func TestEntryHandsOver(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.31", EntrySettings: deployment.Settings{"drain.bound": "100ms"}})
	lines := append(s.Streams("long", 12, 200), s.Drafts("long", 12, 200)...)
	play := s.Begin(s.ctx, lines)
	s.running(24, "")
	s.must(s.Term("entry-1"))
	code, err := s.Wait("entry-1", stopBound)
	s.must(err)
	s.Equal(code, 0)
	records := play.Wait()
	s.Equal(s.kept(records).Complete, 24)
	moved := 0
	for _, r := range records {
		for _, a := range r.Attempts[:len(r.Attempts)-1] {
			s.Equal(a.Reason, "handover") // nothing was cut
			moved++
		}
	}
	s.True(moved > 0)
	s.Equal(s.once(), 12)
}

// Two agents are told to stop while drafts and jobs run that take longer than
// their bound, and start again. Drafts that may be repeated go on elsewhere; of
// what may not, each ends whole or as unknown, and none runs a second time.
func TestAgentHandsOver(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.32", PlainFlags: []string{"-work", "1500ms"}, AgentSettings: deployment.Settings{"drain.bound": "100ms"}})
	streams, once := s.Streams("long", 12, 200), append(s.Drafts("long", 12, 200), s.Jobs("long", 12)...)
	plays := []*deployment.Playback{s.Begin(s.ctx, streams), s.Begin(s.ctx, once)}
	for _, at := range []string{agentOf(s.running(36, "")[0].Target), "agent-5"} {
		s.must(s.Term(at))
		code, err := s.Wait(at, stopBound)
		s.must(err)
		s.Equal(code, 0)
		s.must(s.Restart(s.ctx, at))
	}
	s.Equal(s.kept(plays[0].Wait()).Complete, 12)
	records := append(plays[1].Wait(), s.Begin(s.ctx, once, "entry-2", "entry-1").Wait()...)
	s.kept(records)
	s.Equal(s.once(), 24)
}

// Operators take targets out of the configuration and put others in, so that
// the homes of many keys move to agents that never saw them. Members ask again
// with their keys: no job may run a second time.
func TestTargetsChange(t *testing.T) {
	var spare config.Target
	s := start(t, deployment.Shape{Block: "127.0.33", PlainFlags: []string{"-work", "20ms"}, Configure: func(c *config.Config) {
		spare, c.Targets = c.Targets[0], c.Targets[1:]
	}})
	lines := s.Jobs("moved", 60)
	records := s.Play(s.ctx, lines)
	s.Equal(s.kept(records).Complete, 60)
	for i, edit := range []config.Edit{{PutTarget: &spare}, {RemoveTarget: "target-2"}, {RemoveTarget: "target-3"}} {
		_, err := s.Operator(1).Edit(s.ctx, "change targets", edit)
		s.must(err)
		s.must(s.WaitRevision(s.ctx, uint64(i+2)))
		records = append(records, s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	}
	v := s.kept(records)
	s.Equal(v.Complete, 240) // the first answer each time
	s.Equal(s.once(), 60)
}

// Jobs have run; then the operators drain every desk. A member who asks again
// with the key must get the job's answer: "not run, no target" would be untrue
// and the member would order the job a second time.
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
	s.Equal(s.kept(records).Complete, 24)
	fresh := s.Jobs("fresh", 1)
	s.Equal(player.Play(s.ctx, fresh)[0].Outcome, outcome.NotRun) // truly not
	s.Equal(s.once(), 12)
}

// keyed returns the lines that have a key.
func keyed(lines []client.Line) []client.Line {
	var list []client.Line
	for _, l := range lines {
		if l.IdempotencyKey != "" {
			list = append(list, l)
		}
	}
	return list
}

// The platform's list, which lags, says that an engine's instance is leaving.
// Within seconds no entry may send it new work, while what it runs goes on to
// its end.
func TestLeavingTarget(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.27"})
	play := s.Begin(s.ctx, s.Streams("leaving", 16, 200))
	s.running(16, "")
	s.must(s.Instances(s.ctx, instances.Instance{Name: "target-1", State: instances.Leaving}))
	atFirst := func(r ledgerRun) bool { return r.Target == "target-1" }
	// Probes go on until the bound, and not only until one round of them misses
	// the target: a busy target is missed by chance too.
	for end := time.Now().Add(leaveBound); time.Now().Before(end); {
		s.Play(s.ctx, s.Streams("probe", 12, 1))
	}
	before, err := s.Runs(atFirst)
	s.must(err)
	s.True(len(before) > 0) // it had work before
	records := s.Play(s.ctx, s.Streams("after", 60, 1))
	after, err := s.Runs(atFirst)
	s.must(err)
	s.Equal(len(after), len(before)) // none of it is new
	s.Equal(s.kept(append(records, play.Wait()...)).Complete, 76)
}
