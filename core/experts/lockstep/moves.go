package lockstep

import (
	"time"

	"verbenashift/core/experts/engine"
)

// finishArmed goes on with a change for which a rank is armed.
func (s *Coordinator) finishArmed(ranks []Rank) ([]Command, bool) {
	version, step := armed(ranks)
	if version == 0 {
		return nil, false
	}
	cmds, done := s.armInTurn(ranks, version, step)
	if !done {
		return cmds, true
	}
	s.measure()
	return s.release(ranks, step), true
}

// armInTurn returns the next orders to arm a map for a pass, or to take back what
// is in their way, and reports whether all ranks are armed. The steward's own rank
// is armed last, the next one before it, each when all before are. So a steward
// that is lost just after its orders to the many leaves one that is not armed,
// which shows that its own is not; see abandon.
func (s *Coordinator) armInTurn(ranks []Rank, version, step int64) (cmds []Command, done bool) {
	missing := 0
	for _, i := range s.inTurn(ranks) {
		st := &ranks[i].State
		switch {
		case st.ArmedMap == version && st.ArmedStep == step, st.Map == version:
			continue
		case st.ArmedMap != 0:
			// Another steward has armed it for an older map, or for a later
			// pass. Neither can ever be armed everywhere.
			cmds = append(cmds, s.command(ranks, i, engine.Order{Kind: engine.DisarmMap, Version: st.ArmedMap}))
		case st.Prepared > version:
			// Another steward has prepared a newer map here, so that this rank
			// can never be armed for the older one: those that are must be
			// taken back, or they would switch alone.
			return s.disarm(ranks, version), false
		case st.Prepared == version && (missing == 0 || i != s.self && i != s.nextRank(ranks)):
			cmds = append(cmds, s.command(ranks, i, engine.Order{Kind: engine.ArmMap, Version: version, Step: step}))
		}
		missing++
	}
	return cmds, missing == 0
}

// release lets the group begin a pass that is held.
func (s *Coordinator) release(ranks []Rank, step int64) []Command {
	return s.order(ranks, engine.Order{Kind: engine.ReleasePass, Step: step},
		func(st *engine.State) bool { return st.Held == step })
}

// disarm takes back what is armed for a map.
func (s *Coordinator) disarm(ranks []Rank, version int64) []Command {
	return s.order(ranks, engine.Order{Kind: engine.DisarmMap, Version: version},
		func(st *engine.State) bool { return st.ArmedMap == version })
}

// order gives an order to the ranks whose state asks for it.
func (s *Coordinator) order(ranks []Rank, o engine.Order, due func(*engine.State) bool) []Command {
	var cmds []Command
	for i := range ranks {
		if due(&ranks[i].State) {
			cmds = append(cmds, s.command(ranks, i, o))
		}
	}
	return cmds
}

// underHold goes on while the group is held and no rank is armed. The way out
// is always a change: what is released without one could still be armed by a
// late order.
func (s *Coordinator) underHold(ranks []Rank, step int64) []Command {
	if prepared(ranks) {
		if i := s.freeRank(ranks); i >= 0 && !s.holdsAt(ranks, step) {
			return s.holdRank(ranks, i, step)
		}
		cmds, _ := s.armInTurn(ranks, ranks[0].State.Prepared, step)
		return cmds
	}
	return s.prepare(ranks)
}

// hold stops the group at a pass that it has not reached.
func (s *Coordinator) hold(ranks []Rank) []Command {
	last := lastStep(ranks)
	if s.holdAt <= last {
		s.holdAt = last + s.pass.lead(max(leadTime, s.took))
	}
	s.heldAt = s.now
	return s.holdRank(ranks, s.nextRank(ranks), s.holdAt)
}

// holdRank has one rank hold the group at a pass.
func (s *Coordinator) holdRank(ranks []Rank, i int, step int64) []Command {
	s.holdAt, s.holder = step, i
	cmd := s.command(ranks, i, engine.Order{Kind: engine.HoldPass, Step: step})
	cmd.Direct = i != s.self
	return []Command{cmd}
}

// holdsAt reports whether a hold of this steward stands at a pass. Under a hold of
// another one nothing may be armed: if a third has given that hold up, its order to
// release it may still be under way.
func (s *Coordinator) holdsAt(ranks []Rank, step int64) bool {
	return s.holdAt == step && s.holder < len(ranks) && ranks[s.holder].State.Held == step
}

// freeRank returns a rank that holds nothing, the steward's own last, or -1.
func (s *Coordinator) freeRank(ranks []Rank) int {
	for k := 1; k <= len(ranks); k++ {
		i := (s.self + k) % len(ranks)
		if ranks[i].State.Held == 0 {
			return i
		}
	}
	return -1
}

// prepareAgain is how long a rank is left alone with an order to prepare: it
// says nothing while it copies.
const prepareAgain = 150 * time.Millisecond

// prepare gives the map to the ranks that do not have it.
func (s *Coordinator) prepare(ranks []Rank) []Command {
	if s.version == 0 {
		return nil
	}
	if s.asked == nil || s.askedFor != s.version {
		s.asked, s.askedFor = make([]time.Time, len(ranks)), s.version
	}
	var cmds []Command
	for i := range ranks {
		st := &ranks[i].State
		if st.Prepared != s.version && s.now.Sub(s.asked[i]) >= prepareAgain {
			s.asked[i] = s.now
			cmds = append(cmds, s.command(ranks, i, engine.Order{Kind: engine.PrepareMap, Version: s.version, Map: s.content}))
		}
	}
	return cmds
}

// forgetDone ends a change that is in force, or that was made for a map that is
// not in force any more: what it would load was counted from that map.
func (s *Coordinator) forgetDone(ranks []Rank) {
	if s.version != 0 && all(ranks, func(st *engine.State) bool { return st.Map != s.base }) {
		s.version, s.content, s.holdAt = 0, nil, 0
	}
}

// nextRank returns the rank after the steward's own.
func (s *Coordinator) nextRank(ranks []Rank) int { return (s.self + 1) % len(ranks) }

// inTurn returns the ranks in the order in which they are armed.
func (s *Coordinator) inTurn(ranks []Rank) []int {
	turn := make([]int, 0, len(ranks))
	for k := 2; k <= len(ranks)+1; k++ {
		turn = append(turn, (s.self+k)%len(ranks))
	}
	if n := len(turn); n > 1 {
		turn[n-2], turn[n-1] = turn[n-1], turn[n-2]
	}
	return turn
}

func (s *Coordinator) command(ranks []Rank, i int, o engine.Order) Command {
	if o.Kind == engine.ArmMap {
		s.before = nil
	}
	o.Epoch, o.Expect, o.Fence = ranks[i].State.Epoch, ranks[i].State.Seq, s.Fence
	return Command{Rank: i, Order: o}
}
