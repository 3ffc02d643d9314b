package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/standin/deployment"
)

var errNoSwitch = errors.New("no new expert map yet")

// wantMaps is how many maps the group must have used, so that there were switches before,
// during and after the faults.
const wantMaps = 3

// Guards against a step that runs on two maps, whatever happens to a switch. The load drifts
// between experts and the group keeps changing its map, while its coordinator is killed,
// suspended past its lease and restarted, links are cut and the store is unavailable. Once all
// faults have ended, the group must get a new map.
func TestOneMapUnderFailure(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.38", Group: true, LinkAgents: true})
	first := s.awaitMaps(wantMaps - 1)
	faults := []func() func(){
		func() func() { return s.crash("agent-1") },
		func() func() { s.must(s.Stop("agent-2")); return func() { s.must(s.Cont("agent-2")) } },
		func() func() { s.Link("agent-3").Blackhole(); return s.Link("agent-3").Heal },
		func() func() {
			s.must(s.Fault(s.ctx, "platform", fault{"down": true}))
			return func() { s.must(s.Fault(s.ctx, "platform", fault{"down": false})) }
		},
		func() func() { return s.crash("agent-4") },
		func() func() { s.must(s.Stop("agent-1")); return func() { s.must(s.Cont("agent-1")) } },
		func() func() {
			s.must(s.Term("agent-3"))
			return func() {
				_, err := s.Wait("agent-3", stopBound)
				s.must(err)
				s.must(s.Restart(s.ctx, "agent-3"))
			}
		},
	}
	play := s.Begin(s.ctx, s.Streams("switching", 40, 100))
	for _, inject := range faults {
		repair := inject()
		time.Sleep(groupSilence)
		repair()
	}
	s.awaitMaps(first + 1) // the map still changes
	s.verify(play.Wait())
}

// Guards against ranks that go on without the outcome of a switch. Messages between the agents
// are delayed repeatedly, for a few steps of the group, so that ranks armed for a switch reach
// its step before they learn the outcome. They must wait until they know it.
func TestOneMapWithLateMessages(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.39", Group: true, LinkAgents: true, AgentSettings: deployment.Settings{
		"group.plan-interval": "100ms", "group.beat": "100ms",
	}})
	rng := rand.New(rand.NewPCG(3, 4))
	stop := time.After(delayPeriod)
	for delaying := true; delaying; {
		agent := []string{"agent-1", "agent-2", "agent-3", "agent-4"}[rng.IntN(4)]
		s.Link(agent).Blackhole()
		time.Sleep(time.Duration(rng.IntN(int(maxDelay))))
		s.Link(agent).Heal()
		select {
		case <-stop:
			delaying = false
		case <-time.After(time.Duration(rng.IntN(int(maxDelay)))):
		}
	}
	t.Logf("maps used: %d", s.awaitMaps(wantMaps))
	s.verify(nil)
}

// delayPeriod is how long messages are delayed in all, maxDelay the longest delay of
// one. A step takes five milliseconds.
const (
	delayPeriod = 12 * time.Second
	maxDelay    = 150 * time.Millisecond
)

// groupSilence is longer than the time after which members of the group treat a silent one as
// failed.
const groupSilence = 2500 * time.Millisecond

// awaitMaps waits until the ranks have used at least want maps and returns how many they have
// used.
func (s *harness) awaitMaps(want int) int {
	s.t.Helper()
	count := 0
	s.must(deployment.Until(s.ctx, func() error {
		ranks, err := s.Ranks(s.ctx)
		if err != nil {
			return err
		}
		maps := make(map[uint64]bool)
		for _, r := range ranks {
			for _, span := range r.Spans {
				maps[span.Map] = true
			}
		}
		if count = len(maps); count < want {
			return errNoSwitch
		}
		return nil
	}))
	return count
}
