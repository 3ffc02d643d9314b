package expert

import (
	"cmp"
	"slices"
	"time"
)

// Layer is the planner's input for one layer.
type Layer struct {
	// Map is the active map.
	Map   Map
	Loads *Estimator
}

// Input is the input of Planner.Plan.
type Input struct {
	Now    time.Time
	Layers []Layer
	// Protected is the number of protected requests in progress.
	Protected int
	// Switching reports that an earlier plan is still being loaded or switched.
	Switching bool
	// Spent is the part of the interval's bounds that is already used.
	Spent Budget
}

// Plan is the planner's proposal, or the reason why it proposes nothing.
type Plan struct {
	Moves []Move `json:"moves"`
	Bytes int64  `json:"bytes"`
	// SkewBefore and SkewAfter are the expected skews over the horizon
	// without and with the moves: the mean over the layers, because a step
	// waits for the slowest rank in each layer.
	SkewBefore float64 `json:"skew-before"`
	SkewAfter  float64 `json:"skew-after"`
	// Bound is the lower bound on the skew that the slots allow.
	Bound float64 `json:"bound"`
	// Seconds is the loading time at the weight store's rate; 0 when the rate
	// is unknown.
	Seconds float64 `json:"seconds"`
	// Confidence is the mean confidence in the forecast, from 0 to 1.
	Confidence float64 `json:"confidence"`
	Reason     Reason  `json:"reason"`
	// Wanted is how many replicas the planner would load without the bounds of
	// the confirmed intent. When it exceeds len(Moves), loading the rest needs a
	// new confirmation.
	Wanted int `json:"wanted"`
	// Limit is the value that the reason refers to: a minimum gain or
	// confidence, or a maximum number.
	Limit float64 `json:"limit,omitempty"`
}

// Planner makes plans for one group. It isn't safe for concurrent use.
type Planner struct {
	Group  *Group
	Policy Policy
	search *search
	loads  forecast
	// costWeight is the cost weight in use: the policy's, or a higher one when
	// the bounds don't allow everything that is worth its cost at the policy's.
	costWeight float64
	// restoreOnly reports that only experts with too few replicas may be loaded.
	restoreOnly bool
}

// forecast holds the expected loads of a layer: when the plan would become
// active, at the end of the horizon, and the mean of both.
type forecast struct {
	start, end, mean []float64
}

// NewPlanner returns a planner for a group that passed Validate.
func NewPlanner(g *Group, p Policy) *Planner {
	return &Planner{Group: g, Policy: p, search: newSearch(g)}
}

// Plan returns the moves that are worth their cost within the confirmed
// bounds. Without moves, Reason says why. In each layer, the expected gain over
// the horizon, times the confidence, must exceed the cost of the bytes; the
// layers with the largest net gain per replica come first when the bounds don't
// allow all moves. Experts with too few replicas are restored at any cost,
// within the bounds.
func (p *Planner) Plan(in Input) Plan {
	plan := Plan{}
	p.costWeight, p.restoreOnly = p.Policy.Cost, false
	proposals := make([]proposal, 0, len(in.Layers))
	for i, layer := range in.Layers {
		if len(layer.Map) != p.Group.size() || layer.Loads == nil || len(layer.Loads.level) != p.Group.Experts {
			return Plan{Reason: InvalidInput, SkewBefore: 1, SkewAfter: 1}
		}
		pr := p.propose(i, layer, in.Now, unbounded)
		proposals = append(proposals, pr)
		plan.SkewBefore += pr.before / float64(len(in.Layers))
		plan.Bound += pr.bound / float64(len(in.Layers))
		plan.Confidence += pr.confidence / float64(len(in.Layers))
		plan.Wanted += pr.loads
	}
	plan.SkewAfter = plan.SkewBefore
	if reason, limit := p.blockingReason(in, proposals); reason != Moving {
		plan.Reason, plan.Limit = reason, limit
		return plan
	}
	remaining := in.Spent.remaining(in.Now, p.Policy, p.Group.ExpertBytes)
	p.restoreOnly = p.protected(in)
	if p.costWeight = p.costWeightWithin(proposals, remaining); p.costWeight > p.Policy.Cost || p.restoreOnly {
		p.reviseProposals(in, proposals)
	}
	if p.restoreOnly {
		// The rest waits for the protected work, not for a new confirmation.
		plan.Wanted = loads(proposals)
	}
	p.fillPlan(&plan, in, proposals, remaining)
	return plan
}

