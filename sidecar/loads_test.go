package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/rankpeer"
)

// steadyLoads are saved loads of two layers that fit testEngine.
func steadyLoads() *savedLoads {
	return &savedLoads{
		Group: groupG, Layers: [][]uint16{{900, 900, 30, 30, 30, 30}, {900, 900, 30, 30, 30, 30}}, Alike: 0.95, ChangeRest: 180 * time.Millisecond,
		Needs: groupNeeds{Engine: testEngine, Gap: 80 * time.Millisecond},
	}
}

var testEngine = deployment.Engine{Sets: 2, Experts: 6, Places: 3, Spare: 2, ExpertTime: 10 * time.Millisecond}

// Guards against a first map by loads that do not fit the demand, against none by those that do,
// and against a first change after a loss that copies as if nothing were known of changes.
func TestSavedLoadsMakeTheFirstMap(t *testing.T) {
	formed := engine.State{Epoch: 1, Open: true}
	changing := steadyLoads()
	changing.Alike = 0.65
	unknown := steadyLoads()
	unknown.Alike = 0
	other := steadyLoads()
	other.Layers = other.Layers[:1]
	sample := rankpeer.NewSample(nil, []int64{60, 60, 60, 60, 900, 900, 60, 60, 60, 60, 900, 900})
	for _, c := range []struct {
		name   string
		saved  *savedLoads
		state  engine.State
		counts []*rankpeer.Sample
		// used says that the first map is planned by the loads, kept that they are still there.
		used, kept bool
	}{
		{"formed anew", steadyLoads(), formed, nil, true, false},
		{"not formed yet", steadyLoads(), engine.State{Epoch: 1}, nil, false, true},
		{"the map has outlived the coordinator", steadyLoads(), engine.State{Epoch: 1, Open: true, Map: 77}, nil, false, false},
		{"the demand changed all the time", changing, formed, nil, false, false},
		{"saved once, or by an older version", unknown, formed, nil, false, false},
		{"of another shape", other, formed, nil, false, false},
		{"the demand is known", steadyLoads(), formed, []*rankpeer.Sample{sample}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &planner{}
			p.setEngine(testEngine)
			now := time.Unix(1000, 0)
			byRank := []string{"a", "b", "c"}
			responses := map[string]rankpeer.Response{}
			for r, id := range byRank {
				own := []int{2 * r, 2*r + 1}
				responses[id] = rankpeer.Response{
					Known: true, State: c.state,
					Placement: &engine.Placement{Epoch: c.state.Epoch, Map: c.state.Map, Experts: [][]int{own, own}},
				}
			}
			if c.counts != nil {
				p.observe(now, byRank, responses, c.counts)
				p.observe(now, byRank, responses, c.counts)
			}
			p.guess = c.saved
			p.observe(now, byRank, responses, nil)
			is.Equal(p.guess != nil, c.kept)
			is.Equal(p.changeTime.Rest, 180*time.Millisecond) // it does not depend on the demand
			is.Equal(p.save().ChangeRest, 180*time.Millisecond)
			pr, ok := p.better(true)
			is.Equal(ok, c.used || c.counts != nil)
			if c.counts != nil {
				is.Equal(p.recent[0].Loads()[0], 120.0) // the counts alone
			}
			if c.used {
				is.True(pr.before > 2)
				is.True(pr.after < 1.5)
			}
		})
	}
}

// Guards against a coordinator that acts without the store and never reads the saved loads, or
// reads more of the store than it needs.
func TestProvisionalCoordinatorReadsSavedLoads(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	writer := &coordinator{agent: a, group: groupG, log: a.log}
	is.NoErr(writer.saveLoads(t.Context(), steadyLoads()))
	co := &coordinator{agent: a, group: groupG, log: a.log}
	before := store.Calls()
	co.readNeeds(t.Context(), false)
	is.Equal(store.Calls()-before, 1)
	is.Equal(co.found.Load().Alike, 0.95)
	is.Equal(co.needs.load().Engine, testEngine)
	// With the loads read and the needs known nothing is read.
	before = store.Calls()
	co.readNeeds(t.Context(), true)
	is.Equal(store.Calls(), before)
}

// Guards against reads of the saved loads that go on for as long as the store is away.
func TestReadsOfSavedLoadsAreBounded(t *testing.T) {
	defer func(d time.Duration) { needsRetryInterval = d }(needsRetryInterval)
	needsRetryInterval = time.Millisecond
	is := is.New(t)
	a, store := testAgent(t)
	store.SetDown(true)
	co := &coordinator{agent: a, group: groupG, log: a.log}
	co.needs.set(groupNeeds{Engine: testEngine})
	before := store.Calls()
	co.readNeeds(t.Context(), false)
	is.True(co.found.Load() == nil)
	is.True(store.Calls()-before <= maxLoadsReads)
}

// Guards against loads that count as steady since they are compared with themselves or nothing.
func TestSavedLoadsTellHowMuchTheyChange(t *testing.T) {
	is := is.New(t)
	first, second, third := steadyLoads(), steadyLoads(), steadyLoads()
	first.Alike, third.Layers = 0, [][]uint16{{30, 30, 30, 30, 900, 900}, {30, 30, 30, 30, 900, 900}}
	first.compare(nil)
	is.Equal(first.Alike, 0.0)
	second.compare(first)
	is.Equal(second.Alike, 1.0)
	third.compare(second)
	is.True(third.Alike < 0.2)
}

// Guards against a first change that waits for the counts of a usual round.
func TestFirstCountsAreReadAtOnce(t *testing.T) {
	is := is.New(t)
	s := testCoordinator(t)
	now := time.Unix(1000, 0)
	s.firstCounts = true
	s.startCounting(now)
	is.True(s.counting)
	s.startCounting(now.Add(firstCountsInterval))
	is.True(s.counting)
	s.firstCounts = false
	s.startCounting(now.Add(2 * firstCountsInterval))
	is.True(!s.counting)
}
