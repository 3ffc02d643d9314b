package main

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/membership/health"
	"verbenashift/core/plumbing/boot"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/plumbing/instance"
	"verbenashift/core/plumbing/intake"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/plumbing/tcp"
	"verbenashift/core/request/admission"
	"verbenashift/core/request/precedence"
	"verbenashift/core/request/retry"
	"verbenashift/gateway/crash"
	"verbenashift/gateway/startup"
	"verbenashift/platform"
)

// gateway serves callers.
type gateway struct {
	log     *slog.Logger
	tracer  trace.Tracer
	fleet   *fleet
	catalog atomic.Pointer[catalog]
	started time.Time
	*shutdown
	// bodies bounds the bodies of requests, answers complete answers.
	bodies, answers *buffers.Pool
	// stallLimit is how long a caller may take to read the next part of its answer.
	stallLimit time.Duration
	// callers accepts their connections; nil until the gateway listens.
	callers atomic.Pointer[intake.Listener]
	// startup holds requests until there is a configuration.
	startup *startup.Gate

	mu sync.Mutex
	// rng is separate from the fleet's, which another lock guards.
	rng *rand.Rand
	// retries limits the retries by service.
	retries *retry.SharedBudgets
	// shownPart is the part of the retries that was logged last.
	shownPart       retry.Part
	returnScheduler retry.ReturnScheduler
	digests         *digests
	// isolator quarantines requests that crash their targets.
	isolator *isolator
	// suspicions shares suspected targets with the other gateways.
	suspicions *suspicionExchange
	// returnDetectors detect returning callers, by route.
	returnDetectors map[string]*retry.ReturnDetector
	// admitters holds those of services with engines, by name.
	admitters map[string]*admitter
}

func newGateway(env instance.Env, tracer trace.Tracer, store *platform.Store) *gateway {
	boot, log, now := env.Boot, env.Log, time.Now()
	g := &gateway{
		log: log, tracer: tracer, rng: newRand(), started: now,
		shutdown:        newShutdown(),
		startup:         startup.New(),
		stallLimit:      stallLimit,
		bodies:          newBuffers(boot.MemoryBytes),
		answers:         newBuffers(boot.MemoryBytes),
		fleet:           newFleet(boot.Instance, boot.Zone, log),
		retries:         newRetries(boot, now),
		isolator:        newIsolator(boot.Instance, store, log),
		suspicions:      newSuspicionExchange(boot.Instance, store, log),
		admitters:       map[string]*admitter{},
		returnDetectors: map[string]*retry.ReturnDetector{},
	}
	g.fleet.regions = boot.Regions
	g.fleet.coldFactor, g.fleet.coldSlack = boot.Bounds.ColdFactor, boot.Bounds.ColdSlack
	g.suspicions.report = g.fleet.addSuspicion
	g.fleet.shareSuspicion = g.suspicions.share
	g.fleet.backpressure.limits.store = store
	g.fleet.crashes = crash.New(tcp.Dial, g.fleet.serves, log, g.isolator.crashed)
	g.digests = newDigests(boot.Instance, log, g.digest)
	g.digests.demand = g.demand
	g.publishRoom()
	g.fleet.spare = g.spareRetries
	return g
}

// publishRoom publishes how much memory bodies take.
func (g *gateway) publishRoom() {
	for name, pool := range map[string]*buffers.Pool{"requests": g.bodies, "answers": g.answers} {
		metricRoom.Set(name, expvar.Func(func() any { return pool.Held() }))
		metricReclaimed.Set(name, expvar.Func(func() any { return pool.Reclaimed() }))
	}
}

// newRetries returns this gateway's part of the retries of the whole deployment.
func newRetries(s boot.Settings, now time.Time) *retry.SharedBudgets {
	allowed := retry.Allowance{Ratio: s.Bounds.RetryRatio, Burst: s.Bounds.RetryBurst, Window: s.Bounds.RetryWindow}
	if s.FirstStart {
		return retry.NewSharedBudgets(allowed, time.Time{})
	}
	return retry.NewSharedBudgets(allowed, now)
}

// shareRetries records the number of gateways, as counted by those that poll a coordinator
// and its relays.
func (g *gateway) shareRetries(among int, now time.Time) {
	if among <= 0 {
		return
	}
	// The fleet's lock is taken before the gateway's elsewhere.
	g.fleet.setSenders(g.countSenders(among, now))
}

