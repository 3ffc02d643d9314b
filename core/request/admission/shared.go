package admission

import (
	"time"

	"verbenashift/core/request/allotment"
)

const (
	// sampleInterval is the least time between two samples of an entry's own demand, and samples
	// how many are kept: enough for a load that is valid.
	sampleInterval = 50 * time.Millisecond
	samples        = int(loadValidity/sampleInterval) + 4
)

// shared is what an entry knows of the demand of all entries for one group.
type shared struct {
	// own is this entry's demand at several times, with that of the last sample at own[last].
	own  [samples]ownDemand
	last int
	// sums is the demand of all entries at sumsAt, and takenAt when the group's load was taken.
	sums            allotment.Demand
	sumsAt, takenAt time.Time
	// unchecked reports that the sums are new.
	unchecked bool
	trust     allotment.Trust
	draw      float64
	// allotted is in force if inForce is set.
	allotted allotment.Allotment
	inForce  bool
}

// ownDemand is the demand of an entry at a time.
type ownDemand struct {
	at     time.Time
	demand allotment.Demand
}

// sample keeps the demand, unless the last one kept is recent.
func (s *shared) sample(d allotment.Demand, now time.Time) {
	if now.Sub(s.own[s.last].at) < sampleInterval {
		return
	}
	s.last = (s.last + 1) % samples
	s.own[s.last] = ownDemand{now, d}
}

// ownAt returns this entry's demand at a time. It is zero before the entry started.
func (s *shared) ownAt(t time.Time) allotment.Demand {
	for i := range s.own {
		if d := &s.own[(s.last-i+samples)%samples]; !d.at.After(t) {
			return d.demand
		}
	}
	return allotment.Demand{}
}

// Demand returns what waits at this entry and what it runs at a group, by class, to be reported to
// the other entries. It reports false if there is a single class: nothing is shared then.
func (p *Pool) Demand(group string) (allotment.Demand, bool) {
	g := p.groups[group]
	if g == nil || p.classes <= 1 {
		return allotment.Demand{}, false
	}
	return p.demandFor(g), true
}

// demandFor returns this entry's demand for a group.
func (p *Pool) demandFor(g *group) allotment.Demand {
	d := allotment.Demand{Running: g.byClass, Usable: min(g.usable, g.slots)}
	for class, l := range p.lines {
		d.Waiting[class] = l.queue.Load().Items
	}
	return d
}

// ReportDemand records the demand of all entries for a group at the time sumsAt. It is called
// before ReportLoad, with the time at which that load was taken. Requests of a class that is not
// known here belong to the last one; unknown reports whether there are any.
func (p *Pool) ReportDemand(group string, sums allotment.Demand, sumsAt, takenAt time.Time) (unknown bool) {
	g := p.groups[group]
	if g == nil || p.classes <= 1 {
		return false
	}
	s := &g.shared
	s.sums, unknown = sums.Fold(len(p.lines))
	if takenAt.Sub(s.takenAt) > sampleInterval {
		// The same load may be reported twice, and gets one draw.
		s.draw = p.rng.Float64()
	}
	s.sumsAt, s.takenAt, s.unchecked = sumsAt, takenAt, true
	return unknown
}

// allot divides the slots of the groups by the demand of all entries where that is known. Where it
// is not, or not trusted, the entry decides alone.
func (p *Pool) allot(now time.Time) {
	if p.classes <= 1 {
		for _, g := range p.groups {
			g.shared.inForce = false
		}
		return
	}
	free := 0
	for _, g := range p.groups {
		if g.shared.inForce = g.sharesDemand(now); g.shared.inForce {
			free += g.freeOrOne()
		}
	}
	for _, name := range p.names {
		g := p.groups[name]
		own := p.demandFor(g)
		g.shared.sample(own, now)
		if g.shared.inForce {
			g.allot(own, len(p.lines), float64(g.freeOrOne())/float64(free), now)
		}
	}
}

// minReporting is the least part of the entries that has to report: otherwise those that do would
// give way to the others, as to those of an earlier version.
const minReporting = 0.9

// sharesDemand reports whether the demand of all entries for the group is known. A group that has just
// become available gets few requests until its load is reported.
func (g *group) sharesDemand(now time.Time) bool {
	if float64(g.shared.sums.Entries) < minReporting*float64(g.lastLoad.Entries) {
		return false
	}
	return g.limitedByLoad && !g.recovering && g.available(now) && g.fresh(now) && now.Sub(g.shared.sumsAt) <= loadValidity
}

// freeOrOne returns how many slots are free, at least one.
func (g *group) freeOrOne() int {
	return max(g.open()-g.lastLoad.Running-g.lastLoad.Queued, 1)
}

// allot sets what this entry may have at the group, given its demand and the part of what waits
// that falls to the group.
func (g *group) allot(own allotment.Demand, classes int, part float64, now time.Time) {
	s := &g.shared
	in := allotment.Input{
		Classes: classes, Own: own, Reported: s.ownAt(s.sumsAt), Sums: s.sums, Slots: g.open(),
		Running: g.lastLoad.Running + g.lastLoad.Queued, OwnRunning: s.ownAt(s.takenAt).Running,
		Entries: g.lastLoad.Entries, Part: part, Draw: s.draw,
	}
	s.allotted = allotment.Of(&in)
	if s.unchecked {
		s.unchecked = false
		s.trust.Observe(&in, &s.allotted, now.Sub(s.takenAt), now)
	}
	if s.inForce = s.trust.Distrusted(now) == ""; !s.allotted.Contended {
		s.allotted.Limit = max(s.allotted.Limit, g.limit)
	}
}

// DemandDistrusted returns why the demand of all entries for a group is not used, or an empty reason.
func (p *Pool) DemandDistrusted(group string, now time.Time) allotment.Reason {
	if g := p.groups[group]; g != nil {
		return g.shared.trust.Distrusted(now)
	}
	return ""
}

// sharedLimit returns how many requests this entry may have at the group.
func (g *group) sharedLimit() int {
	if g.shared.inForce {
		return g.shared.allotted.Limit
	}
	return g.limit
}

// sharedDemand returns the demand of all entries if the slots of the group are divided by it, or nil.
func (g *group) sharedDemand() *allotment.Demand {
	if !g.shared.inForce {
		return nil
	}
	d := g.shared.sums
	return &d
}
