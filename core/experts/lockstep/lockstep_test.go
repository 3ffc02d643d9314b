package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/engine"
)

const (
	oldSalt = 7
	oldMap  = 3*saltRange + oldSalt
	holdAt  = 40
)

// heldRanks returns three ranks on map 0, with a map prepared by the predecessor and a hold at
// rank 1, where the coordinator at rank 0 places its holds.
func heldRanks() []Rank {
	ranks := make([]Rank, 3)
	for i := range ranks {
		ranks[i] = Rank{Known: true, State: engine.State{
			Group: "g", Epoch: 1, Rank: i, Size: 3, Open: true, Step: holdAt - 1, Prepared: oldMap,
		}}
	}
	ranks[1].State.Held = holdAt
	return ranks
}

func kinds(cmds []Command) map[engine.OrderKind]int {
	n := map[engine.OrderKind]int{}
	for _, c := range cmds {
		n[c.Order.Kind]++
	}
	return n
}

var start = time.Unix(100, 0)

// placeholder stands for a map that loads nothing.
var placeholder = Map{{{0}, {1}, {2}}}

// successor returns the coordinator that follows the one that placed the hold of heldRanks.
func successor(self int) *Coordinator {
	s := NewCoordinator(self, &Predecessor{Rank: 0, Salt: oldSalt}, 9)
	s.Placeholder = placeholder
	return s
}

// Guards against a group that stays held until a frozen coordinator is back.
func TestHoldOfLostCoordinatorIsAbandoned(t *testing.T) {
	is := is.New(t)
	ranks := heldRanks()
	ranks[0].Known = false
	s := successor(2)
	is.Equal(len(s.Next(ranks, start)), 0)
	now := start.Add(abandonAfter)
	cmds := s.Next(ranks, now)
	is.Equal(len(cmds), 2) // the ranks that are known
	for _, c := range cmds {
		is.Equal(c.Order.Kind, engine.PrepareMap)
		is.True(c.Order.Version > oldMap)
		is.Equal(c.Order.Map, [][][]int(placeholder))
	}
	ranks[1].State.Prepared = cmds[0].Order.Version
	is.Equal(kinds(s.Next(ranks, now))[engine.ReleasePass], 0) // one may still be armed
	ranks[2].State.Prepared = cmds[0].Order.Version
	cmds = s.Next(ranks, now)
	is.Equal(len(cmds), 1)
	is.Equal(cmds[0].Rank, 1)
	is.Equal(cmds[0].Order.Kind, engine.ReleasePass)
	is.Equal(cmds[0].Order.Step, int64(holdAt))
}

// Guards against putting a placeholder map in force after the predecessor has come back.
func TestPlaceholderIsDropped(t *testing.T) {
	is := is.New(t)
	ranks := heldRanks()
	ranks[0].Known = false
	s := successor(2)
	s.Next(ranks, start)
	is.Equal(kinds(s.Next(ranks, start.Add(abandonAfter)))[engine.PrepareMap], 2)
	ranks[0].Known = true
	ranks[0].State = ranks[1].State
	ranks[0].State.Rank, ranks[0].State.Held = 0, 0
	ranks[1].State.Prepared = oldMap + 2*saltRange
	is.Equal(len(s.Next(ranks, start.Add(time.Second))), 0)
	is.True(s.Stuck(ranks)) // a map is to be proposed
}

// Guards against releasing a group in which a missing rank may switch alone.
func TestHoldStaysIfTheMissingRankMayBeArmed(t *testing.T) {
	t.Run("armed by this coordinator", func(t *testing.T) {
		is := is.New(t)
		ranks := heldRanks()
		s := successor(2)
		is.Equal(kinds(s.Next(ranks, start))[engine.HoldPass], 1) // a hold of its own
		ranks[0].State.Held = holdAt
		is.Equal(kinds(s.Next(ranks, start))[engine.ArmMap], 1)
		ranks[0].Known = false
		stays(is, s, ranks)
	})
	t.Run("prepared by a third coordinator", func(t *testing.T) {
		is := is.New(t)
		ranks := heldRanks()
		ranks[0].Known = false
		s := NewCoordinator(2, &Predecessor{Rank: 0, Salt: oldSalt + 1}, 9)
		stays(is, s, ranks)
	})
	t.Run("another rank is missing", func(t *testing.T) {
		is := is.New(t)
		ranks := heldRanks()
		ranks[2].Known = false
		s := NewCoordinator(1, &Predecessor{Rank: 0, Salt: oldSalt}, 9)
		stays(is, s, ranks)
	})
	t.Run("all others are armed", func(t *testing.T) {
		is := is.New(t)
		ranks := heldRanks()
		ranks[0].Known = false
		for i := range ranks {
			ranks[i].State.ArmedMap, ranks[i].State.ArmedStep = oldMap, holdAt
		}
		s := successor(2)
		stays(is, s, ranks)
	})
	t.Run("armed for a map of a third coordinator", func(t *testing.T) {
		is := is.New(t)
		ranks := heldRanks()
		ranks[0].Known = false
		ranks[2].State.ArmedMap, ranks[2].State.ArmedStep = oldMap+1, holdAt
		s := successor(2)
		stays(is, s, ranks)
	})
	t.Run("no placeholder is known", func(t *testing.T) {
		is := is.New(t)
		ranks := heldRanks()
		ranks[0].Known = false
		s := successor(2)
		s.Placeholder = nil
		stays(is, s, ranks)
	})
}

