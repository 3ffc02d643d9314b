package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/platform"
)

const (
	oldSalt = 7
	oldMap  = 3*saltRange + oldSalt
	holdAt  = 40
)

// held returns three ranks on map 0, with a map prepared by the steward before
// and a hold at rank 1, where the steward at rank 0 places its holds.
func held() []Rank {
	ranks := make([]Rank, 3)
	for i := range ranks {
		ranks[i] = Rank{Known: true, State: platform.RankState{
			Group: "g", Epoch: 1, Rank: i, Size: 3, Open: true, Step: holdAt - 1, Prepared: oldMap,
		}}
	}
	ranks[1].State.Held = holdAt
	return ranks
}

func kinds(cmds []Command) map[platform.OrderKind]int {
	n := map[platform.OrderKind]int{}
	for _, c := range cmds {
		n[c.Order.Kind]++
	}
	return n
}

var start = time.Unix(100, 0)

// A steward's instance freezes just after its hold, its rank with it. All
// callers of the group would wait until it is back. The next steward finds
// nothing armed and lets the group go on without a change.
func TestHoldOfLostStewardIsGivenUp(t *testing.T) {
	is := is.New(t)
	ranks := held()
	ranks[0].Known = false
	s := NewSteward(2, &Predecessor{Rank: 0, Salt: oldSalt}, 9)
	is.Equal(len(s.Next(ranks, start)), 0)
	cmds := s.Next(ranks, start.Add(abandonAfter))
	is.Equal(len(cmds), 1)
	is.Equal(cmds[0].Rank, 1)
	is.Equal(cmds[0].Order.Kind, platform.ReleasePass)
	is.Equal(cmds[0].Order.Step, int64(holdAt))
}

// The missing rank may be armed, and would then switch alone: its order to arm
// was given by this steward and not answered, or by a third one, or another rank
// than that of the steward before is missing. The hold has to stay.
func TestHoldStaysIfTheMissingRankMayBeArmed(t *testing.T) {
	late := start.Add(time.Minute)
	t.Run("armed by this steward", func(t *testing.T) {
		is := is.New(t)
		ranks := held()
		s := NewSteward(2, &Predecessor{Rank: 0, Salt: oldSalt}, 9)
		is.Equal(kinds(s.Next(ranks, start))[platform.ArmMap], 2)
		ranks[0].Known = false
		is.Equal(len(s.Next(ranks, start)), 0)
		is.Equal(len(s.Next(ranks, late)), 0)
	})
	t.Run("prepared by a third steward", func(t *testing.T) {
		is := is.New(t)
		ranks := held()
		ranks[0].Known = false
		s := NewSteward(2, &Predecessor{Rank: 0, Salt: oldSalt + 1}, 9)
		is.Equal(len(s.Next(ranks, start)), 0)
		is.Equal(len(s.Next(ranks, late)), 0)
	})
	t.Run("another rank is missing", func(t *testing.T) {
		is := is.New(t)
		ranks := held()
		ranks[2].Known = false
		s := NewSteward(1, &Predecessor{Rank: 0, Salt: oldSalt}, 9)
		is.Equal(len(s.Next(ranks, start)), 0)
		is.Equal(len(s.Next(ranks, late)), 0)
	})
	t.Run("one is armed", func(t *testing.T) {
		is := is.New(t)
		ranks := held()
		ranks[0].Known = false
		ranks[2].State.ArmedMap, ranks[2].State.ArmedStep = oldMap, holdAt
		s := NewSteward(2, &Predecessor{Rank: 0, Salt: oldSalt}, 9)
		is.Equal(len(s.Next(ranks, start)), 0)
		is.Equal(len(s.Next(ranks, late)), 0)
	})
}

// A change on ranks that do what they are told: prepare everywhere, hold at the
// next rank and straight at its server, arm the others, arm the own rank, release.
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
	s := NewSteward(0, nil, 5)
	is.True(s.Idle(read()))
	s.Propose(read(), Map{{{1}, {2}, {3}}})
	var moves []platform.OrderKind
	for tick := 1; tick < 40 && !s.Idle(read()); tick++ {
		cmds := s.Next(read(), start.Add(time.Duration(tick)*20*time.Millisecond))
		for _, c := range cmds {
			is.Equal(c.Direct, c.Order.Kind == platform.HoldPass)
			is.True(m.apply(c.Rank, c.Order, tick))
		}
		if len(cmds) > 0 && (len(moves) == 0 || moves[len(moves)-1] != cmds[0].Order.Kind || cmds[0].Order.Kind == platform.ArmMap) {
			moves = append(moves, cmds[0].Order.Kind)
		}
		if cmds == nil || cmds[0].Order.Kind == platform.PrepareMap || cmds[0].Order.Kind == platform.ReleasePass {
			m.tick(tick)
		}
		is.NoErr(m.mixed)
	}
	is.Equal(moves, []platform.OrderKind{platform.PrepareMap, platform.HoldPass, platform.ArmMap, platform.ArmMap, platform.ReleasePass})
	version, same := InForce(read())
	is.True(same)
	is.Equal(version%saltRange, int64(5))
}

