package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// Guards against a map for a missing rank that loads experts or lacks some.
func TestPlaceholderLoadsNothing(t *testing.T) {
	is := is.New(t)
	p := planner{
		engine: deployment.Engine{Sets: 1, Experts: 5, Places: 3}, ranks: []string{"a", "b", "c"},
		places: map[string]*engine.Placement{
			"a": {Epoch: 2, Map: 7, Experts: [][]int{{0, 1}}},
			"c": {Epoch: 2, Map: 7, Experts: [][]int{{1, 3}}},
		},
	}
	in := engine.State{Epoch: 2, Map: 7}
	responses := map[string]rankpeer.Response{"a": {Known: true, State: in}, "c": {Known: true, State: in}}
	is.Equal(p.placeholderMap(responses), lockstep.Map{{{0, 1}, {2, 4}, {1, 3}}})
	responses["c"] = rankpeer.Response{Known: true, State: engine.State{Epoch: 2, Map: 8}}
	is.Equal(p.placeholderMap(responses), nil) // the placement of c belongs to an older map
	p.engine.Places = 1
	responses["c"] = rankpeer.Response{Known: true, State: in}
	is.Equal(p.placeholderMap(responses), nil) // it does not fit
}

// Guards against a new coordinator that sends whole maps, or starts from one of an earlier epoch.
func TestNewCoordinatorKnowsTheMap(t *testing.T) {
	is := is.New(t)
	a := &agent{groupState: newGroupState(lockstep.Follower{}, time.Time{})}
	m := rankpeer.Pack([][][]int{{{0, 1}, {2, 3}}}, 2)
	is.Equal(a.maps.build(3, 77, &rankpeer.Change{Full: m}), m)
	ranks := []lockstep.Rank{{}, {Known: true, State: engine.State{Epoch: 3, Map: 77}}}
	s := &coordinator{agent: a}
	s.adoptBase(ranks)
	is.Equal(s.base, m)
	is.Equal(s.baseVersion, int64(77))
	ranks[1].State.Epoch = 4
	later := &coordinator{agent: a}
	later.adoptBase(ranks)
	is.Equal(later.base, nil)
}

// Guards against a change that waits for the counts of all ranks.
func TestCountsWaitForAChange(t *testing.T) {
	is := is.New(t)
	s := &coordinator{core: lockstep.NewCoordinator(0, nil, 1)}
	ranks := []lockstep.Rank{{Known: true, State: engine.State{Open: true, Size: 1, Epoch: 1}}}
	now := time.Unix(1000, 0)
	counts := func(after time.Duration) bool {
		now = now.Add(after)
		s.startCounting(now)
		return s.counting
	}
	is.True(counts(0))
	is.True(!counts(countsInterval - 1))
	is.True(counts(1))
	s.core.Propose(ranks, lockstep.Map{{{0}}})
	is.True(!counts(countsInterval))
	is.True(!counts(countsIntervalInChange - countsInterval - 1))
	is.True(counts(1))
}

// Guards against a change made from another first map than that of the engines.
func TestFirstMapIsCheckedByItsHash(t *testing.T) {
	is := is.New(t)
	shape := rankpeer.Shape{Layers: 1, Ranks: 2, Places: 2, Experts: 4}
	first, next := rankpeer.Pack([][][]int{{{0, 2}, {1, 3}}}, 2), rankpeer.Pack([][][]int{{{0, 3}, {1, 2}}}, 2)
	moves, ok := rankpeer.Diff(first, next)
	is.True(ok)
	var maps mapStore
	is.True(maps.build(1, 7, &rankpeer.Change{Base: first.Hash() + 1, First: &shape, Moves: moves}) == nil)
	is.Equal(maps.build(1, 7, &rankpeer.Change{Base: first.Hash(), First: &shape, Moves: moves}), next)
	// A map that was made from it can be a base as well, in any epoch.
	back, ok := rankpeer.Diff(next, first)
	is.True(ok)
	is.Equal(maps.build(2, 9, &rankpeer.Change{Base: next.Hash(), Moves: back}), first)
}