// stays checks that a coordinator gives no order, now or a minute later.
func stays(is *is.I, s *Coordinator, ranks []Rank) {
	is.Helper()
	is.Equal(len(s.Next(ranks, start)), 0)
	is.Equal(len(s.Next(ranks, start.Add(time.Minute))), 0)
}

// Guards against a group that stays held because some of its ranks are armed.
func TestHoldIsAbandonedWhileSomeAreArmed(t *testing.T) {
	is := is.New(t)
	ranks := heldRanks()
	ranks[0].Known = false
	ranks[2].State.ArmedMap, ranks[2].State.ArmedStep = oldMap, holdAt
	s := successor(1)
	is.Equal(len(s.Next(ranks, start)), 0)
	now := start.Add(abandonAfter)
	cmds := s.Next(ranks, now)
	is.Equal(len(cmds), 1)
	is.Equal(cmds[0].Rank, 1)
	is.Equal(cmds[0].Order.Kind, engine.PrepareMap)
	blocked := cmds[0].Order.Version
	is.True(blocked > oldMap)
	is.Equal(len(s.Next(ranks, now)), 0) // nothing is disarmed before
	ranks[1].State.Prepared = blocked
	cmds = s.Next(ranks, now)
	is.Equal(len(cmds), 1)
	is.Equal(cmds[0].Rank, 2)
	is.Equal(cmds[0].Order.Kind, engine.DisarmMap)
	is.Equal(cmds[0].Order.Version, int64(oldMap))
	ranks[2].State.ArmedMap, ranks[2].State.ArmedStep = 0, 0
	is.Equal(len(s.Next(ranks, now)), 0)
	is.Equal(len(s.Next(ranks, now.Add(abandonAfter-1))), 0)
	cmds = s.Next(ranks, now.Add(abandonAfter))
	is.Equal(len(cmds), 1)
	is.Equal(cmds[0].Rank, 2)
	is.Equal(cmds[0].Order.Kind, engine.PrepareMap)
	is.Equal(cmds[0].Order.Version, blocked)
	ranks[2].State.Prepared = blocked
	is.Equal(kinds(s.Next(ranks, now.Add(abandonAfter)))[engine.ReleasePass], 1)
}

// Guards against a late order that leaves one rank on the previous map.
func TestBlockedMapIsNotArmed(t *testing.T) {
	is := is.New(t)
	ranks := heldRanks()
	ranks[2].State.ArmedMap, ranks[2].State.ArmedStep = oldMap, holdAt
	ranks[1].State.Prepared = oldMap + saltRange
	for _, s := range []*Coordinator{NewCoordinator(1, nil, 9), successor(1), successor(2)} {
		for _, c := range s.Next(ranks, start) {
			is.Equal(c.Order.Kind, engine.DisarmMap)
			is.Equal(c.Rank, 2)
		}
	}
}

// Guards against arming under a hold whose release is under way.
func TestArmsOnlyUnderItsOwnHold(t *testing.T) {
	is := is.New(t)
	ranks := heldRanks()
	s := NewCoordinator(0, nil, 9)
	cmds := s.Next(ranks, start)
	is.Equal(len(cmds), 1)
	is.Equal(cmds[0].Order.Kind, engine.HoldPass)
	is.Equal(cmds[0].Order.Step, int64(holdAt))
	is.Equal(cmds[0].Rank, 2)
	ranks[2].State.Held = holdAt
	is.Equal(kinds(s.Next(ranks, start))[engine.ArmMap], 1)
}

