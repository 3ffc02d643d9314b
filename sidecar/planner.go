package main

import (
	"slices"
	"strconv"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

const (
	// countMemory is the time constant of the decay of counts. Shorter ones follow a change of
	// the mix sooner, but leave fewer counts to estimate loads from.
	countMemory = 500 * time.Millisecond
	// minGain is the mean skew that a change must save, and skewThreshold the skew below which a
	// layer is left alone, while passes are short; minGainLongPass and skewThresholdLongPass are
	// the same while they are long. Then a small skew decides whether answers are on time;
	// otherwise it is not worth its copies, which make passes longer while they are under way.
	minGain               = 0.25
	minGainLongPass       = 0.1
	skewThreshold         = 1.2
	skewThresholdLongPass = 1.1
	// longPassFraction is the fraction of the longest allowed gap above which passes count as
	// long.
	longPassFraction = 0.5
	// copyTime is how long the copies of a change may take on one rank in any case. Until they
	// are done the imbalanced map slows every pass.
	copyTime = 50 * time.Millisecond
	// maxCopyTime is how long they may take where more copies shorten the time until the map is
	// balanced. An order to prepare that takes longer would be sent again.
	maxCopyTime = 150 * time.Millisecond
	// skewWindow is over how long a pass may still have been measured at an earlier skew: the span of
	// a measurement and a round.
	skewWindow = 500 * time.Millisecond
	// minChosen is how often each expert must have been chosen recently, in the mean, for an
	// estimate.
	minChosen = 20
	// guessCounts is the weight of a guess, in choices of each expert: little more than is
	// needed to plan with it, so that new counts soon outweigh it.
	guessCounts = 1.5 * minChosen
	// slowPace is the pace above which a rank counts as slow.
	slowPace = 1.1
)

// planner computes better maps from counts. The zero value waits for the settings of the group's
// engine.
type planner struct {
	engine deployment.Engine
	group  expert.Group
	// ranks are the targets of the group by rank, as last observed.
	ranks []string
	// places are the last known placements, by target.
	places map[string]*engine.Placement
	recent []expert.RecentLoads
	// guess are the loads that an earlier coordinator has saved, until they are used or dropped.
	guess *savedLoads
	// placed says that places belong to the map in force.
	placed bool
	// changeTime is how long recent changes took.
	changeTime expert.ChangeTime
	// passes forecasts passes from passTime, the mean time of recent ones, and gap is the longest
	// pause between events that callers are to see; each is 0 before it is known.
	passes        expert.PassForecast
	passTime, gap time.Duration
	// skew is the mean skew of the layers under the map in force, by the last counts; 0 if it is
	// not known.
	skew float64
}

// proposal is a better map with its expected effect.
type proposal struct {
	m             lockstep.Map
	before, after float64
	// loads is the number of copies, and perRank the largest of one rank.
	loads, perRank int
}

// setEngine sets the settings of the group's engine, and resets the counts if they have changed.
func (p *planner) setEngine(e deployment.Engine) {
	if e == p.engine {
		return
	}
	p.engine = e
	p.changeTime = expert.ChangeTime{Copy: e.ExpertTime}
	p.places = map[string]*engine.Placement{}
	p.recent = make([]expert.RecentLoads, e.Sets)
	for i := range p.recent {
		p.recent[i].TimeConstant = countMemory
	}
}

// applyGuess takes from the guess how long changes take, and starts the counts from it where that is
// worth a change: the group is open with its first map, which fits no demand, there are no counts
// yet, and the demand was steady when the guess was saved. Loads of any age and of any era of the
// store do, since without them the first map stays; counts that differ replace them.
func (p *planner) applyGuess(responses map[string]rankpeer.Response) {
	if p.guess == nil {
		return
	}
	if p.changeTime.Rest == 0 {
		p.changeTime.Rest = p.guess.ChangeRest
	}
	open := false
	for _, resp := range responses {
		st := &resp.State
		if resp.Known && st.Open && st.Map != 0 {
			p.guess = nil
			return
		}
		open = open || resp.Known && st.Open
	}
	if !open {
		return
	}
	guess := p.guess
	p.guess = nil
	loads := guess.loads()
	if !expert.Steady(1-guess.Alike) || len(loads) != len(p.recent) {
		return
	}
	for l := range loads {
		if len(loads[l]) != p.engine.Experts || p.recent[l].Total() > 0 {
			return
		}
	}
	for l := range loads {
		p.recent[l].SetPrior(loads[l], guessCounts*float64(p.engine.Experts))
	}
}

// save returns the loads for the next coordinator.
func (p *planner) save() *savedLoads {
	saved := &savedLoads{ChangeRest: p.changeTime.Rest}
	for l := range p.recent {
		saved.Layers = append(saved.Layers, scaled(p.recent[l].Loads()))
	}
	return saved
}

// observe records the placements that the ranks reported, and the counts of their requests.
func (p *planner) observe(now time.Time, byRank []string, responses map[string]rankpeer.Response, samples []*rankpeer.Sample) {
	p.ranks, p.placed, p.skew = byRank, false, 0
	experts := p.engine.Experts
	if p.engine.Sets == 0 {
		return
	}
	chosen := make([]float64, p.engine.Sets*experts)
	for _, id := range byRank {
		t := responses[id]
		if t.Placement != nil && p.isValid(t.Placement) {
			p.places[id] = t.Placement
		}
	}
	p.applyGuess(responses)
	for _, sample := range samples {
		sample.AddTo(chosen)
	}
	for l := range p.recent {
		p.recent[l].Observe(now, chosen[l*experts:(l+1)*experts])
	}
	p.placed = p.placementsKnown(responses)
	p.fitGroup()
	for r, id := range byRank {
		p.group.Ranks[r].Pace = 1
		if pace := responses[id].State.Pace; pace > slowPace {
			p.group.Ranks[r].Pace = pace
		}
	}
	if p.skew = p.meanSkew(); p.skew > 0 {
		p.passes.Window = skewWindow
		p.passes.Observe(now, p.skew)
	}
}

// better returns a better map, if there is one whose gain is worth its copies. It settles for
// less gain while passes are long.
func (p *planner) better(longPasses bool) (proposal, bool) {
	gain, stop := minGain, skewThreshold
	if longPasses {
		gain, stop = minGainLongPass, skewThresholdLongPass
	}
	if !p.placed || !p.enoughCounts() {
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
	next, before, after := expert.Rebalance(&p.group, maps, loads, expert.Limits{
		PerLayer: p.engine.Spare, PerRank: p.perRank(), MaxPerRank: p.maxPerRank(), ChangeTime: p.changeTime, MinGain: minGainLongPass, TargetSkew: stop,
	})
	if before-after < gain {
		return proposal{}, false
	}
	pr := proposal{before: before, after: after, m: p.nested(next)}
	byRank := make([]int, len(p.group.Ranks))
	for l := range next {
		for _, move := range expert.Diff(&p.group, l, maps[l], next[l]) {
			pr.loads++
			byRank[move.Rank]++
		}
	}
	pr.perRank = slices.Max(byRank)
	return pr, true
}

// meanSkew returns the mean skew of the layers under the map in force, or 0 if it is not known.
func (p *planner) meanSkew() float64 {
	if !p.placed || !p.enoughCounts() {
		return 0
	}
	total := 0.0
	for l, m := range p.flat() {
		total += m.Skew(&p.group, p.recent[l].Loads())
	}
	return total / float64(len(p.recent))
}

// perRank returns how many experts a change may copy to one rank in any case.
func (p *planner) perRank() int { return p.copiesWithin(copyTime) }

// maxPerRank returns how many experts a change may copy to one rank where that pays, and makes no
// pass too long for callers.
func (p *planner) maxPerRank() int {
	if p.perRank() > 1 {
		return 0 // Copies are short compared to the rest of a change.
	}
	return p.copiesWithin(min(maxCopyTime, expert.CopyRoom(p.passes.Pass(p.passTime), p.gap)))
}

// copiesWithin returns how many experts a rank can copy in a time, at least 1.
func (p *planner) copiesWithin(limit time.Duration) int {
	if p.engine.ExpertTime <= 0 {
		return 1
	}
	return max(1, int(limit/p.engine.ExpertTime))
}

// enoughCounts reports whether there are enough counts to estimate the loads of all layers.
func (p *planner) enoughCounts() bool {
	for l := range p.recent {
		if p.recent[l].Total() < minChosen*float64(p.engine.Experts) {
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
