package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenashift/standin/client"
	"verbenashift/standin/deployment"
	"verbenashift/standin/judge"
)

// The shape of the trouble: how many blows, and the time between two.
const (
	blows     = 16
	blowPause = 500 * time.Millisecond
)

// Everything the brief names goes wrong within seconds, in an order drawn from
// a fixed seed, one thing often before the last one is mended: processes die
// or freeze, links are cut or silent, the store is down, nodes are rolled. In
// the end all is mended and each keyed request is sent again. Whatever a caller
// was told must be true, and no key may have run twice.
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
	for range blows {
		mend := s.blow(rng)
		time.Sleep(blowPause)
		mend()
	}
	records := <-done
	for _, order := range [][]string{{"entry-2", "entry-1"}, {"entry-1", "entry-2"}} {
		records = append(records, s.Begin(s.ctx, keyed(load), order...).Wait()...)
	}
	s.kept(records)
	t.Logf("%d of %d keys ran", s.once(), len(keyed(load)))
}

// blow breaks something and returns what mends it.
func (s *scene) blow(rng *rand.Rand) (mend func()) {
	agents := []string{"agent-1", "agent-2", "agent-3", "agent-4", "agent-5", "agent-6"}
	agent := agents[rng.IntN(len(agents))]
	entry := []string{"entry-1", "entry-2"}[rng.IntN(2)]
	target := "target" + agent[len("agent"):]
	switch kind := rng.IntN(8); kind {
	case 0:
		return s.dies(agent)
	case 1:
		return s.dies(entry)
	case 2:
		return s.dies(target)
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

// dies kills a process at once; mending starts it again.
func (s *scene) dies(name string) func() {
	s.must(s.Kill9(name))
	return func() { s.must(s.Restart(s.ctx, name)) }
}
