package main

import (
	"time"

	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/request/admission"
	"verbenashift/core/request/allotment"
)

// Gateways tell each other how many requests wait and run, by class, with their polls for digests;
// see package allotment.

// demand returns what this gateway has of requests for a group, or nil if they are of a single class.
func (g *gateway) demand(group string) *rankpeer.Classes {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.admitters {
		if c := a.demand(group); c != nil {
			return c
		}
	}
	return nil
}

// demand returns what waits here and what runs at a group, by class, or nil if the service has a
// single class, or no such group.
func (a *admitter) demand(group string) (classes *rankpeer.Classes) {
	a.locked(func(p *admission.Pool, _ time.Time) {
		if d, ok := p.Demand(group); ok {
			c := rankpeer.NewClasses(d)
			classes = &c
		}
	})
	return classes
}

// demandNote is what was logged of the demand of all gateways for a group.
type demandNote struct {
	unknown    bool
	distrusted allotment.Reason
}

// reportDigest records the load of a group, which was taken at the given time, and the demand of all
// gateways for it if the digest has it.
func (a *admitter) reportDigest(d *rankpeer.Digest, taken time.Time, l admission.Load) {
	sums := d.Classes
	if sums == nil {
		a.reportLoad(l)
		return
	}
	a.locked(func(p *admission.Pool, now time.Time) {
		unknown := p.ReportDemand(l.Group, sums.Demand(), taken.Add(-max(sums.Age, 0)), taken)
		p.ReportLoad(l, now)
		a.note(l.Group, demandNote{unknown, p.DemandDistrusted(l.Group, now)}, sums)
	})
}

// note logs what has changed of the demand of all gateways. It is called with the lock held.
func (a *admitter) note(group string, n demandNote, sums *rankpeer.ClassSums) {
	last := a.noted[group]
	if n == last {
		return
	}
	// That there are classes that are not known is logged once.
	n.unknown = n.unknown || last.unknown
	a.noted[group] = n
	if n.unknown && !last.unknown {
		a.log.Warn("requests of a class that is not known here", "service", a.service, "group", group, "waiting", sums.Waiting, "running", sums.Running)
	}
	switch {
	case n.distrusted != "" && last.distrusted == "":
		a.log.Warn("demand of all gateways not used", "service", a.service, "group", group, "reason", string(n.distrusted),
			"waiting", sums.Waiting, "running", sums.Running, "gateways", sums.Gateways)
	case n.distrusted == "" && last.distrusted != "":
		a.log.Info("demand of all gateways used again", "service", a.service, "group", group)
	}
}
