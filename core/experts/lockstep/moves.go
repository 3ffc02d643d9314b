package lockstep

import (
	"time"

	"verbenashift/core/experts/engine"
)

// finishArmed continues a change for which a rank is armed.
func (s *Coordinator) finishArmed(ranks []Rank) ([]Command, bool) {
	version, step := armed(ranks)
	if version == 0 {
		return nil, false
	}
	cmds, done := s.armNext(ranks, version, step)
	if !done {
		return cmds, true
	}
	s.recordChangeTime()
	return s.release(ranks, step), true
}

// armNext returns the next orders to arm a map for a pass, or to disarm what conflicts with
// it, and reports whether all ranks are armed. The coordinator's own rank is armed last and
// the one after it last but one, each only when all before are. So a coordinator that is lost
// just after its orders to the others leaves a rank that is not armed, which shows that its
// own is not; see abandon.
func (s *Coordinator) armNext(ranks []Rank, version, step int64) (cmds []Command, done bool) {
	missing := 0
	for _, i := range s.armOrder(ranks) {
		st := &ranks[i].State
		switch {
		case st.ArmedMap == version && st.ArmedStep == step, st.Map == version:
			continue
		case st.ArmedMap != 0:
			// Another coordinator has armed it for an older map, or for a later pass. Neither
			// can ever be armed everywhere.
			cmds = append(cmds, s.command(ranks, i, engine.Order{Kind: engine.DisarmMap, Version: st.ArmedMap}))
		case st.Prepared > version:
			// Another coordinator has prepared a newer map here, so that this rank can never
			// be armed for the older one. The ranks that are armed for it must be disarmed, or
			// they would switch alone.
			return s.disarm(ranks, version), false
		case st.Prepared == version && (missing == 0 || i != s.self && i != s.nextRank(ranks)):
			cmds = append(cmds, s.command(ranks, i, engine.Order{Kind: engine.ArmMap, Version: version, Step: step}))
		}
		missing++
	}
	return cmds, missing == 0
}

// release lets the group begin a held pass.
func (s *Coordinator) release(ranks []Rank, step int64) []Command {
	return s.order(ranks, engine.Order{Kind: engine.ReleasePass, Step: step},
		func(st *engine.State) bool { return st.Held == step })
}

// disarm disarms the ranks that are armed for a map.
func (s *Coordinator) disarm(ranks []Rank, version int64) []Command {
	return s.order(ranks, engine.Order{Kind: engine.DisarmMap, Version: version},
		func(st *engine.State) bool { return st.ArmedMap == version })
}

// order returns an order for each rank whose state is due.
func (s *Coordinator) order(ranks []Rank, o engine.Order, due func(*engine.State) bool) []Command {
	var cmds []Command
	for i := range ranks {
		if due(&ranks[i].State) {
			cmds = append(cmds, s.command(ranks, i, o))
		}
	}
	return cmds
}

// continueHeld continues while the group is held and no rank is armed. The way out is always a
// change: if the hold were released without one, a late order could still arm a rank.
func (s *Coordinator) continueHeld(ranks []Rank, step int64) []Command {
	if prepared(ranks) {
		if i := s.rankWithoutHold(ranks); i >= 0 && !s.ownsHold(ranks, step) {
			return s.holdRank(ranks, i, step)
		}
		cmds, _ := s.armNext(ranks, ranks[0].State.Prepared, step)
		return cmds
	}
	return s.prepare(ranks)
}

// placeHold has a rank hold a pass that the group has not reached.
func (s *Coordinator) placeHold(ranks []Rank) []Command {
	last := lastStep(ranks)
	if s.holdAt <= last {
		s.holdAt = last + s.pass.lead(max(leadTime, s.changeTime))
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

// ownsHold reports whether this coordinator's own hold stands at a pass. Under another
// coordinator's hold nothing may be armed: if a third one has abandoned that hold, its order
// to release it may still be under way.
func (s *Coordinator) ownsHold(ranks []Rank, step int64) bool {
	return s.holdAt == step && s.holder < len(ranks) && ranks[s.holder].State.Held == step
}

// rankWithoutHold returns a rank that holds nothing, the coordinator's own last, or -1.
func (s *Coordinator) rankWithoutHold(ranks []Rank) int {
	for k := 1; k <= len(ranks); k++ {
		i := (s.self + k) % len(ranks)
		if ranks[i].State.Held == 0 {
			return i
		}
	}
	return -1
}

// prepareRetryInterval is how long to wait before an order to prepare is repeated: a rank does
// not report progress while it copies.
const prepareRetryInterval = 150 * time.Millisecond

// prepare sends the map to the ranks that have not prepared it.
func (s *Coordinator) prepare(ranks []Rank) []Command {
	if s.version == 0 {
		return nil
	}
	if s.prepareSentAt == nil || s.prepareSentVersion != s.version {
		s.prepareSentAt, s.prepareSentVersion = make([]time.Time, len(ranks)), s.version
	}
	var cmds []Command
	for i := range ranks {
		st := &ranks[i].State
		if st.Prepared != s.version && s.now.Sub(s.prepareSentAt[i]) >= prepareRetryInterval {
			s.prepareSentAt[i] = s.now
			cmds = append(cmds, s.command(ranks, i, engine.Order{Kind: engine.PrepareMap, Version: s.version, Map: s.content}))
		}
	}
	return cmds
}

// clearFinished ends a change that is in force, or whose base map is not in force any more:
// what the change would load was computed from that map.
func (s *Coordinator) clearFinished(ranks []Rank) {
	if s.version != 0 && all(ranks, func(st *engine.State) bool { return st.Map != s.base }) {
		s.version, s.content, s.holdAt = 0, nil, 0
	}
}

// nextRank returns the rank after the coordinator's own.
func (s *Coordinator) nextRank(ranks []Rank) int { return (s.self + 1) % len(ranks) }

// armOrder returns the ranks in the order in which they are armed.
func (s *Coordinator) armOrder(ranks []Rank) []int {
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
		s.predecessor = nil
	}
	o.Epoch, o.Expect, o.Fence = ranks[i].State.Epoch, ranks[i].State.Seq, s.Fence
	return Command{Rank: i, Order: o}
}
