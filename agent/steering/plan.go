package steering

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
	loading "verbenashift/core/experts/load"
	"verbenashift/core/experts/rank"
)

// reasonNoIntent is the reason for not moving experts of a group without a
// confirmed intent.
const reasonNoIntent = "no-confirmed-intent"

// The concurrency and the time limit of the planner's calls to other agents.
const (
	maxLoadCalls = 32
	loadsTimeout = 2 * time.Second
)

// planning is the planner's state. Only the planner's goroutine uses it, except
// for the fields that mu guards.
type planning struct {
	fence      uint64
	estimators []*expert.Estimator
	planner    *expert.Planner
	budget     expert.Budget
	queue      *loading.Queue

	mu      sync.Mutex
	history expert.History
	skew    float64
	reason  string
	text    string
	loading bool
}

// groupState is the coordinator's state of the group when a plan is made.
type groupState struct {
	fence    uint64
	snapshot group.Snapshot
	// version is the map in force at all ranks; 0 if there is no such map.
	version group.Version
}

// plan makes a plan at each interval while this agent is the coordinator.
func (g *Participant) plan() {
	tick := time.NewTicker(g.cfg.PlanInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.planOnce(g.ctx)
		case <-g.ctx.Done():
			return
		}
	}
}

// groupState returns the coordinator's state of the group; ok is false if this
// agent is not the coordinator.
func (g *Participant) groupState(ctx context.Context) (s groupState, ok bool) {
	// The event loop may still run the function after ctx has ended.
	answer := make(chan groupState, 1)
	err := g.loop.Do(ctx, func() {
		now := g.now()
		if coord := g.coordinator(now); coord != nil && !coord.Superseded() {
			answer <- groupState{fence: g.holder.Fence(), snapshot: coord.Snapshot(now)}
		}
	})
	if err != nil {
		return groupState{}, false
	}
	select {
	case s = <-answer:
	default:
		return groupState{}, false
	}
	if s.snapshot.Settled {
		s.version = commonVersion(s.snapshot)
	}
	return s, true
}

// commonVersion returns the map of all members in the epoch, or 0.
func commonVersion(v group.Snapshot) group.Version {
	found := group.Version(0)
	for _, m := range v.Members {
		switch {
		case m.Epoch != v.Epoch:
		case found != 0 && m.Version != found:
			return 0
		default:
			found = m.Version
		}
	}
	return found
}

// planOnce collects the loads, then makes and executes one plan.
func (g *Participant) planOnce(ctx context.Context) {
	s, ok := g.groupState(ctx)
	if !ok {
		return
	}
	p, shape := &g.planning, g.shape.Load()
	sub := subgroupOf(shape, s.snapshot)
	p.prepare(s.fence, shape, sub)
	if s.version == 0 {
		p.setReason(0, "group-not-settled", "not moving: the group is being formed or switched")
		return
	}
	maps, err := g.findPlacement(ctx, s.version)
	if err != nil {
		p.setReason(0, "map-unknown", "not moving: the content of the map in force is not known")
		return
	}
	if !shape.fits(maps) {
		p.setReason(0, "map-of-another-shape", "not moving: the map in force is for another number of ranks, layers or slots")
		return
	}
	protected, skew := g.observe(ctx, s.version, sub.projectMaps(maps), sub)
	if !shape.confirmed {
		p.setReason(skew, reasonNoIntent, "not moving: no intent has been confirmed for the group")
		return
	}
	in := expert.Input{Now: time.Now(), Protected: protected, Spent: p.budget}
	for i, m := range sub.projectMaps(maps) {
		in.Layers = append(in.Layers, expert.Layer{Map: m, Loads: p.estimators[i]})
	}
	plan := p.planner.Plan(in)
	p.record(in.Now, skew, plan)
	if len(plan.Moves) == 0 {
		g.metrics.counts.Add("not-moved-"+plan.Reason.String(), 1)
		return
	}
	p.budget = p.budget.Spend(in.Now, p.planner.Policy, plan)
	g.log.Info("plan", "moves", len(plan.Moves), "bytes", plan.Bytes, "skew-before", plan.SkewBefore, "skew-after", plan.SkewAfter)
	p.setLoading(true)
	g.executePlan(ctx, s, sub, maps, sub.groupMoves(plan.Moves))
	p.setLoading(false)
}

