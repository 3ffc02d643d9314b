package main

import (
	"strconv"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

const (
	// memory is the time constant in which counts are forgotten. Shorter ones
	// follow a change of the mix sooner, and see less work to judge it by.
	memory = 500 * time.Millisecond
	// leastGain is the mean skew that a change must save, and enough the skew
	// below which a layer is left alone, while passes are short; gainPressed and
	// enoughPressed are the same while they are long. Then a little skew decides
	// whether answers are on time; otherwise it is not worth its copies, which
	// make passes longer while they are under way.
	leastGain     = 0.25
	gainPressed   = 0.1
	enough        = 1.2
	enoughPressed = 1.1
	// pressedPart is the part of the longest allowed pause from which passes are
	// long.
	pressedPart = 0.5
	// copyTime is how long the copies of a change may take on one rank. Until
	// they are done the bad map slows every pass.
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
	engine deployment.Engine
	group  expert.Group
	// ranks are the targets of the group by rank, as last taken.
	ranks []string
	// places are the last ones of each target.
	places map[string]*engine.Placement
	recent []expert.RecentLoads
	// guess are the loads that an earlier steward has saved, until they are used.
	guess *savedLoads
	// placed says that places are those of the map in force.
	placed bool
	// skew is the mean skew of the layers under the map in force, as the last counts
	// have it; 0 if it is not known.
	skew float64
}

// proposal is a better map with what is expected of it.
type proposal struct {
	m             lockstep.Map
	before, after float64
	loads         int
}

// shape takes the figures of the group's engines.
func (p *planner) shape(e deployment.Engine) {
	if e == p.engine {
		return
	}
	p.engine = e
	p.places = map[string]*engine.Placement{}
	p.recent = make([]expert.RecentLoads, e.Sets)
	for i := range p.recent {
		p.recent[i].TimeConstant = memory
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
		p.recent[l].SetPrior(guess, guessCounts*float64(p.engine.Experts))
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

// take takes in what the ranks have told, with the counts of their requests.
func (p *planner) take(now time.Time, byRank []string, tells map[string]rankpeer.Response, samples []*rankpeer.Sample) {
	p.ranks, p.placed, p.skew = byRank, false, 0
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
	}
	for _, sample := range samples {
		sample.AddTo(chosen)
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
	p.skew = p.measure()
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
	if p.skew-1 < gain {
		return proposal{}, false
	}
	maps := p.flat()
	loads := make([][]float64, len(p.recent))
	for l := range p.recent {
		loads[l] = p.recent[l].Loads()
	}
	next, before, after := expert.Rebalance(&p.group, maps, loads, expert.Limits{PerLayer: p.engine.Spare, PerRank: p.perRank(), TargetSkew: stop})
	if before-after < gain {
		return proposal{}, false
	}
	pr := proposal{before: before, after: after, m: p.nested(next)}
	for l := range next {
		pr.loads += len(expert.Diff(&p.group, l, maps[l], next[l]))
	}
	return pr, true
}

// measure returns the mean skew of the layers under the map in force, or 0 if it is
// not known.
func (p *planner) measure() float64 {
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
