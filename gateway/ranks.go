package main

import (
	"time"

	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/membership/health"
	"verbenashift/core/request/route"
)

const (
	// slowPace is the pace above which a rank gets no requests while others have
	// capacity: all ranks of a group wait for the slowest one's part of a forward pass.
	slowPace = 1.25
	// engineRate is the rate of a rank at full speed, in tokens per second. Only
	// the proportions matter.
	engineRate = 4000
)

// groupLoad is the load of an expert group according to a digest.
type groupLoad struct {
	service string
	// running and queued are the sums over the ranks.
	running, queued int
	// blocked is how many slots are free at a few targets that get nothing now.
	blocked int
	// slow holds the targets that slow down the group.
	slow map[string]bool
	// joined is set if a target was not known to belong to the group.
	joined bool
}

// digest applies the load of the ranks as reported by their coordinator.
func (f *fleet) digest(d *rankpeer.Digest, taken time.Time) groupLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := groupLoad{slow: map[string]bool{}}
	now, blocked := time.Now(), 0
	for k, id := range d.Targets {
		i, ok := f.table.Lookup(id)
		p := f.targetStates[id]
		if !ok || p == nil {
			continue
		}
		if p.Group.Name == "" && f.reportedGroups[id] != d.Group.Name {
			f.reportedGroups[id], r.joined = d.Group.Name, true
		}
		pace := max(float64(d.Pace[k])/rankpeer.PaceUnit, 1)
		load := route.Load{Queued: float64(d.Queued[k]) * f.cost, Running: int(d.Running[k]), Occupied: int(d.Running[k] + d.Queued[k]), Rate: engineRate / pace}
		f.table.Report(i, load, taken)
		p.slow = pace > slowPace
		f.updateAvoided(p, taken)
		if health.SlowRank(pace) {
			r.slow[id] = true
		}
		r.service = p.Service
		r.running += int(d.Running[k])
		r.queued += int(d.Queued[k])
		if f.blocked(p, i, now) {
			blocked++
			r.blocked += max(p.Slots-int(d.Running[k]), 0)
		}
	}
	if !health.FewFail(blocked, len(d.Targets)) {
		r.blocked = 0
	}
	if r.joined {
		f.regroup()
	}
	if r.service == "" {
		r.service = f.serviceOf(d.Group.Name)
	}
	return r
}

// serviceOf returns the service of a group's targets: the digest of a coordinator that knows
// none of its ranks yet applies as well. It is called with the lock held.
func (f *fleet) serviceOf(group string) string {
	for _, p := range f.targetStates {
		if f.groupOf(&p.Target) == group {
			return p.Service
		}
	}
	return ""
}

// regroup updates the groups of the targets in the routing table. It is called with the lock
// held.
func (f *fleet) regroup() {
	targets := make([]route.Target, 0, len(f.targetStates))
	for _, p := range f.targetStates {
		targets = append(targets, f.routed(&p.Target))
	}
	f.table.Update(targets)
}
