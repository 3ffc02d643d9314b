package admission

import "time"

const (
	// leastFree is the part of its slots that a group counts as free when all are
	// taken: then the speed alone decides.
	leastFree = 0.02
	// unknownFree is the part of its slots that counts as free in a group whose load
	// is not known.
	unknownFree = 0.3
)

// next returns the group to which the next request goes, or nil if none has room.
//
// Groups that work go first. One that refuses, stands or has lost a rank gets a
// request only if no other works: then somebody has to find out when it is back, and
// in the meantime there is nobody else to ask. While others work, one that refuses but
// has its ranks gets a probe now and then.
func (p *Pool) next(now time.Time) *group {
	if g := p.probe(now); g != nil {
		return g
	}
	roomy := func(g *group) bool { return g.own < g.allowed }
	if g := p.choose(now, func(g *group) bool { return roomy(g) && g.works(now) }); g != nil {
		return g
	}
	if p.anyWorks(now) {
		return nil
	}
	return p.choose(now, func(g *group) bool { return roomy(g) && g.mayProbe(now) })
}

// probe returns a group that refuses, though its steward says that it has its ranks, and
// that is due to be tried again, or nil.
func (p *Pool) probe(now time.Time) *group {
	for _, name := range p.names {
		g := p.groups[name]
		if g.gate.ProbeDue(now) && g.own < g.allowed && g.fresh(now) && g.last.Complete {
			return g
		}
	}
	return nil
}

func (p *Pool) anyWorks(now time.Time) bool {
	for _, g := range p.groups {
		if g.works(now) {
			return true
		}
	}
	return false
}

// choose draws one of the groups that may be taken, or returns nil if none may.
//
// A group is drawn by its free places over the length of its passes. The free places
// are what would be filled; the length of a pass is how long each event of the
// request would take there. Many entries decide at once on loads that are some
// tenths of a second old: if all took the best group, it would be overrun until
// the next word, and then another one. Drawn by weight, groups differ by what their
// loads differ, and no more.
func (p *Pool) choose(now time.Time, may func(*group) bool) *group {
	usual := p.usualPass(now)
	total := 0.0
	var found *group
	for _, name := range p.names {
		g := p.groups[name]
		if !may(g) {
			continue
		}
		w := g.weight(usual, now)
		total += w
		// Each is kept with the part that it has of all weights so far.
		if found == nil || p.rng.Float64()*total < w {
			found = g
		}
	}
	return found
}

// weight is how much of the requests a group should get against the others.
func (g *group) weight(usual time.Duration, now time.Time) float64 {
	slots := float64(g.slots)
	if !g.fresh(now) {
		return slots * unknownFree
	}
	free := max(slots-float64(g.last.Running+g.last.Queued+g.since), slots*leastFree)
	if g.last.PassTime <= 0 || usual <= 0 {
		return free
	}
	return free * usual.Seconds() / g.last.PassTime.Seconds()
}

// usualPass returns the mean length of the passes of the groups that tell it, or 0.
func (p *Pool) usualPass(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, g := range p.groups {
		if g.fresh(now) && g.last.PassTime > 0 {
			sum += g.last.PassTime
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
