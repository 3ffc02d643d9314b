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

// proposal is the best change of one layer.
type proposal struct {
	layer             int
	before, after     float64
	bound, confidence float64
	worth             float64 // gain less cost, on the policy's scale
	loads             int
	limit             float64
	forced            bool
	reason            Reason
	moves             []Move
	points            []point
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

// propose searches one layer for the change with the most worth that loads at
// most so many replicas.
func (p *Planner) propose(i int, layer Layer, now time.Time, most int) proposal {
	p.loads.fill(layer.Loads, now.Add(p.Policy.Lead), p.Policy.Horizon)
	s := p.search
	s.begin(layer.Map, p.loads.mean)
	s.aim()
	pr := proposal{layer: i, confidence: layer.Loads.Confidence(now)}
	pr.bound = lowerBound(p.Group, s.load, s.target).Skew
	pr.before = p.expected(layer.Map)
	pr.after = pr.before
	first := s.restore(most)
	start := point{skew: s.rank[s.worst()], loads: s.loads}
	pr.forced = first > 0
	if !pr.forced && pr.confidence < p.Policy.MinConfidence {
		pr.reason, pr.limit = StaleLoads, p.Policy.MinConfidence
		return pr
	}
	if p.urgent {
		p.judge(&pr, s.mapAfter(first), layer.Map)
		return pr
	}
	steps, value := p.run(first, pr.bound, most)
	next, renewed := p.renew(pr.bound, value, layer.Map, most)
	pr.points = s.points(start, renewed)
	if next != nil {
		p.judge(&pr, next, layer.Map)
		return pr
	}
	if steps == 0 {
		pr.reason = p.still(pr)
		pr.limit = p.least(1)
		return pr
	}
	p.judge(&pr, s.mapAfter(steps), layer.Map)
	return pr
}

// still returns why the search found no change.
func (p *Planner) still(pr proposal) Reason {
	if pr.before-pr.bound <= p.Policy.MinGain || len(p.search.steps) == 0 {
		return Balanced
	}
	return GainBelowCost
}

// judge accepts the change when its expected gain exceeds its cost and the
// hysteresis.
func (p *Planner) judge(pr *proposal, next, current Map) {
	after := p.expected(next)
	moves := Diff(p.Group, pr.layer, current, next)
	gain := pr.confidence * (pr.before - after)
	pr.limit = p.least(len(moves))
	pr.worth = p.Policy.Skew*gain - p.cost(len(moves))
	if !pr.forced && gain < pr.limit {
		pr.reason = GainBelowCost
		return
	}
	replicas := next.Replicas(p.Group.Experts)
	for i := range moves {
		e := moves[i].Load
		moves[i].Gain = p.search.load[e] / float64(replicas[e])
	}
	pr.moves, pr.loads, pr.after, pr.reason = moves, len(moves), after, Moving
}

// least returns the skew that loading so many replicas must save.
func (p *Planner) least(loads int) float64 {
	return max(p.Policy.MinGain, p.cost(loads)/max(p.Policy.Skew, least))
}

// cost returns the cost of loading so many replicas of a layer.
func (p *Planner) cost(loads int) float64 {
	return p.price * float64(loads) / float64(p.Group.size())
}

// expected returns the mean of the skews at both ends of the horizon.
func (p *Planner) expected(m Map) float64 {
	return (m.Skew(p.Group, p.loads.soon) + m.Skew(p.Group, p.loads.end)) / 2
}

// workPerLayer bounds the steps of a search by the slots of a layer, because
// the time of a step grows with them.
const (
	workPerLayer = 57344
	leastSteps   = 16
)

// run searches and returns how many steps give the best value. It stops when
// even the best possible skew couldn't pay for the replicas loaded so far.
func (p *Planner) run(first int, bound float64, most int) (int, float64) {
	s, value := p.search, p.value
	best, steps := value(s.rank[s.worst()], s.loads), first
	limit := first + max(workPerLayer/p.Group.size(), leastSteps)
	for left := splits; len(s.steps) < limit && value(bound, s.loads) < best; {
		if left <= 0 || !s.split() {
			left = 0
			if !s.improve() {
				break
			}
		}
		left--
		last := s.steps[len(s.steps)-1]
		if v := value(last.skew, last.loads); v < best && last.loads <= most {
			best, steps = v, len(s.steps)
		}
	}
	return steps, best
}

// value is what the search minimises.
func (p *Planner) value(skew float64, loads int) float64 { return p.Policy.Skew*skew + p.cost(loads) }

// renew returns a map made from nothing, and its point, where even the cost of
// loading nearly all slots beats the value that the search has reached, or
// nil. It helps after a sudden change of the mix, which the search would
// follow over many intervals.
func (p *Planner) renew(bound, reached float64, current Map, most int) (Map, point) {
	if p.value(bound, p.Group.size()) >= reached-p.Policy.Skew*p.Policy.MinGain {
		return nil, point{}
	}
	next := Place(p.Group, p.loads.mean)
	pt := point{skew: next.Skew(p.Group, p.loads.mean), loads: len(Diff(p.Group, 0, current, next))}
	if pt.loads > most || p.value(pt.skew, pt.loads) >= reached {
		return nil, point{}
	}
	return next, pt
}

// fill forecasts the loads for the time a plan comes into force.
func (f *forecast) fill(est *Estimator, soon time.Time, horizon time.Duration) {
	f.soon = est.Forecast(f.soon, soon)
	f.end = est.Forecast(f.end, soon.Add(horizon))
	f.mean = f.mean[:0]
	for e := range f.soon {
		f.mean = append(f.mean, (f.soon[e]+f.end[e])/2)
	}
}
