package main

import (
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/membership/health"
	"verbenashift/core/plumbing/tcp"
	"verbenashift/core/request/coldstart"
	"verbenashift/core/request/residency"
	"verbenashift/core/request/route"
	"verbenashift/gateway/crash"
	"verbenashift/gateway/upstream"
	"verbenashift/platform"
)

// fleet is the gateway's state of the targets: their addresses, load and health. It is safe
// for concurrent use.
type fleet struct {
	log *slog.Logger
	// spare returns how many requests to a service may be sent again now. It is called with
	// the lock held.
	spare func(service string) int

	mu           sync.Mutex
	table        *route.Table
	monitor      *health.Monitor
	targetStates map[string]*targetState
	// misdirected holds the targets at whose address another server has answered, until
	// their entry is removed or shows a restart.
	misdirected map[string]bool
	// reportedGroups holds the groups of targets as reported by coordinators, for targets
	// whose entry names none.
	reportedGroups map[string]string
	// evacuated holds the availability zones whose targets get no new requests, regions the region
	// of each zone.
	evacuated map[string]bool
	regions   map[string]string
	rng       *rand.Rand
	streams   activeStreams
	// pendingRequests tracks the plain requests in progress, suspicions the targets that fail while
	// their peers do not; shareSuspicion reports one to the other gateways.
	pendingRequests pendingRequests
	suspicions      health.Suspicions
	shareSuspicion  func(suspicion)
	// crashes distinguishes crashed targets from answers that merely broke off.
	crashes      *crash.Detector
	backpressure backpressure
	// services holds the services of config by name, bySlots those whose requests are placed by the
	// free slots of their targets.
	config   *deployment.Config
	services map[string]deployment.Service
	bySlots  map[string]bool
	// cold limits the requests to cold targets; coldFactor and coldSlack are what these tolerate
	// beyond their rate.
	cold                  *coldstart.Tracker
	coldFactor, coldSlack float64
	// senders is the number of gateways, or 0 if it is not known.
	senders int
	// cost is the moving mean of the requests' costs in tokens.
	cost float64
}

// costGain is the weight of one request in the mean cost.
const costGain = 0.02

// targetState is one target with its connections and health.
type targetState struct {
	// id is the target's identifier. Like pool it does not change, and calls read it without the lock
	// of the fleet, which guards the rest.
	id   string
	pool *upstream.Pool
	deployment.Target
	// slow is set if it lengthens the forward passes of its group; silentUntil is until
	// when it is considered silent.
	slow        bool
	silentUntil time.Time
	// suspectedUntil is until when it is avoided because it fails while its peers do not;
	// strikes counts its recent failures.
	suspectedUntil time.Time
	strikes        health.Strikes
	slowAnswers    health.SlowAnswers
	// failedAt is when it, an engine, failed a request, as long as it has served none since; failedKind
	// is the failure rate of the kind of that request.
	failedAt   time.Time
	failedKind *health.FailureRate
	refusals   health.Refusals
	// announcedShutdown is set once it has announced in an answer that it is shutting down.
	announcedShutdown bool
}

// shuttingDown reports whether the target takes no new requests, by its entry in the store or
// its own announcement.
func (p *targetState) shuttingDown() bool { return p.Draining || p.announcedShutdown }

// choices is how many random targets are compared for a request. With a handful of
// gateways and a few dozen targets, comparing several finds an idle one, and random
// candidates keep the gateways from all picking the same target.
const choices = 6

func newFleet(instance, zone string, log *slog.Logger) *fleet {
	return &fleet{
		log:            log,
		spare:          func(string) int { return math.MaxInt },
		table:          route.New(route.Options{Entry: instance, Zone: zone, Choices: choices}),
		monitor:        health.New(health.Options{}),
		targetStates:   map[string]*targetState{},
		misdirected:    map[string]bool{},
		reportedGroups: map[string]string{},
		rng:            newRand(),
		backpressure:   newBackpressure(instance, log),
		cold:           coldstart.NewTracker(instance),
		streams:        newActiveStreams(), pendingRequests: newPendingRequests(), shareSuspicion: func(suspicion) {}, suspicions: health.Suspicions{ReturnOrder: rand.Float64()},
	}
}

// serves reports whether a target is registered with the given incarnation and not shutting
// down.
func (f *fleet) serves(t deployment.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.targetStates[t.ID]
	return p != nil && p.StartedAt == t.StartedAt && !p.shuttingDown()
}

