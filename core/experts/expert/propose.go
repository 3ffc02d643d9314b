package expert

import (
	"time"
)

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
