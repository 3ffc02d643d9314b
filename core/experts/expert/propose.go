package expert

import (
	"time"
)

// proposal is the best change found for one layer.
type proposal struct {
	layer             int
	before, after     float64
	bound, confidence float64
	worth             float64 // gain minus cost, on the policy's scale
	loads             int
	limit             float64
	forced            bool
	reason            Reason
	moves             []Move
	points            []point
}

// propose searches for the change to one layer with the largest gain minus cost
// that loads at most the given number of replicas.
func (p *Planner) propose(i int, layer Layer, now time.Time, most int) proposal {
	p.loads.fill(layer.Loads, now.Add(p.Policy.Lead), p.Policy.Horizon)
	s := p.search
	s.setMap(layer.Map, p.loads.mean)
	s.setTargets()
	pr := proposal{layer: i, confidence: layer.Loads.Confidence(now)}
	pr.bound = lowerBound(p.Group, s.load, s.targetReplicas).Skew
	pr.before = p.expected(layer.Map)
	pr.after = pr.before
	first := s.restore(most)
	start := point{skew: s.rank[s.worst()], loads: s.loads}
	pr.forced = first > 0
	if !pr.forced && pr.confidence < p.Policy.MinConfidence {
		pr.reason, pr.limit = StaleLoads, p.Policy.MinConfidence
		return pr
	}
	if p.restoreOnly {
		p.evaluate(&pr, s.mapAfter(first), layer.Map)
		return pr
	}
	steps, value := p.bestSteps(first, pr.bound, most)
	next, rebuilt := p.rebuild(pr.bound, value, layer.Map, most)
	pr.points = s.points(start, rebuilt)
	if next != nil {
		p.evaluate(&pr, next, layer.Map)
		return pr
	}
	if steps == 0 {
		pr.reason = p.noChangeReason(pr)
		pr.limit = p.requiredGain(1)
		return pr
	}
	p.evaluate(&pr, s.mapAfter(steps), layer.Map)
	return pr
}

// noChangeReason returns the reason why the search found no change.
func (p *Planner) noChangeReason(pr proposal) Reason {
	if pr.before-pr.bound <= p.Policy.MinGain || len(p.search.steps) == 0 {
		return Balanced
	}
	return GainBelowCost
}

// evaluate accepts the change when its expected gain exceeds its cost and the
// hysteresis.
func (p *Planner) evaluate(pr *proposal, next, current Map) {
	after := p.expected(next)
	moves := Diff(p.Group, pr.layer, current, next)
	gain := pr.confidence * (pr.before - after)
	pr.limit = p.requiredGain(len(moves))
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

// requiredGain returns the reduction of the skew that loading the given number
// of replicas must bring.
func (p *Planner) requiredGain(loads int) float64 {
	return max(p.Policy.MinGain, p.cost(loads)/max(p.Policy.Skew, minGain))
}

// cost returns the cost of loading the given number of replicas of a layer.
func (p *Planner) cost(loads int) float64 {
	return p.costWeight * float64(loads) / float64(p.Group.size())
}

// expected returns the mean of the skews at both ends of the horizon.
func (p *Planner) expected(m Map) float64 {
	return (m.Skew(p.Group, p.loads.start) + m.Skew(p.Group, p.loads.end)) / 2
}

// bestSteps runs the search and returns the number of steps with the best value,
// and that value. It stops when even the lowest possible skew would not outweigh
// the cost of the replicas loaded so far.
func (p *Planner) bestSteps(first int, bound float64, most int) (int, float64) {
	s, value := p.search, p.value
	best, steps := value(s.rank[s.worst()], s.loads), first
	limit := first + max(workPerLayer/p.Group.size(), minSteps)
	for splitsLeft := splits; len(s.steps) < limit && value(bound, s.loads) < best; {
		if splitsLeft <= 0 || !s.split() {
			splitsLeft = 0
			if !s.improve() {
				break
			}
		}
		splitsLeft--
		last := s.steps[len(s.steps)-1]
		if v := value(last.skew, last.loads); v < best && last.loads <= most {
			best, steps = v, len(s.steps)
		}
	}
	return steps, best
}

// value is the objective that the search minimizes.
func (p *Planner) value(skew float64, loads int) float64 { return p.Policy.Skew*skew + p.cost(loads) }

// rebuild returns a map computed from scratch and its point, when that map has
// a better value than the search has reached despite the cost of loading nearly
// all slots, and nil otherwise. It helps after a sudden change of the mix, which
// the search would only follow over many intervals.
func (p *Planner) rebuild(bound, reached float64, current Map, most int) (Map, point) {
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
