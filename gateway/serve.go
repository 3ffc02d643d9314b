package main

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"verbenashift/core/health"
	"verbenashift/core/instance"
	"verbenashift/core/mirror"
	"verbenashift/core/pause"
	"verbenashift/core/rankpeer"
	"verbenashift/core/retry"
	"verbenashift/platform"
)

// gateway serves callers.
type gateway struct {
	log     *slog.Logger
	tracer  trace.Tracer
	fleet   *fleet
	catalog atomic.Pointer[catalog]
	// leaving is set by SIGTERM: the balancer is told to send nothing more.
	leaving atomic.Bool
	started time.Time

	mu sync.Mutex
	// rng is not the fleet's, which another lock guards.
	rng     *rand.Rand
	budgets *retry.Budgets
	returns retry.Returns
	digests *digests
	// patience tells by route which callers have been here before.
	patience map[string]*retry.Patience
	// admissions are those of services with engines, by name.
	admissions map[string]*admission
}

func newGateway(env instance.Env, tracer trace.Tracer) *gateway {
	boot, log := env.Boot, env.Log
	g := &gateway{
		log: log, tracer: tracer, rng: newRand(), fleet: newFleet(boot.Instance, boot.Zone, log),
		started: time.Now(), admissions: map[string]*admission{}, patience: map[string]*retry.Patience{}, budgets: retry.NewBudgets(retryLimits(boot.Bounds)),
	}
	g.digests = newDigests(log, g.digest)
	return g
}

const (
	// retryPart is the part of the deployment's retries that is used, since
	// what a client sends again at another gateway is counted differently.
	retryPart = 0.85
	// gateways is how many gateways the slack of the retries is shared among.
	// Nothing tells a gateway how many there are; restarted ones start with a
	// new share.
	gateways = 24
)

// retryLimits shares the retries of the whole deployment. The ratio needs no
// sharing: each gateway keeps to it for its own requests.
func retryLimits(b platform.Bounds) retry.Limits {
	share := max(b.RetrySlack/gateways, 1)
	return retry.Limits{
		Ratio: b.RetryRatio * retryPart, KeyBurst: share, HopBurst: share,
		KeyStart: share / 2, HopStart: share / 2,
	}
}

// update takes a new view of the store: configuration and targets together.
func (g *gateway) update(v *mirror.View) {
	g.fleet.update(v)
	g.admitTo(v)
	g.digests.update(v)
	if c := g.catalog.Load(); c == nil || c.config != v.Config {
		g.catalog.Store(newCatalog(v.Config))
		g.showBudgets(v.Config)
	}
}

// showBudgets shows how many retries each service may get now.
func (g *gateway) showBudgets(cfg *platform.Config) {
	for i := range cfg.Services {
		service := cfg.Services[i].Name
		metricBudget.Set(service, expvar.Func(func() any {
			return g.retriesLeft(service)
		}))
	}
}

// admitTo makes an admission for each service with engines.
func (g *gateway) admitTo(v *mirror.View) {
	slots := map[string]int{}
	for _, t := range v.Targets {
		slots[t.Service] += t.Slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		if s.Engine == nil || slots[s.Name] == 0 {
			continue
		}
		if g.admissions[s.Name] == nil {
			g.admissions[s.Name] = newAdmission(s.Name, g.log)
		}
		g.admissions[s.Name].resize(slots[s.Name])
	}
}

// digest takes what a steward tells of its group.
func (g *gateway) digest(d *rankpeer.Digest, taken time.Time) {
	load := g.fleet.digest(d, taken)
	if a := g.admission(load.service); a != nil {
		a.engines(load.running, load.queued, time.Now())
	}
	if health.Leave(len(load.slow), load.ranks) {
		g.fleet.leave(load.slow, g.spareRetries(load.service))
	}
}

// keptRetries is how many retries are kept for what fails by itself.
const keptRetries = 1

// spareRetries returns how many requests to a service may be moved now: each is a
// retry, and one without would be broken off.
func (g *gateway) spareRetries(service string) int {
	return int(g.retriesLeft(service)) - keptRetries
}

// retriesLeft returns how many retries a service may get now.
func (g *gateway) retriesLeft(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgets.For(budgetOf(service)).Left()
}

// admission returns the admission of a service, or nil if it has none.
func (g *gateway) admission(service string) *admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admissions[service]
}

// returning reports whether a caller of a route has come back after an earlier try.
func (g *gateway) returning(route string, patience time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.patience[route]
	if p == nil {
		p = &retry.Patience{}
		g.patience[route] = p
	}
	return p.Returning(patience)
}

// run lets time pass until the context ends.
func (g *gateway) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.tick(time.Now())
		pause.For(ctx, tickEvery)
	}
}

// tick lets time pass for targets and queues.
func (g *gateway) tick(now time.Time) {
	g.fleet.tick(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.admissions {
		a.tick(now)
	}
}

// ready reports whether the balancer should send callers here.
func (g *gateway) ready() bool { return g.catalog.Load() != nil && !g.leaving.Load() }

// ServeHTTP serves one request.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, r: r, req: platform.ParseRequest(r.Header), arrived: time.Now(), lastID: -1}
	cat := g.catalog.Load()
	if cat == nil {
		c.refuse("no configuration yet", time.Second)
		return
	}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit(cat) {
		return
	}
	ctx, span := c.startSpan()
	defer c.endSpan(span)
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errDeadline)
	defer cancel()
	if c.admission = g.admission(c.service); c.admission != nil {
		_, wait := c.tracer.Start(ctx, spanWait)
		place, refusal := c.admission.enter(ctx, c)
		wait.End()
		c.queued = time.Since(c.arrived)
		metricWait.Record(c.queued.Milliseconds())
		if c.callerLeft() {
			if place != "" {
				c.admission.leave(place, 0)
			}
			return
		}
		if refusal != nil {
			c.refuse(refusal.Reason, refusal.RetryAfter)
			return
		}
		defer c.admission.leave(place, c.cost())
	}
	c.run(ctx)
}
