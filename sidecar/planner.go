package main

import (
	"strconv"
	"time"

	"verbenashift/core/expert"
	"verbenashift/core/lockstep"
	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

const (
	// memory is the time constant in which counts are forgotten. Shorter ones
	// follow a change of the mix sooner, and see less work to judge it by.
	memory = 500 * time.Millisecond
	// leastGain is the mean skew that a change must save, and enough the skew
	// below which a layer is left alone, while passes are short; gainPressed and
	// enoughPressed are the same while they are long. Then a tenth of skew decides
	// whether answers are on time; otherwise it is not worth its copies, which
	// make passes 15 in 100 longer for some tenths of a second.
	leastGain     = 0.25
	gainPressed   = 0.1
	enough        = 1.2
	enoughPressed = 1.1
	// pressedPart is the part of the longest allowed pause from which passes are
	// long.
	pressedPart = 0.5
	// copyTime is how long the copies of a change may take on one rank. Until
	// they are done the bad map slows every pass. With experts of 0.11 s, three
	// copies a rank gave a worth of 0.669 on a day of high load, two 0.717, one
	// 0.778; with experts of 0.016 s, one copy gave 0.289, three 0.318, four 0.304
	// (72 ranks under full load, mean of 4 runs).
	copyTime = 50 * time.Millisecond
	// leastChosen is how often each expert must have been chosen lately, in
	// the mean, for an estimate.
	leastChosen = 20
	// guessCounts is for how many choices of each expert a guess stands: little
	// more than is needed to plan with it, so that new counts soon outweigh it.
	guessCounts = 1.5 * leastChosen
	// slowPace is the pace over which a rank counts as slow.
	slowPace = 1.1
)

// planner turns counts into better maps. The zero value waits for the shape of
// the group.
type planner struct {
	engine platform.Engine
	group  expert.Group
	// ranks are the targets of the group by rank, as last taken.
	ranks []string
	// places are the last ones of each target.
	places map[string]*platform.Placement
	recent []expert.Recent
	// guess are the loads that an earlier steward has saved, until they are used.
	guess *savedLoads
	// placed says that places are those of the map in force.
	placed bool
}

// proposal is a better map with what is expected of it.
type proposal struct {
	m             lockstep.Map
	before, after float64
	loads         int
}

// shape takes the figures of the group's engines.
func (p *planner) shape(e platform.Engine) {
	if e == p.engine {
		return
	}
	p.engine = e
	p.places = map[string]*platform.Placement{}
	p.recent = make([]expert.Recent, e.Sets)
	for i := range p.recent {
		p.recent[i].Memory = memory
	}
	p.begin()
}

// begin uses the guess, if it fits the shape of the group.
func (p *planner) begin() {
	if p.guess == nil || len(p.guess.Layers) != len(p.recent) {
		return
	}
	for l, loads := range p.guess.Layers {
		if len(loads) != p.engine.Experts {
			return
		}
		guess := make([]float64, len(loads))
		for e, x := range loads {
			guess[e] = float64(x)
		}
		p.recent[l].Begin(guess, guessCounts*float64(p.engine.Experts))
	}
	p.guess = nil
}

// save returns the loads for the next steward.
func (p *planner) save() *savedLoads {
	saved := &savedLoads{}
	for l := range p.recent {
		saved.Layers = append(saved.Layers, scaled(p.recent[l].Loads()))
	}
	return saved
}

// take takes in what the ranks have told.
func (p *planner) take(now time.Time, byRank []string, tells map[string]rankpeer.Tell) {
	p.ranks, p.placed = byRank, false
	experts := p.engine.Experts
	if p.engine.Sets == 0 {
		return
	}
	chosen := make([]float64, p.engine.Sets*experts)
	for _, id := range byRank {
		t := tells[id]
		if t.Placement != nil {
			p.places[id] = t.Placement
		}
		if t.Sample != nil {
			t.Sample.AddTo(chosen)
		}
	}
	for l := range p.recent {
		p.recent[l].Observe(now, chosen[l*experts:(l+1)*experts])
	}
	p.placed = p.known(tells)
	p.fitGroup()
	for r, id := range byRank {
		p.group.Ranks[r].Pace = 1
		if pace := tells[id].State.Pace; pace > slowPace {
			p.group.Ranks[r].Pace = pace
		}
	}
}

// know takes the map in force from who has made it.
func (p *planner) know(version, epoch int64, m lockstep.Map) {
	for r, id := range p.ranks {
		place := &platform.Placement{Epoch: epoch, Map: version}
		for l := range m {
			place.Experts = append(place.Experts, m[l][r])
		}
		p.places[id] = place
	}
	p.placed = len(p.ranks) > 0
}

// known reports whether the places are those of the map in force.
func (p *planner) known(tells map[string]rankpeer.Tell) bool {
	for _, id := range p.ranks {
		if p.inForce(id, tells[id]) == nil {
			return false
		}
	}
	return len(p.ranks) > 0
}

// inForce returns the places of a rank in the map in force, or nil if they are
// not known.
func (p *planner) inForce(id string, t rankpeer.Tell) *platform.Placement {
	place := p.places[id]
	if !t.Known || place == nil || place.Map != t.State.Map || place.Epoch != t.State.Epoch || len(place.Experts) != p.engine.Sets {
		return nil
	}
	return place
}

// stopgap returns a map under which the ranks that are known keep what they have,
// while one rank is missing: that one gets the experts that no other has. It
// returns nil if the places of more ranks are not known.
func (p *planner) stopgap(tells map[string]rankpeer.Tell) lockstep.Map {
	missing := -1
	m := make(lockstep.Map, p.engine.Sets)
	for l := range m {
		m[l] = make([][]int, len(p.ranks))
	}
	for r, id := range p.ranks {
		place := p.inForce(id, tells[id])
		switch {
		case place == nil && missing >= 0:
			return nil
		case place == nil:
			missing = r
			continue
		}
		for l := range m {
			m[l][r] = place.Experts[l]
		}
	}
	if missing < 0 {
		return nil
	}
	for l := range m {
		m[l][missing] = absent(m[l], p.engine.Experts)
		if len(m[l][missing]) > p.engine.Places {
			return nil
		}
	}
	return m
}

// absent returns the experts of a layer that no rank has.
func absent(ranks [][]int, experts int) []int {
	has := make([]bool, experts)
	for _, list := range ranks {
		for _, e := range list {
			if e >= 0 && e < experts {
				has[e] = true
			}
		}
	}
	none := []int{}
	for e, ok := range has {
		if !ok {
			none = append(none, e)
		}
	}
	return none
}

// current returns the map in force, or nil if it is not known.
func (p *planner) current() lockstep.Map {
	if !p.placed {
		return nil
	}
	m := make(lockstep.Map, p.engine.Sets)
	for l := range m {
		for _, id := range p.ranks {
			m[l] = append(m[l], p.places[id].Experts[l])
		}
	}
	return m
}

// better returns a better map, if there is one that is worth its copies. Pressed
// says that passes are long.
func (p *planner) better(pressed bool) (proposal, bool) {
	gain, stop := leastGain, enough
	if pressed {
		gain, stop = gainPressed, enoughPressed
	}
	if !p.placed || !p.judged() {
		return proposal{}, false
	}
	if p.skew()-1 < gain {
		return proposal{}, false
	}
	maps := p.flat()
	loads := make([][]float64, len(p.recent))
	for l := range p.recent {
		loads[l] = p.recent[l].Loads()
	}
	next, before, after := expert.Rebalance(&p.group, maps, loads, expert.Limits{PerLayer: p.engine.Spare, PerRank: p.perRank(), Enough: stop})
	if before-after < gain {
		return proposal{}, false
	}
	pr := proposal{before: before, after: after, m: p.nested(next)}
	for l := range next {
		pr.loads += len(expert.Diff(&p.group, l, maps[l], next[l]))
	}
	return pr, true
}

// skew returns the mean skew of the layers under the map in force, or 0 if it is
// not known.
func (p *planner) skew() float64 {
	if !p.placed || !p.judged() {
		return 0
	}
	total := 0.0
	for l, m := range p.flat() {
		total += m.Skew(&p.group, p.recent[l].Loads())
	}
	return total / float64(len(p.recent))
}

// perRank is how many experts a change may copy to one rank.
func (p *planner) perRank() int {
	if p.engine.ExpertTime <= 0 {
		return 1
	}
	return max(1, int(copyTime/p.engine.ExpertTime))
}

// judged reports whether there is work to judge the loads by.
func (p *planner) judged() bool {
	for l := range p.recent {
		if p.recent[l].Total() < leastChosen*float64(p.engine.Experts) {
			return false
		}
	}
	return true
}

func (p *planner) fitGroup() {
	if len(p.group.Ranks) == len(p.ranks) && p.group.Experts == p.engine.Experts && p.group.Slots == p.engine.Places {
		return
	}
	p.group = expert.Group{Ranks: make([]expert.Rank, len(p.ranks)), Experts: p.engine.Experts, Slots: p.engine.Places}
	for r := range p.group.Ranks {
		p.group.Ranks[r].Server = strconv.Itoa(r)
	}
}

// flat returns the map in force as the planner of package expert has it.
func (p *planner) flat() []expert.Map {
	maps := make([]expert.Map, p.engine.Sets)
	for l := range maps {
		m := expert.NewMap(&p.group)
		for r, id := range p.ranks {
			for k, e := range p.places[id].Experts[l] {
				if k < p.group.Slots {
					m[r*p.group.Slots+k] = int32(e)
				}
			}
		}
		maps[l] = m
	}
	return maps
}

// nested is the inverse of flat, without the empty places.
func (p *planner) nested(maps []expert.Map) lockstep.Map {
	out := make(lockstep.Map, len(maps))
	for l, m := range maps {
		out[l] = make([][]int, len(p.group.Ranks))
		for r := range out[l] {
			for _, e := range m[r*p.group.Slots : (r+1)*p.group.Slots] {
				if e != expert.Empty {
					out[l][r] = append(out[l][r], int(e))
				}
			}
		}
	}
	return out
}