// A rank answers that it does not understand the map. The steward must not repeat
// it for ever: callers would see the passes of the old map until the steward dies.
func TestMalformedMapIsGivenUp(t *testing.T) {
	is := is.New(t)
	ranks := held()
	for i := range ranks {
		ranks[i].State.Held, ranks[i].State.Prepared = 0, 0
	}
	s := NewSteward(0, nil, 5)
	s.Next(ranks, start) // it learns the epoch
	s.Propose(ranks, Map{{{1}, {2}, {3}}})
	cmds := s.Next(ranks, start)
	is.Equal(kinds(cmds)[platform.PrepareMap], 3)
	s.Malformed(cmds[1].Order)
	is.True(s.Idle(ranks))
	is.Equal(len(s.Next(ranks, start.Add(time.Second))), 0)
	s.Propose(ranks, Map{{{2}, {1}, {3}}})
	is.True(s.Next(ranks, start.Add(time.Second))[0].Order.Version != cmds[0].Order.Version)
}

// Ranks leave orders unanswered, so that it takes 200 ms until all are armed. With
// a hold for the next pass but one, callers would see a pause of that length at
// each change. After the first such change the hold stands as far ahead.
func TestHoldIsAsFarAheadAsChangesTake(t *testing.T) {
	is := is.New(t)
	const pass, arming = 50 * time.Millisecond, 200 * time.Millisecond
	s := NewSteward(0, nil, 5)
	s.pass.took = pass
	ranks := held()
	s.epoch, s.version = 1, oldMap
	for i := range ranks {
		ranks[i].State.Held = 0
	}
	is.Equal(s.Next(ranks, start)[0].Order.Step, holdAt-1+int64(leadTime/pass)+1) // nothing is known yet
	for i := range ranks {
		ranks[i].State.ArmedMap, ranks[i].State.ArmedStep = oldMap, holdAt
	}
	ranks[1].State.Held = holdAt
	is.Equal(s.Next(ranks, start.Add(arming))[0].Order.Kind, platform.ReleasePass)
	is.Equal(s.took, arming)
	s.holdAt = 0
	is.Equal(s.hold(ranks)[0].Order.Step, holdAt-1+int64(arming/pass)+1)
	// One quick change does not undo it: the next may be slow again.
	s.heldAt, s.now = start, start.Add(10*time.Millisecond)
	s.measure()
	is.Equal(s.took, time.Duration(tookKept*float64(arming)))
}

// The steward is silent: the agents beside the first ranks should try before
// the others, and not all at once.
func TestCandidateTakesTurns(t *testing.T) {
	is := is.New(t)
	c := NewCandidate(start)
	is.True(!c.Due(0, start.Add(silence-1)))
	is.True(c.Due(0, start.Add(silence)))
	is.True(!c.Due(3, start.Add(silence)))
	is.True(c.Due(3, start.Add(silence+3*stagger)))
	c.Tried(start.Add(silence))
	is.True(!c.Due(0, start.Add(silence+again-1)))
	is.True(c.Due(0, start.Add(silence+again)))
	c.Heard(start.Add(time.Minute), false)
	is.True(!c.Due(0, start.Add(time.Minute)))
	is.True(c.Due(1000, start.Add(time.Minute+silence+maxStagger)))
}

// The steward's instance freezes right after its hold, and no caller of the group
// is served until somebody takes over. An agent that has heard of the hold does
// so sooner, one that has not waits its turn.
func TestHeldGroupWaitsLessForANewSteward(t *testing.T) {
	is := is.New(t)
	knows, other := NewCandidate(start), NewCandidate(start)
	knows.Heard(start, true)
	other.Heard(start, false)
	is.True(!knows.Due(5, start.Add(heldSilence+5*heldStagger-1)))
	is.True(knows.Due(5, start.Add(heldSilence+5*heldStagger)))
	is.True(!other.Due(5, start.Add(silence+5*stagger-1)))
	knows.Heard(start, false) // the hold is over
	is.True(!knows.Due(5, start.Add(silence)))
	is.True(knows.Due(1000, start.Add(silence+maxStagger)))
}

// The time of a pass decides how many callers are let in. Read over single passes
// it jumped between 6 and 190 ms while it was 100.
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
			is.True(p.took > 70*time.Millisecond && p.took < 160*time.Millisecond)
		}
	}
	// A group that makes no passes tells nothing: the last time stays.
	before := p.took
	p.observe(p.step, now.Add(time.Minute))
	is.Equal(p.took, before)
}
