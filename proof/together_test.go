package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenashift/standin/client"
	"verbenashift/standin/deployment"
	"verbenashift/standin/judge"
)

// faultCount is the number of injected faults, faultInterval the time between two.
const (
	faultCount    = 16
	faultInterval = 500 * time.Millisecond
)

// Guards against second executions and untrue responses when all kinds of faults occur within
// seconds, in an order drawn from a fixed seed and often overlapping: processes are killed or
// suspended, links are cut or silent, the store is unavailable, nodes are restarted. After all
// faults have ended each request with a key is sent again.
func TestFaultsTogether(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.35", LinkAgents: true, PlainFlags: []string{"-work", "100ms"}})
	var load []client.Line
	for i := range 150 {
		load = append(load, s.Jobs("storm", 150)[i], s.Drafts("storm", 150, 40)[i], s.Streams("storm", 150, 40)[i])
	}
	player := s.Player()
	player.Rate = 50
	done := make(chan []judge.Record)
	go func() { done <- player.Play(s.ctx, load) }()
	rng := rand.New(rand.NewPCG(1, 2))
	for range faultCount {
		repair := s.injectFault(rng)
		time.Sleep(faultInterval)
		repair()
	}
	records := <-done
	for _, order := range [][]string{{"entry-2", "entry-1"}, {"entry-1", "entry-2"}} {
		records = append(records, s.Begin(s.ctx, keyed(load), order...).Wait()...)
	}
	s.verify(records)
	t.Logf("%d of %d keys ran", s.checkRanOnce(), len(keyed(load)))
}

// injectFault injects a random fault and returns a function that ends it.
func (s *harness) injectFault(rng *rand.Rand) (repair func()) {
	agents := []string{"agent-1", "agent-2", "agent-3", "agent-4", "agent-5", "agent-6"}
	agent := agents[rng.IntN(len(agents))]
	entry := []string{"entry-1", "entry-2"}[rng.IntN(2)]
	target := "target" + agent[len("agent"):]
	switch kind := rng.IntN(8); kind {
	case 0:
		return s.crash(agent)
	case 1:
		return s.crash(entry)
	case 2:
		return s.crash(target)
	case 3:
		s.must(s.Stop(agent))
		return func() { s.must(s.Cont(agent)) }
	case 4:
		s.Link(agent).Cut()
		return s.Link(agent).Heal
	case 5:
		s.Link(agent).Blackhole()
		return s.Link(agent).Heal
	case 6:
		s.must(s.Fault(s.ctx, "platform", fault{"down": true}))
		return func() { s.must(s.Fault(s.ctx, "platform", fault{"down": false})) }
	default:
		s.must(s.Term(agent))
		return func() {
			_, err := s.Wait(agent, stopBound)
			s.must(err)
			s.must(s.Restart(s.ctx, agent))
		}
	}
}

// crash kills a process and returns a function that restarts it.
func (s *harness) crash(name string) func() {
	s.must(s.Kill9(name))
	return func() { s.must(s.Restart(s.ctx, name)) }
}
