package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/membership/health"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/route"
)

// healthPeriod is the interval at which the targets' health is evaluated.
const healthPeriod = 250 * time.Millisecond

// router holds the routing table of this entry and the health of the targets. A
// pick takes well under a microsecond, so that one lock suffices for all requests.
type router struct {
	log *slog.Logger

	mu      sync.Mutex
	table   *route.Table
	monitor *health.Monitor
	rng     *rand.Rand
	// paused holds the time until which a target accepts no requests.
	paused map[string]time.Time
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

func newRouter(opt route.Options, log *slog.Logger) *router {
	return &router{
		log:          log,
		monitor:      health.New(health.Options{}),
		table:        route.New(opt),
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		paused:       make(map[string]time.Time),
		incarnations: make(map[string]uint64),
	}
}

// update applies a new configuration.
func (r *router) update(x *config.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cfg := x.Config()
	targets := make([]route.Target, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		targets = append(targets, route.Target{
			Name: t.Name, Region: t.Region, Zone: t.Zone, Model: t.Model, Version: t.Version,
			Service: t.Service, Role: t.Role, Group: t.Group, Drained: cfg.Closed(t), Adapters: adapters(x, t.Model),
		})
	}
	r.index = x
	r.table.Update(targets)
	r.updateMonitor()
}

// adapters returns the adapters that targets of a model may load.
func adapters(x *config.Index, model string) []string {
	if m, ok := x.Model(model); ok {
		return m.Adapters
	}
	return nil
}

// setEntries sets this entry's index among the live entries, by which their
// subsets of targets are balanced.
func (r *router) setEntries(index, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetEntries(index, entries)
}

// updateMonitor sets the targets that the health monitor watches, at the same
// indexes as in the table.
func (r *router) updateMonitor() {
	members := make([]health.Member, r.table.Len())
	for i := range members {
		if !r.table.Configured(i) {
			continue // the monitor ignores an empty member, also in its minimum of healthy ones
		}
		t := r.table.Target(i)
		members[i] = health.Member{Name: t.Name, Pool: t.Model + "/" + t.Service, Group: t.Group}
	}
	r.monitor.Update(members)
}

// monitorHealth applies the monitor's results to the table until ctx is done.
func (r *router) monitorHealth(ctx context.Context) {
	tick := time.NewTicker(healthPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.applyHealth(now)
		case <-ctx.Done():
			return
		}
	}
}

func (r *router) applyHealth(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.monitor.Tick(now, r.rng) {
		r.table.SetHealth(c.Target, c.Share, c.Probe)
		r.table.SetTrust(c.Target, c.Trusted)
		if c.State == health.Ejected {
			r.log.Warn("target ejected", "target", r.table.Target(c.Target).Name, "cause", c.Cause.String())
		}
	}
}

// pick chooses a target, marks the attempt as started there and adds the
// target to the query's excluded ones.
func (r *router) pick(q *route.Query) (choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.resume(now)
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

// retryAfter returns the time until the first paused target accepts requests
// again, or 0 if none is paused.
func (r *router) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := time.Duration(0)
	for _, until := range r.paused {
		if left := time.Until(until); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// result is the result of an attempt at a target.
type result struct {
	// load is the agent's last load report, nil if there was none.
	load *wire.Load
	// firstToken is the time to the first frame, 0 if none was received.
	firstToken time.Duration
	// failed reports that the target or the connection to it failed, unsent that
	// nothing reached the target.
	failed, unsent bool
	// pause is how long the target accepts no requests, 0 if it accepts them.
	pause time.Duration
}

// end records the end of an attempt.
func (r *router) end(c choice, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.End(c.slot, c.cost, c.started)
	load, now := res.load, time.Now()
	switch {
	case res.unsent:
		r.monitor.Fail(c.slot, health.Hard, now)
	case res.failed:
		r.monitor.Fail(c.slot, health.Soft, now)
	case res.firstToken > 0:
		r.monitor.Succeed(c.slot, res.firstToken, now)
	}
	if load != nil {
		r.observe(c.slot, c.target.Name, load)
	}
	if res.pause > 0 {
		r.pause(c.target.Name, res.pause, now)
	}
}

// pause excludes a target from picks for d. The caller holds mu.
func (r *router) pause(target string, d time.Duration, now time.Time) {
	slot, ok := r.table.Lookup(target)
	if !ok {
		return
	}
	r.log.Info("target requested a pause", "target", target, "ms", d.Milliseconds())
	r.paused[target] = now.Add(d)
	r.table.SetPaused(slot, true)
}

// resume includes the targets whose pause is over again. The caller holds mu.
func (r *router) resume(now time.Time) {
	for target, until := range r.paused {
		if now.Before(until) {
			continue
		}
		delete(r.paused, target)
		if slot, ok := r.table.Lookup(target); ok {
			r.table.SetPaused(slot, false)
		}
	}
}

// record stores an agent's load from a heartbeat.
func (r *router) record(name string, load *wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slot, ok := r.table.Lookup(name); ok && load != nil {
		r.observe(slot, name, load)
	}
}

// recordFailure records that an agent did not answer a heartbeat.
func (r *router) recordFailure(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slot, ok := r.table.Lookup(name); ok {
		r.monitor.Fail(slot, health.Soft, time.Now())
	}
}

// observe records an agent's load. The caller holds mu.
func (r *router) observe(slot int, name string, l *wire.Load) {
	r.incarnations[name] = max(r.incarnations[name], l.Incarnation)
	r.monitor.RecordStep(slot, l.StepMs, time.Now())
	r.table.Observe(slot, route.Load{
		Incarnation: l.Incarnation, Queued: float64(l.Queued), Running: int(l.Running),
		Rate: l.Rate, Draining: l.Draining, StepMs: l.StepMs,
	}, time.Now())
}

// setLeaving sets the names of the targets that may get no new work.
func (r *router) setLeaving(leaving map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.table.Len() {
		r.table.SetLeaving(i, leaving[r.table.Target(i).Name])
	}
}

// slot returns a target's index in the table, for exclusion from a query.
func (r *router) slot(name string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Lookup(name)
}
