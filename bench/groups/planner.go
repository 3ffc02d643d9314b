package groups

import (
	"slices"
	"time"

	"verbenashift/core/experts/expert"
)

// epoch is the start of all traces.
var epoch = time.Date(2026, time.December, 1, 6, 0, 0, 0, time.UTC)

// after returns the end of an interval.
func after(t int) time.Time { return epoch.Add(time.Duration(t+1) * interval) }

// rebalancer is a policy under test.
type rebalancer interface {
	// next returns the maps that come into force after the next interval
	// and how many replicas have to be loaded for them.
	next(now time.Time, maps []expert.Map, loads []*expert.Estimator, protected int) ([]expert.Map, int)
}

// static keeps the first map.
type static struct{}

func (static) next(_ time.Time, maps []expert.Map, _ []*expert.Estimator, _ int) ([]expert.Map, int) {
	return maps, 0
}

// full places every expert anew at every interval, from the newest report.
type full struct{ group *expert.Group }

func (f full) next(now time.Time, maps []expert.Map, loads []*expert.Estimator, _ int) ([]expert.Map, int) {
	next, moved := make([]expert.Map, len(maps)), 0
	for l := range maps {
		next[l] = expert.Place(f.group, loads[l].Forecast(nil, now))
		moved += len(expert.Diff(f.group, l, maps[l], next[l]))
	}
	return next, moved
}

// planned follows the project's planner and counts its reasons.
type planned struct {
	planner *expert.Planner
	budget  expert.Budget
	reasons map[expert.Reason]int
}

// newPlanned bounds the policy to what the store can give in an interval.
func newPlanned(g *expert.Group, p expert.Policy) *planned {
	p.MaxBytes = g.StoreRate * int64((interval - switching).Seconds()) * layers / modelLayers
	return &planned{planner: expert.NewPlanner(g, p), reasons: map[expert.Reason]int{}}
}

func (p *planned) next(now time.Time, maps []expert.Map, loads []*expert.Estimator, protected int) ([]expert.Map, int) {
	in := expert.Input{Now: now, Protected: protected, Spent: p.budget}
	for l := range maps {
		in.Layers = append(in.Layers, expert.Layer{Map: maps[l], Loads: loads[l]})
	}
	plan := p.planner.Plan(in)
	p.reasons[plan.Reason]++
	p.budget = p.budget.Spend(now, p.planner.Policy, plan)
	next := make([]expert.Map, len(maps))
	for l := range maps {
		next[l] = maps[l].Apply(p.planner.Group, l, plan.Moves)
	}
	return next, len(plan.Moves)
}

// result is what a policy did on a trace. Skews are pooled over intervals and
// layers, so that one bad layer isn't hidden by good ones.
type result struct {
	mean, p95 float64
	moves     int
	switches  int
	blocked   int // intervals in which an earlier plan was still loading
	seconds   float64
}

func (r result) bytes() float64 { return float64(r.moves) * expertBytes }

// delay is how long a plan that loads so many replicas takes until it is in
// force.
type delay func(moves int) time.Duration

// byRate loads the plan, scaled to all layers of the model, at the group's
// rate of the weight store and then switches.
func byRate(g *expert.Group) delay {
	return func(moves int) time.Duration {
		bytes := float64(moves) * expertBytes * modelLayers / layers
		return switching + time.Duration(bytes/float64(g.StoreRate)*float64(time.Second))
	}
}

// byInterval is a slower store, or a slower steward: any plan takes a whole
// interval.
func byInterval(int) time.Duration { return interval }

// atOnce spares a baseline the rate of the weight store.
func atOnce(int) time.Duration { return switching }

// play runs a policy over a trace.
func play(tr *trace, g *expert.Group, policy rebalancer, d delay) result {
	maps := make([]expert.Map, layers)
	loads := make([]*expert.Estimator, layers)
	for l := range maps {
		maps[l] = expert.Place(g, tr.loads[0][l])
		loads[l] = expert.NewEstimator(experts, expert.Smoothing{})
	}
	coming, wait := maps, time.Duration(0)
	var skews []float64
	r := result{}
	for t := range tr.loads {
		old := min(wait.Seconds()/interval.Seconds(), 1)
		for l := range maps {
			now := tr.loads[t][l]
			skews = append(skews, old*maps[l].Skew(g, now)+(1-old)*coming[l].Skew(g, now))
			if u, seen := tr.report(t, l); seen != nil {
				loads[l].Observe(after(u), seen)
			}
		}
		if wait -= interval; wait > 0 {
			r.blocked++
			continue
		}
		maps = coming
		next, moved := policy.next(after(t), maps, loads, tr.protected[t])
		coming, wait = next, 0
		if moved > 0 {
			wait = d(moved)
			r.switches++
			r.moves += moved
			r.seconds += wait.Seconds()
		}
	}
	r.mean, r.p95 = summary(skews)
	return r
}

// bounds returns the mean and the 95th percentile of the lower bound on the
// skew that the slots allow, for the true loads of a trace.
func bounds(tr *trace, g *expert.Group) (mean, p95 float64) {
	var skews []float64
	for t := range tr.loads {
		for l := range tr.loads[t] {
			skews = append(skews, expert.LowerBound(g, tr.loads[t][l]).Skew)
		}
	}
	return summary(skews)
}

func summary(skews []float64) (mean, p95 float64) {
	slices.Sort(skews)
	for _, s := range skews {
		mean += s / float64(len(skews))
	}
	return mean, skews[(len(skews)*95+99)/100-1]
}