// Guards against a coordinator that freezes when nobody can tell whether its own rank is
// armed.
func TestRanksAreArmedInTurn(t *testing.T) {
	is := is.New(t)
	ranks := heldRanks()
	for i := range 2 {
		more := ranks[i+1]
		more.State.Rank, more.State.Held = len(ranks), 0
		ranks = append(ranks, more)
	}
	for i := range ranks {
		ranks[i].State.Size = len(ranks)
	}
	s := NewCoordinator(0, nil, 9)
	s.Next(ranks, start)
	ranks[s.holder].State.Held = holdAt
	var turns [][]int
	for range 3 {
		var turn []int
		for _, c := range s.Next(ranks, start) {
			is.Equal(c.Order.Kind, engine.ArmMap)
			ranks[c.Rank].State.ArmedMap, ranks[c.Rank].State.ArmedStep = c.Order.Version, c.Order.Step
			turn = append(turn, c.Rank)
		}
		turns = append(turns, turn)
	}
	is.Equal(turns, [][]int{{2, 3, 4}, {1}, {0}})
}

// Guards against a change that takes more rounds than it needs, or takes them in another
// order.
func TestMovesOfAChange(t *testing.T) {
	is := is.New(t)
	m := newModel(3, newRand())
	read := func() []Rank {
		ranks := make([]Rank, 3)
		for i := range ranks {
			ranks[i] = Rank{Known: true, State: m.ranks[i].state}
		}
		return ranks
	}
	s := NewCoordinator(0, nil, 5)
	is.True(s.Idle(read()))
	s.Propose(read(), Map{{{1}, {2}, {3}}})
	var moves []engine.OrderKind
	for tick := 1; tick < 40 && !s.Idle(read()); tick++ {
		cmds := s.Next(read(), start.Add(time.Duration(tick)*20*time.Millisecond))
		for _, c := range cmds {
			is.Equal(c.Direct, c.Order.Kind == engine.HoldPass)
			is.True(m.apply(c.Rank, c.Order, tick))
		}
		if len(cmds) > 0 && (len(moves) == 0 || moves[len(moves)-1] != cmds[0].Order.Kind || cmds[0].Order.Kind == engine.ArmMap) {
			moves = append(moves, cmds[0].Order.Kind)
		}
		if cmds == nil || cmds[0].Order.Kind == engine.PrepareMap || cmds[0].Order.Kind == engine.ReleasePass {
			m.tick(tick)
		}
		is.NoErr(m.mixed)
	}
	is.Equal(moves, []engine.OrderKind{engine.PrepareMap, engine.HoldPass, engine.ArmMap, engine.ArmMap, engine.ArmMap, engine.ReleasePass})
	version, same := InForce(read())
	is.True(same)
	is.Equal(version%saltRange, int64(5))
}

// Guards against retrying forever a map that ranks cannot parse.
func TestMalformedMapIsDropped(t *testing.T) {
	is := is.New(t)
	ranks := heldRanks()
	for i := range ranks {
		ranks[i].State.Held, ranks[i].State.Prepared = 0, 0
	}
	s := NewCoordinator(0, nil, 5)
	s.Next(ranks, start) // it learns the epoch
	s.Propose(ranks, Map{{{1}, {2}, {3}}})
	cmds := s.Next(ranks, start)
	is.Equal(kinds(cmds)[engine.PrepareMap], 3)
	s.Malformed(cmds[1].Order)
	is.True(s.Idle(ranks))
	is.Equal(len(s.Next(ranks, start.Add(time.Second))), 0)
	s.Propose(ranks, Map{{{2}, {1}, {3}}})
	is.True(s.Next(ranks, start.Add(time.Second))[0].Order.Version != cmds[0].Order.Version)
}

// Guards against a pause of all ranks for as long as arming them takes.
func TestHoldIsAsFarAheadAsChangesTake(t *testing.T) {
	is := is.New(t)
	const pass, arming = 50 * time.Millisecond, 200 * time.Millisecond
	s := NewCoordinator(0, nil, 5)
	s.pass.perPass, s.pass.windows = pass, maxLead // it has been at work for a while
	ranks := heldRanks()
	s.epoch, s.version = 1, oldMap
	for i := range ranks {
		ranks[i].State.Held = 0
	}
	is.Equal(s.Next(ranks, start)[0].Order.Step, holdAt-1+int64(leadTime/pass)+1) // nothing is known yet
	for i := range ranks {
		ranks[i].State.ArmedMap, ranks[i].State.ArmedStep = oldMap, holdAt
	}
	ranks[1].State.Held = holdAt
	is.Equal(s.Next(ranks, start.Add(arming))[0].Order.Kind, engine.ReleasePass)
	is.Equal(s.changeTime, arming)
	s.holdAt = 0
	is.Equal(s.placeHold(ranks)[0].Order.Step, holdAt-1+int64(arming/pass)+1)
	// One quick change does not reset the time: the next may be slow again.
	s.heldAt, s.now = start, start.Add(10*time.Millisecond)
	s.recordChangeTime()
	is.Equal(s.changeTime, time.Duration(changeTimeDecay*float64(arming)))
}

