package main

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenashift/core/health"
	"verbenashift/core/mirror"
	"verbenashift/core/rankpeer"
	"verbenashift/core/route"
	"verbenashift/gateway/upstream"
	"verbenashift/platform"
)

// fleet is the targets as the gateway knows them: where they are, how they are
// loaded, and how they have behaved. It is safe for concurrent use.
type fleet struct {
	log *slog.Logger

	mu      sync.Mutex
	table   *route.Table
	monitor *health.Monitor
	pools   map[string]*pooled
	// gone are targets whose address answered for another server, until their
	// entry is removed.
	gone    map[string]bool
	rng     *rand.Rand
	flights flights
	// cost is the moving mean of the requests' costs in tokens.
	cost float64
}

// costGain is the weight of one request in the mean cost.
const costGain = 0.02

// pooled is one target with its connections.
type pooled struct {
	platform.Target
	pool *upstream.Pool
	// slow says that it lengthens the passes of its group; silentUntil is until
	// when it is taken for silent.
	slow        bool
	silentUntil time.Time
}

// choices is how many targets are compared for a request. With a handful of
// gateways before a few dozen targets, comparing several finds an idle one, and
// random ones keep the gateways from all taking the same.
const choices = 6

func newFleet(instance, zone string, log *slog.Logger) *fleet {
	return &fleet{
		log:     log,
		table:   route.New(route.Options{Entry: instance, Zone: zone, Choices: choices}),
		monitor: health.New(health.Options{}),
		pools:   map[string]*pooled{},
		gone:    map[string]bool{},
		rng:     newRand(),
		flights: newFlights(),
	}
}

// update takes a new view of the targets.
func (f *fleet) update(v *mirror.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.gone {
		if _, ok := v.Targets[id]; !ok {
			delete(f.gone, id)
		}
	}
	targets := make([]route.Target, 0, len(v.Targets))
	for id, t := range v.Targets {
		if f.pools[id] == nil {
			f.pools[id] = &pooled{Target: t, pool: upstream.NewPool(t.Addr.String(), platform.Dial, answersTo)}
		}
		targets = append(targets, route.Target{
			Name: id, Zone: t.Zone, Service: t.Service,
			Drained: t.Draining || f.gone[id],
		})
	}
	f.table.Update(targets)
	members := make([]health.Member, f.table.Len())
	for i := range members {
		if f.table.Configured(i) {
			t := f.table.Target(i)
			members[i] = health.Member{Name: t.Name, Pool: t.Service}
		}
	}
	f.monitor.Update(members)
	for id, p := range f.pools {
		if _, ok := v.Targets[id]; !ok {
			p.pool.Close()
			delete(f.pools, id)
			delete(f.flights.targets, id)
		}
	}
}

// answersTo tells the answer to a request by the identifier that it echoes. A
// refusal may come without one.
func answersTo(status int, h http.Header, id string) bool {
	a := platform.ParseAnswer(status, h)
	return a.ID == id || a.ID == "" && status >= http.StatusBadRequest
}

// sent is an attempt in progress at a target.
type sent struct {
	index   int
	cost    float64
	started time.Time
	target  *pooled
	// loadAge is how old the load of the target was when it was picked; negative
	// if none was known.
	loadAge time.Duration
}

// pick chooses a target and counts the request there. It reports false if no
// target may take it.
func (f *fleet) pick(q *route.Query, now time.Time) (sent, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.table.Pick(q, now, f.rng)
	if !ok {
		return sent{}, false
	}
	p := f.pools[f.table.Target(i).Name]
	if p == nil {
		return sent{}, false
	}
	age := f.table.LoadAge(i, now)
	f.table.Start(i, q.Cost, now)
	f.cost += (q.Cost - f.cost) * costGain
	return sent{index: i, cost: q.Cost, started: now, target: p, loadAge: age}, true
}

// end records that an attempt has ended.
func (f *fleet) end(s sent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.End(s.index, s.cost, s.started)
}

// heard takes what an answer says of its target.
func (f *fleet) heard(s sent, a platform.Answer, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Misdirected && !f.gone[s.target.ID] {
		f.gone[s.target.ID] = true
		// Every request that is sent there costs a retry. The next view of the
		// store may be seconds away.
		f.table.SetLeaving(s.index, true)
		f.log.Info("target gone", "target", s.target.ID, "reason", "another server answers at its address")
	}
	if a.Load != nil {
		f.table.Observe(s.index, route.Load{
			Queued: float64(a.Load.Waiting) * s.cost, Running: a.Load.Running,
		}, now)
	}
}

const (
	// slowPace is the pace over which a rank gets no requests while others have
	// room: all ranks of a group wait for the slowest one's own part of a pass.
	slowPace = 1.25
	// engineRate is the rate of a rank at full pace, in tokens a second. Only
	// the proportions matter.
	engineRate = 4000
)

// groupLoad is the load of an expert group as its steward tells it.
type groupLoad struct {
	service string
	// running and queued are the sums over the ranks.
	running, queued int
	ranks           int
	// slow are the targets that hold the group up.
	slow map[string]bool
}

// digest takes what a steward knows of the load of its ranks.
func (f *fleet) digest(d *rankpeer.Digest, taken time.Time) groupLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := groupLoad{ranks: len(d.Targets), slow: map[string]bool{}}
	for k, id := range d.Targets {
		i, ok := f.table.Lookup(id)
		if !ok {
			continue
		}
		pace := max(float64(d.Pace[k])/rankpeer.PaceUnit, 1)
		load := route.Load{Queued: float64(d.Queued[k]) * f.cost, Running: int(d.Running[k]), Rate: engineRate / pace}
		f.table.Report(i, load, taken)
		if p := f.pools[id]; p != nil {
			p.slow = pace > slowPace
			f.avoid(p, taken)
		}
		if health.SlowRank(pace) {
			g.slow[id] = true
		}
		g.service = f.table.Target(i).Service
		g.running += int(d.Running[k])
		g.queued += int(d.Queued[k])
	}
	return g
}

func (f *fleet) succeeded(s sent, latency time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.Succeed(s.index, latency, now)
}

func (f *fleet) failed(s sent, severity health.Severity, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.Fail(s.index, severity, now)
}

// tickEvery is how often ejections and idle connections are looked at.
const tickEvery = 100 * time.Millisecond

// tick lets time pass for the health of the targets.
func (f *fleet) tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchSilence(now)
	for _, c := range f.monitor.Tick(now, f.rng) {
		f.table.SetHealth(c.Target, c.Share, c.Probe)
		f.log.Info("target health", "target", f.table.Target(c.Target).Name, "state", c.State.String(), "share", c.Share, "cause", c.Cause.String())
	}
	for _, p := range f.pools {
		p.pool.Sweep(now)
	}
}

// severityOf says how sure a failed attempt is the target's fault.
func severityOf(err error) health.Severity {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return health.Hard
	}
	return health.Soft
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