// countSenders records the number of gateways and returns the one to use.
func (g *gateway) countSenders(among int, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.ReportSenders(among, now)
	g.showRetries(now)
	return g.retries.Senders()
}

// countTargets records the number of targets, which bounds that of the gateways until it is known.
func (g *gateway) countTargets(n int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.ReportTargets(n)
	g.showRetries(now)
}

// showRetries publishes this gateway's part of the retries, and logs it when it has changed. The
// lock must be held.
func (g *gateway) showRetries(now time.Time) {
	part := g.retries.Part()
	if part == g.shownPart {
		return
	}
	g.shownPart = part
	set(metricRetryPart, "gateways", part.Senders)
	set(metricRetryPart, "burst", int(part.Burst))
	g.log.Info("retry part", "gateways", part.Senders, "assumed", part.Assumed, "burst", part.Burst, "ratio", part.Ratio,
		"since-start-ms", now.Sub(g.started).Milliseconds())
}

// update applies a new view of the store: configuration and targets together.
func (g *gateway) update(v *mirror.Snapshot) {
	g.fleet.update(v)
	g.countTargets(len(v.Targets), time.Now())
	g.updateAdmitters(v.Config)
	g.digests.update(v)
	if c := g.catalog.Load(); c == nil || c.config != v.Config {
		next := newCatalog(v.Config)
		g.setClasses(next)
		g.catalog.Store(next)
		g.limitHeads(g.callers.Load())
		g.reportPriorities(v.Config)
		g.publishBudgets(v.Config)
	}
	g.startup.Open()
}

// limitHeads applies the limits of the configuration to the heads of requests.
func (g *gateway) limitHeads(l *intake.Listener) {
	if l == nil {
		return
	}
	if g.callers.CompareAndSwap(nil, l) {
		metricRoom.Set("heads", expvar.Func(func() any { return l.HeldForHeads() }))
	}
	if cat := g.catalog.Load(); cat != nil {
		l.LimitHeads(cat.config.Limits.HeaderBytes, cat.config.Limits.HeaderTimeout)
	}
}

// maxNames is the maximum number of routes and of workspaces that are named in a log line.
const maxNames = 5

// reportPriorities logs the routes and workspaces of a configuration whose priority is out of range.
// They are served as those with the lowest one.
func (g *gateway) reportPriorities(cfg *deployment.Config) {
	routes, workspaces, n := invalidPriorities(cfg, maxNames)
	if n == 0 {
		return
	}
	g.log.Warn("priority out of range", "config", cfg.Version, "taken-as", precedence.Lowest, "count", n, "routes", routes, "workspaces", workspaces)
}

// publishBudgets publishes how many retries each service has left.
func (g *gateway) publishBudgets(cfg *deployment.Config) {
	for i := range cfg.Services {
		service := cfg.Services[i].Name
		metricBudget.Set(service, expvar.Func(func() any {
			return g.retriesLeft(service)
		}))
	}
}

// updateAdmitters creates an admitter for each service with engines, and sets its slots.
func (g *gateway) updateAdmitters(cfg *deployment.Config) {
	slots := g.fleet.slots()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.Engine == nil || len(slots[s.Name]) == 0 {
			continue
		}
		if g.admitters[s.Name] == nil {
			g.admitters[s.Name] = newAdmitter(s.Name, g.log)
			g.admitters[s.Name].setClasses(ordersOf(cfg)[s.Name].Classes())
		}
		g.admitters[s.Name].setEngine(s.Engine, (&mirror.Snapshot{Config: cfg}).ShortestGap(s.Name))
		g.admitters[s.Name].resize(slots[s.Name])
	}
}

// setClasses sets the number of classes of the requests of each service with engines.
func (g *gateway) setClasses(cat *catalog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, a := range g.admitters {
		a.setClasses(cat.orders[service].Classes())
	}
}

// digest applies what a coordinator reports of its group.
func (g *gateway) digest(d *rankpeer.Digest, taken time.Time) {
	g.shareRetries(d.Gateways, time.Now())
	r := g.fleet.digest(d, taken)
	if cat := g.catalog.Load(); r.joined && cat != nil {
		g.updateAdmitters(cat.config)
	}
	if a := g.admitterOf(r.service); a != nil {
		a.reportDigest(d, taken, admission.Load{Group: d.Group.Name, Complete: d.Open, Running: r.running, Queued: r.queued, Blocked: r.blocked, PassTime: d.Pass, Entries: d.Gateways})
	}
	if health.ShouldMoveStreams(len(r.slow), len(d.Targets)) {
		g.fleet.moveSlowStreams(r.slow, g.spareRetries(r.service))
	}
}