// update applies a new view of the targets.
func (f *fleet) update(v *mirror.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, first := time.Now(), f.services == nil
	f.drop(v.Targets)
	f.services = servicesOf(v.Config)
	f.setPlacement(v.Config)
	f.markRestored(v.Evacuated, now)
	f.evacuated = v.Evacuated
	metricEvacuated.Set(int64(len(v.Evacuated)))
	targets := make([]route.Target, 0, len(v.Targets))
	for id, t := range v.Targets {
		if f.targetStates[id] == nil {
			f.targetStates[id] = &targetState{id: id, Target: t, pool: upstream.NewPool(t.Addr.String(), tcp.Dial, answersTo)}
			if !first {
				f.markCold(&t, f.services[t.Service].ColdStart, now)
			}
		}
		f.markCold(&t, t.ColdFor, now)
		f.targetStates[id].Target = t
		targets = append(targets, f.routed(&t))
	}
	f.shareCold()
	f.table.Update(targets)
	f.monitor.Update(f.watched())
}

// drop removes the state of targets that were removed or have restarted: connections,
// failures and silences of an earlier incarnation do not apply to the new one.
func (f *fleet) drop(now map[string]deployment.Target) {
	for id := range f.misdirected {
		if _, ok := now[id]; !ok {
			delete(f.misdirected, id)
		}
	}
	for id, p := range f.targetStates {
		t, ok := now[id]
		if ok && t.Addr == p.Addr && t.StartedAt == p.StartedAt {
			continue
		}
		p.pool.Close()
		f.reportTermination(p, ok || listensAt(now, p.Addr))
		delete(f.targetStates, id)
		delete(f.misdirected, id)
		delete(f.reportedGroups, id)
		delete(f.streams.targets, id)
		delete(f.pendingRequests.targets, id)
		f.suspicions.Drop(id)
		f.backpressure.drop(id, t.StartedAt, ok)
		f.cold.Remove(id)
		if i, known := f.table.Lookup(id); ok && known {
			f.table.Restarted(i)
		}
		if ok {
			f.log.Info("target has started again", "target", id, "addr", t.Addr.String(), "born", t.StartedAt, "born-before", p.StartedAt)
		}
	}
	// This also resets the monitor's state of targets that keep their name.
	f.monitor.Update(f.watched())
}

// listensAt reports whether one of the targets has the given address.
func listensAt(targets map[string]deployment.Target, addr netip.AddrPort) bool {
	for _, t := range targets {
		if t.Addr == addr {
			return true
		}
	}
	return false
}

// reportTermination reports to the crash detector that an incarnation of a target has ended,
// according to the store. A target that had announced its shutdown has not crashed.
func (f *fleet) reportTermination(p *targetState, replaced bool) {
	switch {
	case p.shuttingDown():
	case replaced:
		f.crashes.Restarted(p.Target)
	default:
		f.crashes.Removed(p.Target)
	}
}

// watched returns the targets whose health is monitored: those with connections.
func (f *fleet) watched() []health.Member {
	members := make([]health.Member, f.table.Len())
	for i := range members {
		t := f.table.Target(i)
		if f.table.Configured(i) && f.targetStates[t.Name] != nil {
			members[i] = health.Member{Name: t.Name, Pool: t.Service}
		}
	}
	return members
}

// routed returns a target as an entry of the routing table.
func (f *fleet) routed(t *deployment.Target) route.Target {
	return route.Target{
		Name: t.ID, Zone: t.Zone, Service: t.Service, Group: f.groupOf(t),
		Drained: f.targetStates[t.ID].shuttingDown() || f.misdirected[t.ID] || f.evacuated[t.Zone],
		Slots:   f.placedBySlots(t),
	}
}

// groupOf returns the name of a target's group, or "" if it is not known.
func (f *fleet) groupOf(t *deployment.Target) string {
	if t.Group.Name != "" {
		return t.Group.Name
	}
	return f.reportedGroups[t.ID]
}

// slots returns the slots of the targets by service and group. Targets in evacuated zones have
// none.
func (f *fleet) slots() map[string]map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := map[string]map[string]int{}
	for _, p := range f.targetStates {
		if slots[p.Service] == nil {
			slots[p.Service] = map[string]int{}
		}
		open := p.Slots
		if f.evacuated[p.Zone] {
			open = 0
		}
		slots[p.Service][f.groupOf(&p.Target)] += open
	}
	return slots
}

// reach says whether there are targets of a service that may get a request.
type reach int

// The zero value says that no target of the service is known.
const (
	noTargets reach = iota
	notAllowed
	allEvacuated
	reachable
)

