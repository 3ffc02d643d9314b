package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/standin/deployment"
)

var errNoSwitch = errors.New("no new expert map yet")

// wantMaps is how many maps the group must have used in turn, so that there
// were switches to judge: before, during and after the trouble.
const wantMaps = 3

// The load drifts from expert to expert and the group changes its map again
// and again, while its steward is killed, frozen past its lease and rolled,
// links are cut and the store is down. Whatever becomes of a switch, no two
// ranks may make one step on different maps, and the group must get a new map
// once all is mended.
func TestOneMapUnderFailure(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.38", Group: true, LinkAgents: true})
	first := s.newMap(wantMaps - 1)
	blowsNow := []func() func(){
		func() func() { return s.dies("agent-1") },
		func() func() { s.must(s.Stop("agent-2")); return func() { s.must(s.Cont("agent-2")) } },
		func() func() { s.Link("agent-3").Blackhole(); return s.Link("agent-3").Heal },
		func() func() {
			s.must(s.Fault(s.ctx, "platform", fault{"down": true}))
			return func() { s.must(s.Fault(s.ctx, "platform", fault{"down": false})) }
		},
		func() func() { return s.dies("agent-4") },
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
	for _, blow := range blowsNow {
		mend := blow()
		time.Sleep(groupSilence)
		mend()
	}
	s.newMap(first + 1) // it goes on
	s.kept(play.Wait())
}

// Messages between the agents come late again and again, for a few steps of the
// group, so that ranks that have armed for a switch reach its step before they
// hear how it ended. They must stand still until they know.
func TestOneMapWithLateMessages(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.39", Group: true, LinkAgents: true, AgentSettings: deployment.Settings{
		"group.plan-interval": "100ms", "group.beat": "100ms",
	}})
	rng := rand.New(rand.NewPCG(3, 4))
	stop := time.After(lateTime)
	for late := true; late; {
		agent := []string{"agent-1", "agent-2", "agent-3", "agent-4"}[rng.IntN(4)]
		s.Link(agent).Blackhole()
		time.Sleep(time.Duration(rng.IntN(int(lateMost))))
		s.Link(agent).Heal()
		select {
		case <-stop:
			late = false
		case <-time.After(time.Duration(rng.IntN(int(lateMost)))):
		}
	}
	t.Logf("maps in use in turn: %d", s.newMap(wantMaps))
	s.kept(nil)
}

// How long messages come late in all, and how late they come at most; a step
// takes five milliseconds.
const (
	lateTime = 12 * time.Second
	lateMost = 150 * time.Millisecond
)

// groupSilence is longer than the group's members wait for one another.
const groupSilence = 2500 * time.Millisecond

// newMap waits until the ranks have used so many maps and returns how many.
func (s *scene) newMap(want int) int {
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
