package groups

import (
	"slices"
	"time"

	"verbenashift/core/experts/expert"
)

// epoch is the start of all traces.
var epoch = time.Date(2026, time.December, 1, 6, 0, 0, 0, time.UTC)

// after returns the end of interval t.
func after(t int) time.Time { return epoch.Add(time.Duration(t+1) * interval) }

// rebalancer is a rebalancing policy under test.
type rebalancer interface {
	// next returns the maps to switch to and the number of replicas that have to
	// be loaded for them.
	next(now time.Time, maps []expert.Map, loads []*expert.Estimator, protected int) ([]expert.Map, int)
}

// static is the baseline that keeps the first map.
type static struct{}

func (static) next(_ time.Time, maps []expert.Map, _ []*expert.Estimator, _ int) ([]expert.Map, int) {
	return maps, 0
}

// full is the baseline that places all experts anew in every interval, by the
// latest forecast.
type full struct{ group *expert.Group }

func (f full) next(now time.Time, maps []expert.Map, loads []*expert.Estimator, _ int) ([]expert.Map, int) {
	next, moved := make([]expert.Map, len(maps)), 0
	for l := range maps {
		next[l] = expert.Place(f.group, loads[l].Forecast(nil, now))
		moved += len(expert.Diff(f.group, l, maps[l], next[l]))
	}
	return next, moved
}

// plannedPolicy follows the plans of an expert.Planner and counts their reasons.
type plannedPolicy struct {
	planner *expert.Planner
	budget  expert.Budget
	reasons map[expert.Reason]int
}

// newPlannedPolicy limits the bytes of a plan of p to what the weight store
// delivers in an interval.
func newPlannedPolicy(g *expert.Group, p expert.Policy) *plannedPolicy {
	p.MaxBytes = g.StoreRate * int64((interval - switching).Seconds()) * layers / modelLayers
	return &plannedPolicy{planner: expert.NewPlanner(g, p), reasons: map[expert.Reason]int{}}
}

func (p *plannedPolicy) next(now time.Time, maps []expert.Map, loads []*expert.Estimator, protected int) ([]expert.Map, int) {
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

// result is the result of a policy on a trace. Skews are pooled over intervals
// and layers, so that good layers don't hide a bad one.
type result struct {
	mean, p95 float64
	moves     int
	switches  int
	blocked   int // intervals in which an earlier plan was still loading
	seconds   float64
}

func (r result) bytes() float64 { return float64(r.moves) * expertBytes }

// loadDelay returns the time after which a plan takes effect that loads the given
// number of replicas.
type loadDelay func(moves int) time.Duration

// delayByRate is the time to load the plan, scaled to all layers of the model, at
// the group's rate of the weight store, and to switch.
func delayByRate(g *expert.Group) loadDelay {
	return func(moves int) time.Duration {
		bytes := float64(moves) * expertBytes * modelLayers / layers
		return switching + time.Duration(bytes/float64(g.StoreRate)*float64(time.Second))
	}
}

// delayByInterval stands for a slower store or coordinator: any plan takes a
// whole interval.
func delayByInterval(int) time.Duration { return interval }

// switchOnly is the delay of baselines, for which loading takes no time.
func switchOnly(int) time.Duration { return switching }

// simulate runs a policy over a trace. While a plan is loading, the old maps stay
// in effect and the policy is not consulted.
func simulate(tr *trace, g *expert.Group, policy rebalancer, d loadDelay) result {
	maps := make([]expert.Map, layers)
	loads := make([]*expert.Estimator, layers)
	for l := range maps {
		maps[l] = expert.Place(g, tr.loads[0][l])
		loads[l] = expert.NewEstimator(experts, expert.Smoothing{})
	}
	pending, wait := maps, time.Duration(0)
	var skews []float64
	r := result{}
	for t := range tr.loads {
		old := min(wait.Seconds()/interval.Seconds(), 1)
		for l := range maps {
			now := tr.loads[t][l]
			skews = append(skews, old*maps[l].Skew(g, now)+(1-old)*pending[l].Skew(g, now))
			if u, seen := tr.report(t, l); seen != nil {
				loads[l].Observe(after(u), seen)
			}
		}
		if wait -= interval; wait > 0 {
			r.blocked++
			continue
		}
		maps = pending
		next, moved := policy.next(after(t), maps, loads, tr.protected[t])
		pending, wait = next, 0
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

// bounds returns the mean and the 95th percentile of the lower bound on the skew
// that is possible with the group's slots and the true loads of a trace.
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