// reachOf returns whether a service has targets in some zones, and whether all of them are evacuated.
func (f *fleet) reachOf(service string, zones residency.Set) reach {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := noTargets
	for _, p := range f.targetStates {
		switch {
		case p.Service != service:
		case !zones.Allow(p.Zone):
			best = max(best, notAllowed)
		case f.evacuated[p.Zone]:
			best = max(best, allEvacuated)
		default:
			return reachable
		}
	}
	return best
}

// zonesFor returns the zones in which the targets of a request may be; the workspace may be nil.
func (f *fleet) zonesFor(r *deployment.Route, w *deployment.Workspace) residency.Set {
	if w == nil {
		return residency.Zones(f.regions, r.Regions)
	}
	return residency.Zones(f.regions, r.Regions, w.Regions)
}

// answersTo reports whether an answer belongs to the request with an identifier, by the
// identifier that it echoes. A refusal may lack one.
func answersTo(status int, h http.Header, id string) bool {
	a := platform.ParseAnswer(status, h)
	return a.ID == id || a.ID == "" && status >= http.StatusBadRequest
}

// activeAttempt is an attempt in progress at a target.
type activeAttempt struct {
	index   int
	cost    float64
	started time.Time
	target  *targetState
	// seen is the target's entry when it was picked.
	seen deployment.Target
	// loadAge is the age of the target's load report when it was picked; negative if there
	// was none.
	loadAge time.Duration
}

// pick chooses a target and counts the request there. It reports false if no
// target may take it.
func (f *fleet) pick(q *route.Query, now time.Time) (activeAttempt, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateThrottled(q.Service, now)
	f.expireRefusals(now)
	i, ok := f.table.Pick(q, now, f.rng)
	if !ok {
		return activeAttempt{}, false
	}
	p := f.targetStates[f.table.Target(i).Name]
	if p == nil {
		return activeAttempt{}, false
	}
	age := f.table.LoadAge(i, now)
	f.table.Start(i, q.Cost, now)
	f.backpressure.limits.recordSent(p.ID, now)
	f.cold.RecordSent(p.ID, now)
	f.cost += (q.Cost - f.cost) * costGain
	return activeAttempt{index: i, cost: q.Cost, started: now, target: p, seen: p.Target, loadAge: age}, true
}

// end records that an attempt has ended.
func (f *fleet) end(s activeAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.End(s.index, s.cost, s.started)
	f.table.Left(s.index, time.Now())
}

// observeAnswer records what an answer states about its target.
func (f *fleet) observeAnswer(s activeAttempt, a platform.Answer, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Misdirected && !f.misdirected[s.target.ID] {
		f.misdirected[s.target.ID] = true
		// Each request that is sent there costs a retry, and the next view of the store
		// may be seconds away.
		f.table.SetLeaving(s.index, true)
		f.log.Info("target gone", "target", s.target.ID, "reason", "another server answers at its address")
	}
	if !a.Misdirected {
		f.applyBackpressure(s, a, now)
		f.markCold(&s.seen, a.ColdFor, now)
	}
	if a.Load != nil {
		f.table.Observe(s.index, route.Load{
			Queued: float64(a.Load.Waiting) * s.cost, Running: a.Load.Running, Occupied: a.Load.Running + a.Load.Waiting,
		}, now)
	}
}

func (f *fleet) succeeded(s activeAttempt, latency time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.Succeed(s.index, latency, now)
}

func (f *fleet) failed(s activeAttempt, severity health.Severity, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.Fail(s.index, severity, now)
	// Otherwise it would look idle compared to targets that are avoided because they refuse
	// requests.
	f.refused(s.target, now)
}

// tickEvery is how often ejections and idle connections are checked.
const tickEvery = 100 * time.Millisecond

// tick updates the health of the targets, and returns the groups that have stalled.
func (f *fleet) tick(now time.Time) []silentGroup {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchPending(now)
	f.avoidSuspected(now)
	f.watchSilence(now)
	f.crashes.Tick(now)
	for _, c := range f.monitor.Tick(now, f.rng) {
		f.table.SetHealth(c.Target, c.Share, c.Probe)
		f.log.Info("target health", "target", f.table.Target(c.Target).Name, "state", c.State.String(), "share", c.Share, "cause", c.Cause.String())
	}
	for _, p := range f.targetStates {
		p.pool.CloseIdle(now)
	}
	return f.silentGroups(now)
}

// severityOf returns how certain it is that a failed attempt is the target's fault.
func severityOf(err error) health.Severity {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return health.Hard
	}
	return health.Soft
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