// protected reports whether too much protected work is in progress to move
// experts.
func (p *Planner) protected(in Input) bool {
	return p.Policy.Protect && in.Protected > p.Policy.MaxProtected
}

// loads returns the number of replicas that the proposals load.
func loads(proposals []proposal) int {
	total := 0
	for _, pr := range proposals {
		total += pr.loads
	}
	return total
}

// reviseProposals replaces the proposals by those at the current cost weight,
// or only by those that restore experts.
func (p *Planner) reviseProposals(in Input, proposals []proposal) {
	for i, pr := range proposals {
		if pr.loads == 0 {
			continue
		}
		if p.restoreOnly && !pr.forced {
			proposals[i].loads, proposals[i].moves = 0, nil
			continue
		}
		proposals[i] = p.propose(pr.layer, in.Layers[pr.layer], in.Now, unbounded)
	}
}

// blockingReason returns the reason for not changing the group at all, or
// Moving.
func (p *Planner) blockingReason(in Input, proposals []proposal) (Reason, float64) {
	if in.Switching {
		return SwitchInProgress, 0
	}
	moving, forced := false, false
	for _, pr := range proposals {
		moving = moving || pr.loads > 0
		forced = forced || pr.forced
	}
	if !moving {
		return mostCommonReason(proposals)
	}
	if p.protected(in) && !forced {
		return ProtectedWork, float64(p.Policy.MaxProtected)
	}
	return Moving, 0
}

// mostCommonReason returns the most common reason of the layers.
func mostCommonReason(proposals []proposal) (Reason, float64) {
	var count [reasonCount]int
	best := proposal{reason: Balanced}
	for _, pr := range proposals {
		count[pr.reason]++
		if count[pr.reason] > count[best.reason] || best.reason == pr.reason {
			best = pr
		}
	}
	return best.reason, best.limit
}

// fillPlan adds proposals to the plan until the bounds are reached.
func (p *Planner) fillPlan(plan *Plan, in Input, proposals []proposal, remaining int) {
	slices.SortStableFunc(proposals, func(a, b proposal) int {
		if a.forced != b.forced {
			if a.forced {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.worth*float64(a.loads), a.worth*float64(b.loads))
	})
	for _, pr := range proposals {
		if pr.loads == 0 {
			continue
		}
		if pr.loads > remaining {
			pr = p.propose(pr.layer, in.Layers[pr.layer], in.Now, remaining)
		}
		remaining -= pr.loads
		plan.Moves = append(plan.Moves, pr.moves...)
		plan.SkewAfter -= (pr.before - pr.after) / float64(len(in.Layers))
	}
	plan.Bytes = int64(len(plan.Moves)) * p.Group.ExpertBytes
	if p.Group.StoreRate > 0 {
		plan.Seconds = float64(plan.Bytes) / float64(p.Group.StoreRate)
	}
	plan.Reason = Moving
	if len(plan.Moves) < plan.Wanted {
		plan.Reason, plan.Limit = BoundReached, float64(len(plan.Moves))
	}
}

// workPerLayer divided by the slots of a layer is the maximum number of steps
// of a search, but at least minSteps: the time of a step grows with the slots.
const (
	workPerLayer = 57344
	minSteps     = 16
)

// fill forecasts the loads from the time at which a plan becomes active.
func (f *forecast) fill(est *Estimator, start time.Time, horizon time.Duration) {
	f.start = est.Forecast(f.start, start)
	f.end = est.Forecast(f.end, start.Add(horizon))
	f.mean = f.mean[:0]
	for e := range f.start {
		f.mean = append(f.mean, (f.start[e]+f.end[e])/2)
	}
}
