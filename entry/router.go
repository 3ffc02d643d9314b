package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/route"
)

// router guards the routing table of this entry. A pick takes well under a
// microsecond, so that one lock serves all requests.
type router struct {
	mu    sync.Mutex
	table *route.Table
	rng   *rand.Rand
	// incarnations holds the last known incarnation of each target's agent.
	incarnations map[string]uint64
	index        *config.Index
}

// choice is a target chosen for one attempt.
type choice struct {
	slot        int
	target      *config.Target
	incarnation uint64
	cost        float64
	started     time.Time
}

func newRouter(opt route.Options) *router {
	return &router{
		table:        route.New(opt),
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		incarnations: make(map[string]uint64),
	}
}

// update takes a new configuration.
func (r *router) update(x *config.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cfg := x.Config()
	targets := make([]route.Target, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		targets = append(targets, route.Target{
			Name: t.Name, Region: t.Region, Zone: t.Zone, Model: t.Model, Version: t.Version,
			Service: t.Service, Role: t.Role, Group: t.Group, Drained: t.Drained,
		})
	}
	r.index = x
	r.table.Update(targets)
}

// pick chooses a target, marks the attempt as started there and adds the
// target to the query's excluded ones.
func (r *router) pick(q *route.Query) (choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	slot, ok := r.table.Pick(q, now, r.rng)
	if !ok {
		return choice{}, false
	}
	q.Exclude.Add(slot)
	name := r.table.Target(slot).Name
	t, ok := r.index.Target(name)
	if !ok {
		return choice{}, false
	}
	r.table.Start(slot, q.Cost, now)
	return choice{slot: slot, target: t, incarnation: r.incarnations[name], cost: q.Cost, started: now}, true
}

// end closes an attempt; load is what the agent said last, nil if nothing.
func (r *router) end(c choice, load *wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.End(c.slot, c.cost, c.started)
	if load != nil {
		r.observe(c.slot, c.target.Name, load)
	}
}

// heard takes an agent's load from a heartbeat.
func (r *router) heard(name string, load *wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slot, ok := r.table.Lookup(name); ok && load != nil {
		r.observe(slot, name, load)
	}
}

func (r *router) observe(slot int, name string, l *wire.Load) {
	r.incarnations[name] = max(r.incarnations[name], l.Incarnation)
	r.table.Observe(slot, route.Load{
		Incarnation: l.Incarnation, Queued: float64(l.Queued), Running: int(l.Running),
		Rate: l.Rate, Draining: l.Draining, StepMs: l.StepMs,
	}, time.Now())
}

// setLeaving takes the platform's instance list: the names of targets whose
// instance is leaving.
func (r *router) setLeaving(leaving map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.table.Len() {
		r.table.SetLeaving(i, leaving[r.table.Target(i).Name])
	}
}

// slot returns the table's place of a target, for exclusion.
func (r *router) slot(name string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Lookup(name)
}
