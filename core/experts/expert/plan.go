package expert

import (
	"cmp"
	"slices"
	"time"
)

// Layer is what the planner knows of one layer.
type Layer struct {
	// Map is in force.
	Map   Map
	Loads *Estimator
}

// Input is what a plan is made from.
type Input struct {
	Now    time.Time
	Layers []Layer
	// Protected is the number of protected requests in progress.
	Protected int
	// Switching says that an earlier plan is still being loaded or switched.
	Switching bool
	// Spent is what the interval's bounds have been used for already.
	Spent Budget
}

// Plan is what the planner proposes, or why it proposes nothing.
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
	// Seconds is how long the loading takes at the weight store's rate; 0
	// when the rate isn't known.
	Seconds float64 `json:"seconds"`
	// Confidence is the mean confidence in the forecast, from 0 to 1.
	Confidence float64 `json:"confidence"`
	Reason     Reason  `json:"reason"`
	// Wanted is how many replicas the planner would load without the bounds
	// of the confirmed intent. More than len(Moves) asks for a new confirm.
	Wanted int `json:"wanted"`
	// Limit is the value that the reason refers to: the least gain or the
	// greatest number.
	Limit float64 `json:"limit,omitempty"`
}

// Planner makes plans for one group. It isn't safe for concurrent use.
type Planner struct {
	Group  *Group
	Policy Policy
	search *search
	loads  forecast
	// price is the cost weight in use: the policy's, or a higher one where
	// the bounds don't allow all that is worth the policy's.
	price float64
	// urgent says that only lost experts may be loaded.
	urgent bool
}

// forecast holds the expected loads of a layer when a plan would come into
// force, at the end of the horizon, and between.
type forecast struct {
	soon, end, mean []float64
}

// NewPlanner returns a planner for a group that passed Validate.
func NewPlanner(g *Group, p Policy) *Planner {
	return &Planner{Group: g, Policy: p, search: newSearch(g)}
}

// Plan returns the moves that are worth their cost within the confirmed
// bounds. Without moves, Reason says why. The expected gain over the horizon,
// times the confidence, must exceed the cost of the bytes, layer by layer;
// the layers with the most worth per replica come first when the bounds don't
// allow all. Experts without the least number of replicas are restored
// whatever it costs, within the bounds.
func (p *Planner) Plan(in Input) Plan {
	plan := Plan{}
	p.price, p.urgent = p.Policy.Cost, false
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
	if reason, limit := p.wait(in, proposals); reason != Moving {
		plan.Reason, plan.Limit = reason, limit
		return plan
	}
	left := in.Spent.left(in.Now, p.Policy, p.Group.ExpertBytes)
	p.urgent = p.protected(in)
	if p.price = p.fitting(proposals, left); p.price > p.Policy.Cost || p.urgent {
		p.again(in, proposals)
	}
	if p.urgent {
		// The rest waits for the protected work, not for a new confirm.
		plan.Wanted = loads(proposals)
	}
	p.take(&plan, in, proposals, left)
	return plan
}

func (p *Planner) protected(in Input) bool {
	return p.Policy.Protect && in.Protected > p.Policy.MaxProtected
}

func loads(proposals []proposal) int {
	total := 0
	for _, pr := range proposals {
		total += pr.loads
	}
	return total
}

// again proposes anew at the price, or only what is urgent.
func (p *Planner) again(in Input, proposals []proposal) {
	for i, pr := range proposals {
		if pr.loads == 0 {
			continue
		}
		if p.urgent && !pr.forced {
			proposals[i].loads, proposals[i].moves = 0, nil
			continue
		}
		proposals[i] = p.propose(pr.layer, in.Layers[pr.layer], in.Now, unbounded)
	}
}

// wait returns the reason that holds the whole group back, or Moving.
func (p *Planner) wait(in Input, proposals []proposal) (Reason, float64) {
	if in.Switching {
		return SwitchInProgress, 0
	}
	moving, forced := false, false
	for _, pr := range proposals {
		moving = moving || pr.loads > 0
		forced = forced || pr.forced
	}
	if !moving {
		return common(proposals)
	}
	if p.protected(in) && !forced {
		return ProtectedWork, float64(p.Policy.MaxProtected)
	}
	return Moving, 0
}

// common returns the reason that most layers give.
func common(proposals []proposal) (Reason, float64) {
	var count [reasons]int
	best := proposal{reason: Balanced}
	for _, pr := range proposals {
		count[pr.reason]++
		if count[pr.reason] > count[best.reason] || best.reason == pr.reason {
			best = pr
		}
	}
	return best.reason, best.limit
}

// take fills the plan with proposals until the bounds are reached.
func (p *Planner) take(plan *Plan, in Input, proposals []proposal, left int) {
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
		if pr.loads > left {
			pr = p.propose(pr.layer, in.Layers[pr.layer], in.Now, left)
		}
		left -= pr.loads
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

// workPerLayer bounds the steps of a search by the slots of a layer, because
// the time of a step grows with them.
const (
	workPerLayer = 57344
	leastSteps   = 16
)

// fill forecasts the loads for the time a plan comes into force.
func (f *forecast) fill(est *Estimator, soon time.Time, horizon time.Duration) {
	f.soon = est.Forecast(f.soon, soon)
	f.end = est.Forecast(f.end, soon.Add(horizon))
	f.mean = f.mean[:0]
	for e := range f.soon {
		f.mean = append(f.mean, (f.soon[e]+f.end[e])/2)
	}
}