// reservedRetries is how many retries are reserved for requests that fail on their own.
const reservedRetries = 1

// spareRetries returns how many requests to a service may be moved now. Each move takes a
// retry; without one the request would be aborted.
func (g *gateway) spareRetries(service string) int {
	return int(g.retriesLeft(service)) - reservedRetries
}

// retriesLeft returns how many retries a service has left.
func (g *gateway) retriesLeft(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.For(retry.ServiceKey(service)).Left(time.Now())
}

// admitterOf returns the admitter of a service, or nil if it has none.
func (g *gateway) admitterOf(service string) *admitter {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitters[service]
}

// isReturning reports whether a caller of a route is repeating an earlier attempt.
func (g *gateway) isReturning(r *deployment.Route, timeout time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.returnDetectors[r.Name]
	if p == nil {
		p = &retry.ReturnDetector{}
		g.returnDetectors[r.Name] = p
	}
	return p.Returning(timeout, r.Timeout)
}

// run calls tick periodically until the context ends.
func (g *gateway) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.tick(time.Now())
		pause.For(ctx, tickEvery)
	}
}

// tick updates the health of targets and the state of queues.
func (g *gateway) tick(now time.Time) {
	for _, s := range g.fleet.tick(now) {
		if a := g.admitterOf(s.service); a != nil {
			a.markStalled(s.group, now.Add(silenceHold))
		}
		if s.move {
			g.fleet.moveGroupStreams(s.groupKey, g.spareRetries(s.service))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.admitters {
		a.tick()
	}
}

// ready reports whether the load balancer should send callers to this gateway.
func (g *gateway) ready() bool { return g.catalog.Load() != nil && !g.shuttingDown.Load() }

// ServeHTTP serves one request.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { serveSealed(w, r, g.serveCall) }

// serveCall serves one request.
func (g *gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	c := newCall(g, w, r)
	if !c.started() {
		return
	}
	defer c.releaseBuffers()
	cat := g.catalog.Load()
	if g.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit(cat) || c.refuseIfStopping() || c.refuseIfOutOfReach() || c.refuseIfQuarantined() {
		return
	}
	defer c.endProbe()
	ctx, span := c.startSpan()
	defer c.endSpan(span)
	ctx, release := c.untilStopped(ctx)
	defer release()
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errDeadline)
	defer cancel()
	c.runInSlot(ctx)
	c.deliver()
}

// runInSlot makes the attempts of a request when it has a slot, if its service has engines.
func (c *call) runInSlot(ctx context.Context) {
	if c.admitter = c.admitterOf(c.service); c.admitter != nil && !c.acquireSlot(ctx) {
		return
	}
	defer c.releaseSlot()
	c.run(ctx)
}

// started waits until the gateway has a configuration. If the request must not wait any
// longer, it answers the request and reports false.
func (c *call) started() bool {
	err := c.startup.Wait(c.r.Context(), c.req.Timeout)
	c.startupWait = time.Since(c.arrived)
	if err == nil {
		return true
	}
	var refused *startup.RefusedError
	if errors.As(err, &refused) {
		c.refuse(refused.Reason, refused.RetryAfter)
		return false
	}
	c.callerLeft()
	return false
}

// acquireSlot waits for a slot at the engines. If there is none, it answers the request and
// reports false.
func (c *call) acquireSlot(ctx context.Context) bool {
	_, wait := c.tracer.Start(ctx, spanWait)
	at, refusal := c.admitter.acquire(ctx, c)
	wait.End()
	c.slot = at
	c.queued = time.Since(c.arrived)
	metricWait.Record(c.queued.Milliseconds())
	if c.callerLeft() {
		if at.id != "" {
			c.admitter.release(at, 0)
		}
		return false
	}
	if refusal != nil {
		c.refuse(refusal.Reason, refusal.RetryAfter)
		return false
	}
	return true
}

// releaseSlot returns the slot of the request.
func (c *call) releaseSlot() {
	if c.admitter != nil {
		c.admitter.release(c.slot, c.cost())
	}
}