// twoHotExperts returns a planner whose three ranks hold two hot experts on one rank of each of
// two layers.
func twoHotExperts(expertTime time.Duration) *planner {
	p := &planner{}
	p.setEngine(deployment.Engine{Sets: 2, Experts: 6, Places: 3, Spare: 2, ExpertTime: expertTime})
	now := time.Unix(1000, 0)
	// Multiples of a fifteenth of the largest count are not rounded randomly.
	sample := rankpeer.NewSample(nil, []int64{900, 900, 60, 60, 60, 60, 900, 900, 60, 60, 60, 60})
	responses := map[string]rankpeer.Response{}
	for r, id := range []string{"a", "b", "c"} {
		own := []int{2 * r, 2*r + 1}
		responses[id] = rankpeer.Response{
			Known: true, State: engine.State{Epoch: 1, Map: 5},
			Placement: &engine.Placement{Epoch: 1, Map: 5, Experts: [][]int{own, own}},
		}
	}
	p.observe(now, []string{"a", "b", "c"}, responses, []*rankpeer.Sample{sample})
	return p
}

// Guards against more copies in a change where they are short anyway, take longer than an order to
// prepare may, or make passes too long.
func TestCopiesGrowOnlyWhereAChangeIsLonger(t *testing.T) {
	for _, c := range []struct {
		name       string
		expertTime time.Duration
		passTime   time.Duration
		most       int
	}{
		{"not stated", 0, 60 * time.Millisecond, 1},
		{"short", 16 * time.Millisecond, 60 * time.Millisecond, 3},
		{"a part of the change", 36 * time.Millisecond, 60 * time.Millisecond, 2},
		{"a part of the change, long passes", 36 * time.Millisecond, 142 * time.Millisecond, 1},
		{"long", 111 * time.Millisecond, 60 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := twoHotExperts(c.expertTime)
			p.passTime, p.gap = c.passTime, 150*time.Millisecond
			first, ok := p.better(true)
			is.True(ok)
			is.Equal(first.perRank, min(p.perRank(), 2)) // nothing is known of changes yet
			p.changeTime.Observe(200*time.Millisecond+c.expertTime, 1)
			pr, ok := p.better(true)
			is.True(ok)
			is.True(pr.perRank <= c.most)
			is.Equal(pr.perRank > first.perRank, c.most > p.perRank())
		})
	}
}

// Guards against a coordinator that ends because a rank reports an invalid placement.
func TestInvalidPlacementIsIgnored(t *testing.T) {
	valid := []int{0, 1}
	for name, experts := range map[string][][]int{
		"too large":     {valid, {0, 6}},
		"far too large": {valid, {0, 1 << 40}},
		"negative":      {{-2, 1}, valid},
		"a layer more":  {valid, valid, valid},
		"a layer less":  {valid},
		"none at all":   nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := twoHotExperts(0)
			now := time.Unix(1001, 0)
			sample := rankpeer.NewSample(nil, []int64{900, 900, 60, 60, 60, 60, 900, 900, 60, 60, 60, 60})
			responses := map[string]rankpeer.Response{}
			for _, id := range []string{"a", "b", "c"} {
				responses[id] = rankpeer.Response{Known: true, State: engine.State{Epoch: 1, Map: 6}}
			}
			odd := responses["a"]
			odd.Placement = &engine.Placement{Epoch: 1, Map: 6, Experts: experts}
			responses["a"] = odd
			for _, id := range []string{"b", "c"} {
				r := responses[id]
				r.Placement = &engine.Placement{Epoch: 1, Map: 6, Experts: [][]int{{2, 3}, {4, 5}}}
				responses[id] = r
			}
			p.observe(now, []string{"a", "b", "c"}, responses, []*rankpeer.Sample{sample})
			_, _ = p.better(true)
			is.True(!p.placed)
		})
	}
}