// prepare resets the state under another lease or for a group of another shape,
// because the estimates of another coordinator are not available here. The
// estimators are reused when only ranks were lost or have come back.
func (p *planning) prepare(fence uint64, shape *Shape, sub subgroup) {
	same := p.fence == fence && p.planner != nil && len(p.estimators) == shape.layers &&
		p.planner.Group.Experts == shape.expert.Experts
	if same {
		if !slices.Equal(p.planner.Group.Ranks, sub.shape.Ranks) {
			p.planner = expert.NewPlanner(&sub.shape, shape.policy)
		}
		p.planner.Policy = shape.policy
		return
	}
	p.fence, p.budget = fence, expert.Budget{}
	p.planner = expert.NewPlanner(&sub.shape, shape.policy)
	p.queue = loading.NewQueue(loading.Settings{Rate: shape.expert.StoreRate})
	p.estimators = nil
	for range shape.layers {
		p.estimators = append(p.estimators, expert.NewEstimator(shape.expert.Experts, expert.Smoothing{}))
	}
}

func (p *planning) setReason(skew float64, reason, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if skew > 0 {
		p.skew = skew
	}
	p.reason, p.text = reason, text
}

// record adds a plan to the history shown to operators, with the measured skew.
func (p *planning) record(now time.Time, skew float64, plan expert.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := expert.RecordOf(now, plan)
	if skew > 0 {
		r.Skew, p.skew = skew, skew
	}
	p.history.Add(r)
	p.reason, p.text = plan.Reason.String(), r.Text
}

func (p *planning) setLoading(loading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading = loading
}

// observe queries the ranks for their experts' loads and updates the estimators.
// It returns the number of protected requests in progress and the skew of these
// loads.
func (g *Participant) observe(ctx context.Context, v group.Version, maps rank.Placement, sub subgroup) (protected int, skew float64) {
	members := g.shape.Load().members
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	var calls errgroup.Group
	calls.SetLimit(maxLoadCalls)
	reports := make([]rank.Loads, len(sub.live))
	busy := make([]int, len(sub.live))
	for i, index := range sub.live {
		calls.Go(func() error {
			l, n, err := g.peers.Loads(ctx, members[index])
			if err == nil && l.Version == v {
				reports[i], busy[i] = l, n
			}
			return nil
		})
	}
	_ = calls.Wait()
	for _, n := range busy {
		protected += n
	}
	return protected, g.observeReports(reports, maps, sub)
}

// observeReports aggregates the ranks' reports and passes them to the
// estimators. It returns the mean skew of the layers.
func (g *Participant) observeReports(reports []rank.Loads, maps rank.Placement, sub subgroup) (skew float64) {
	newest := int64(0)
	for _, r := range reports {
		newest = max(newest, r.UnixMillis)
	}
	if newest == 0 {
		return 0
	}
	for layer, m := range maps {
		loads := aggregateLoads(reports, layer, m.Replicas(sub.shape.Experts))
		g.planning.estimators[layer].Observe(time.UnixMilli(newest), loads)
		skew += m.Skew(&sub.shape, zeroGaps(loads)) / float64(len(maps))
	}
	return skew
}

// aggregateLoads returns the load of each expert of a layer. An expert's traffic
// is split evenly over its replicas, so the reported replicas are extrapolated
// to the others; an expert without a reported replica is NaN.
func aggregateLoads(reports []rank.Loads, layer int, replicas []int) []float64 {
	loads := make([]float64, len(replicas))
	for e := range loads {
		received := 0
		for _, r := range reports {
			if layer < len(r.Layers) && e < len(r.Layers[layer]) && r.Layers[layer][e] != rank.NotHeld {
				loads[e] += r.Layers[layer][e]
				received++
			}
		}
		if received == 0 {
			loads[e] = math.NaN()
			continue
		}
		loads[e] *= float64(replicas[e]) / float64(received)
	}
	return loads
}

// zeroGaps returns loads with 0 in place of NaN.
func zeroGaps(loads []float64) []float64 {
	filled := make([]float64, len(loads))
	for i, l := range loads {
		if !math.IsNaN(l) {
			filled[i] = l
		}
	}
	return filled
}
