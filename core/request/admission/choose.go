package admission

import (
	"time"

	"verbenashift/core/request/headroom"
)

const (
	// minFreeShare is the part of its slots that a group counts as free when all are taken:
	// then the speed alone decides.
	minFreeShare = 0.02
	// unknownFreeShare is the part of its slots that counts as free in a group whose load is
	// not known.
	unknownFreeShare = 0.3
	// longPassShare is the part of its free slots that counts in a group whose passes take longer than
	// the pause that callers accept: its own streams are late already, and a prompt that is read there
	// makes the passes longer still.
	longPassShare = 0.1
	// minStreams is how many requests of this entry have to run at a group for its own measure of the
	// passes to count.
	minStreams = 3
)

// next returns the group for the next request of a class, or nil if none has capacity.
//
// Available groups go first. A group that refuses, is stalled or has lost a rank gets a request
// only if no group is available: a request has to find out when it is back, and there is
// nowhere else to send it in the meantime. While others are available, a group that refuses but
// has all its ranks gets a probe request now and then.
func (p *Pool) next(class int, now time.Time) *group {
	if g := p.probe(now); g != nil {
		return g
	}
	reserve, slack := p.reserve(class, now), p.slack(class)
	hasCapacity := func(g *group) bool { return g.room(class, reserve) > 0 && !g.passes.deferral.Defers(slack, now) }
	if g := p.choose(now, func(g *group) bool { return hasCapacity(g) && g.available(now) }); g != nil {
		return g
	}
	if p.anyAvailable(now) {
		return nil
	}
	return p.choose(now, func(g *group) bool { return hasCapacity(g) && g.mayProbe(now) })
}

// probe returns a group that refuses although its coordinator reports all ranks present, and
// whose next probe request is due, or nil.
func (p *Pool) probe(now time.Time) *group {
	for _, name := range p.names {
		g := p.groups[name]
		if g.gate.ProbeDue(now) && g.running < g.limit && g.fresh(now) && g.lastLoad.Complete {
			return g
		}
	}
	return nil
}

func (p *Pool) anyAvailable(now time.Time) bool {
	for _, g := range p.groups {
		if g.available(now) {
			return true
		}
	}
	return false
}

// choose draws one of the groups that may be taken, or returns nil if there is none.
//
// A group is weighted by its free slots over the duration of its forward passes. The free slots
// are what would be filled; the duration of a pass is how long each event of the request would
// take there. Many entries decide at once on loads that are some tenths of a second old: if all
// took the best group, it would be overrun until the next report, and then another one would
// be. Weighted random choice differentiates groups by the difference of their loads, and no
// more.
func (p *Pool) choose(now time.Time, may func(*group) bool) *group {
	mean := p.meanPassTime(now)
	total := 0.0
	var found *group
	for _, name := range p.names {
		g := p.groups[name]
		if !may(g) {
			continue
		}
		w := g.weight(mean, p.shortestPause, now)
		total += w
		// Weighted reservoir sampling: each group is kept with its share of all weights so far.
		if found == nil || p.rng.Float64()*total < w {
			found = g
		}
	}
	return found
}

// weight returns the relative share of requests that a group should get, given the mean pass of all
// groups and the shortest pause that callers accept.
func (g *group) weight(mean, pause time.Duration, now time.Time) float64 {
	slots := float64(g.slots)
	if !g.fresh(now) {
		return slots * unknownFreeShare
	}
	free := max(float64(g.open()-g.lastLoad.Running-g.lastLoad.Queued-g.startedSince), slots*minFreeShare)
	pass := g.passTime(pause, now)
	if pass <= 0 || mean <= 0 {
		return free
	}
	if pause > 0 && !headroom.Fits(pass, pause) {
		free *= longPassShare
	}
	return free * mean.Seconds() / pass.Seconds()
}

// passTime returns the time of the pass that a request would meet, or 0: as the coordinator reports
// it, which is a mean that is some tenths of a second old, or as this entry measures it with several
// streams there if that is longer than callers accept.
func (g *group) passTime(pause time.Duration, now time.Time) time.Duration {
	pass, ok := g.passes.meter.Current(now)
	if ok && g.running >= minStreams && pause > 0 && !headroom.Fits(pass, pause) {
		return pass
	}
	return g.lastLoad.PassTime
}

// meanPassTime returns the mean pass duration of the groups that report it, or 0.
func (p *Pool) meanPassTime(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, g := range p.groups {
		if pass := g.passTime(p.shortestPause, now); g.fresh(now) && pass > 0 {
			sum += pass
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