// Guards against agents that all attempt to take over at once when the coordinator is silent.
func TestCandidateTakesTurns(t *testing.T) {
	is := is.New(t)
	c := NewCandidate(start)
	is.True(!c.Due(0, start.Add(silenceLimit-1)))
	is.True(c.Due(0, start.Add(silenceLimit)))
	is.True(!c.Due(3, start.Add(silenceLimit)))
	is.True(c.Due(3, start.Add(silenceLimit+3*stagger)))
	c.Attempted(start.Add(silenceLimit))
	is.True(!c.Due(0, start.Add(silenceLimit+retryInterval-1)))
	is.True(c.Due(0, start.Add(silenceLimit+retryInterval)))
	c.Observe(start.Add(time.Minute), false)
	is.True(!c.Due(0, start.Add(time.Minute)))
	is.True(c.Due(1000, start.Add(time.Minute+silenceLimit+maxStagger)))
}

// Guards against a held group that waits the full time for a new coordinator.
func TestHeldGroupWaitsLessForANewCoordinator(t *testing.T) {
	is := is.New(t)
	knows, other := NewCandidate(start), NewCandidate(start)
	knows.Observe(start, true)
	other.Observe(start, false)
	is.True(!knows.Due(5, start.Add(heldSilenceLimit+5*heldStagger-1)))
	is.True(knows.Due(5, start.Add(heldSilenceLimit+5*heldStagger)))
	is.True(!other.Due(5, start.Add(silenceLimit+5*stagger-1)))
	knows.Observe(start, false) // the hold is over
	is.True(!knows.Due(5, start.Add(silenceLimit)))
	is.True(knows.Due(1000, start.Add(silenceLimit+maxStagger)))
}

// Guards against a measured pass time that jumps from reading to reading.
func TestPassClockIsSteady(t *testing.T) {
	is := is.New(t)
	var p passClock
	now, step := start, int64(100)
	for i := range 60 {
		// Passes of 100 ms, read each 20 ms or 75 ms, up to 60 ms late.
		now = now.Add(time.Duration(20+55*(i%2)) * time.Millisecond)
		late := time.Duration(i%4) * 20 * time.Millisecond
		step = max(step, 100+int64(now.Sub(start)-late)/int64(100*time.Millisecond))
		p.observe(step, now)
		if i > 20 {
			is.True(p.perPass > 70*time.Millisecond && p.perPass < 160*time.Millisecond)
		}
	}
	// A group without passes gives no measurement: the last time stays.
	before := p.perPass
	p.observe(p.step, now.Add(time.Minute))
	is.Equal(p.perPass, before)
}

// Guards against overloading a group whose passes are not timed while a rank is missing.
func TestPassesAreTimedWithoutARank(t *testing.T) {
	is := is.New(t)
	const pass = 100 * time.Millisecond
	ranks := heldRanks()
	ranks[0].Known, ranks[1].State.Held = false, 0
	s := NewCoordinator(2, nil, 9)
	for i := range 10 {
		ranks[1].State.Step, ranks[2].State.Step = int64(i), int64(i)
		is.Equal(len(s.Next(ranks, start.Add(time.Duration(i)*pass))), 0)
	}
	is.Equal(s.PassTime(), pass)
}

// Guards against a first map that is armed seconds ahead, by the passes of an idle group.
func TestLeadOfAGroupThatWasJustFormed(t *testing.T) {
	is := is.New(t)
	var p passClock
	now := start
	seen := func(passes int64) {
		now = now.Add(passWindow)
		p.observe(p.step+passes, now)
	}
	p.observe(1, now)
	is.Equal(p.lead(leadTime), int64(minLead))
	seen(75)
	is.Equal(p.lead(leadTime), int64(minLead+1)) // not 11
	seen(1)
	is.Equal(p.lead(leadTime), int64(minLead))
	for range maxLead {
		seen(75)
	}
	is.Equal(p.lead(leadTime), int64(11))
	seen(0) // it stood idle: what comes next may take longer
	is.Equal(p.lead(leadTime), int64(minLead))
}
