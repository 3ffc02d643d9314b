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

// reasonNoIntent is why a group without a confirmed intent is left alone.
const reasonNoIntent = "no-confirmed-intent"

// The bounds of the planner's calls to other agents.
const (
	planCalls   = 32
	planTimeout = 2 * time.Second
)

// planning is the planner's state. The planner's goroutine alone uses it, but
// for what mu guards.
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

// standing is the group as the steward knows it when a plan is made.
type standing struct {
	fence uint64
	view  group.Snapshot
	// version is the map that all ranks have in force; 0 if they are not settled.
	version group.Version
}

// plan looks at the loads at each interval while this agent holds the duty.
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

// standing returns the group as the steward knows it; ok is false if this agent
// does not hold the duty.
func (g *Participant) standing(ctx context.Context) (s standing, ok bool) {
	// The duty may still run the function when ctx has ended.
	answer := make(chan standing, 1)
	err := g.duty.Do(ctx, func() {
		now := g.now()
		if st := g.acting(now); st != nil && !st.Superseded() {
			answer <- standing{fence: g.holder.Fence(), view: st.Snapshot(now)}
		}
	})
	if err != nil {
		return standing{}, false
	}
	select {
	case s = <-answer:
	default:
		return standing{}, false
	}
	if s.view.Settled {
		s.version = commonVersion(s.view)
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

// planOnce takes in the loads and makes and carries out one plan.
func (g *Participant) planOnce(ctx context.Context) {
	s, ok := g.standing(ctx)
	if !ok {
		return
	}
	p, shape := &g.planning, g.shape.Load()
	left := partOf(shape, s.view)
	p.begin(s.fence, shape, left)
	if s.version == 0 {
		p.note(0, "group-not-settled", "not moving: the group is being formed or switched")
		return
	}
	maps, err := g.content(ctx, s.version)
	if err != nil {
		p.note(0, "map-unknown", "not moving: the content of the map in force is not known")
		return
	}
	if !shape.fits(maps) {
		p.note(0, "map-of-another-shape", "not moving: the map in force is for another number of ranks, layers or slots")
		return
	}
	protected, skew := g.observe(ctx, s.version, left.projectAll(maps), left)
	if !shape.confirmed {
		p.note(skew, reasonNoIntent, "not moving: no intent has been confirmed for the group")
		return
	}
	in := expert.Input{Now: time.Now(), Protected: protected, Spent: p.budget}
	for i, m := range left.projectAll(maps) {
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
	g.carryOut(ctx, s, left, maps, left.places(plan.Moves))
	p.setLoading(false)
}

// begin starts anew under another lease or for a group of another shape; what
// the estimators of another steward knew is not known here. They serve on when
// only ranks were lost or have come back.
func (p *planning) begin(fence uint64, shape *Shape, left part) {
	same := p.fence == fence && p.planner != nil && len(p.estimators) == shape.layers &&
		p.planner.Group.Experts == shape.expert.Experts
	if same {
		if !slices.Equal(p.planner.Group.Ranks, left.shape.Ranks) {
			p.planner = expert.NewPlanner(&left.shape, shape.policy)
		}
		p.planner.Policy = shape.policy
		return
	}
	p.fence, p.budget = fence, expert.Budget{}
	p.planner = expert.NewPlanner(&left.shape, shape.policy)
	p.queue = loading.NewQueue(loading.Settings{Rate: shape.expert.StoreRate})
	p.estimators = nil
	for range shape.layers {
		p.estimators = append(p.estimators, expert.NewEstimator(shape.expert.Experts, expert.Smoothing{}))
	}
}

func (p *planning) note(skew float64, reason, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if skew > 0 {
		p.skew = skew
	}
	p.reason, p.text = reason, text
}

// record keeps a plan for operators, with the skew that was measured.
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

// observe asks the ranks for their experts' loads and takes them in. It returns
// the number of protected requests in progress and the skew by these loads.
func (g *Participant) observe(ctx context.Context, v group.Version, maps rank.Placement, left part) (protected int, skew float64) {
	members := g.shape.Load().members
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	var calls errgroup.Group
	calls.SetLimit(planCalls)
	reports := make([]rank.Loads, len(left.live))
	busy := make([]int, len(left.live))
	for i, place := range left.live {
		calls.Go(func() error {
			l, n, err := g.peers.Loads(ctx, members[place])
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
	return protected, g.takeIn(reports, maps, left)
}

// takeIn puts the ranks' reports together and shows them to the estimators.
func (g *Participant) takeIn(reports []rank.Loads, maps rank.Placement, left part) (skew float64) {
	newest := int64(0)
	for _, r := range reports {
		newest = max(newest, r.UnixMillis)
	}
	if newest == 0 {
		return 0
	}
	for layer, m := range maps {
		loads := together(reports, layer, m.Replicas(left.shape.Experts))
		g.planning.estimators[layer].Observe(time.UnixMilli(newest), loads)
		skew += m.Skew(&left.shape, withoutGaps(loads)) / float64(len(maps))
	}
	return skew
}

// together returns the load of each expert of a layer. Its traffic is split
// evenly over its replicas, so that the replicas heard of tell of the others; an
// expert of which no replica was heard is a gap.
func together(reports []rank.Loads, layer int, replicas []int) []float64 {
	loads := make([]float64, len(replicas))
	for e := range loads {
		heard := 0
		for _, r := range reports {
			if layer < len(r.Layers) && e < len(r.Layers[layer]) && r.Layers[layer][e] != rank.NotHeld {
				loads[e] += r.Layers[layer][e]
				heard++
			}
		}
		if heard == 0 {
			loads[e] = math.NaN()
			continue
		}
		loads[e] *= float64(replicas[e]) / float64(heard)
	}
	return loads
}

func withoutGaps(loads []float64) []float64 {
	whole := make([]float64, len(loads))
	for i, l := range loads {
		if !math.IsNaN(l) {
			whole[i] = l
		}
	}
	return whole
}
