package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/operator"
	"verbenashift/core/configuration/store"
	"verbenashift/core/membership/member"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/plumbing/process"
	"verbenashift/core/plumbing/telemetry"
	"verbenashift/core/request/route"
)

// Entry is one entry instance, the server that callers and operators connect to.
type Entry struct {
	cfg      Settings
	log      *slog.Logger
	tracer   trace.Tracer
	metrics  *metrics
	dialer   *peer.Dialer
	store    *store.Client
	follower *follow.Follower
	router   *router
	limiter  *limiter
	retries  *retries
	open     *openRequests
	// bodies bounds the memory for bodies of requests.
	bodies  *buffers.Pool
	flows   flowSet
	fleet   *fleet
	members *follow.Members

	// leaving makes the readiness check fail, so that the load balancer stops
	// sending callers; draining makes the entry refuse new work.
	leaving  atomic.Bool
	draining atomic.Bool
	// incarnation distinguishes successive processes with this entry's name.
	incarnation uint64
	// homeSet holds the names of the agents that keys are hashed over, agentSet
	// the names of all agents.
	homeSet  atomic.Pointer[[]string]
	agentSet atomic.Pointer[[]string]
	stop     context.CancelFunc
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// mu guards servers, to which listeners are added while the entry runs.
	mu      sync.Mutex
	servers []*http.Server
}

func newLogger(cfg Settings) *slog.Logger {
	return telemetry.NewLogger(os.Stderr, "entry", cfg.Name)
}

func newTracer(lc fx.Lifecycle, cfg Settings) (trace.Tracer, error) {
	return process.Tracer(lc, "entry", cfg.Name, cfg.TraceExport, cfg.TracePerMil)
}

func newDialer(cfg Settings) (*peer.Dialer, error) { return process.Dialer(cfg.Peer) }

func newStore(cfg Settings) *store.Client {
	return store.New(store.Config{Addresses: cfg.Store, Timeout: cfg.StoreTimeout})
}

// newFollower returns a follower that watches the store only until the first
// configuration; from then on entries learn of changes from heartbeats.
func newFollower(cfg Settings, s *store.Client, log *slog.Logger) *follow.Follower {
	var f *follow.Follower
	f = follow.New(follow.Config{
		Store: s, Refresh: cfg.StoreRefresh, Log: log, Electorate: cfg.Seeds,
		Watch: func() bool { return f.Index() == nil },
	})
	return f
}

func newEntry(cfg Settings, log *slog.Logger, tracer trace.Tracer, d *peer.Dialer, s *store.Client, f *follow.Follower) *Entry {
	var first sync.Once
	e := &Entry{
		cfg: cfg, log: log, tracer: tracer, metrics: processMetrics(), dialer: d, store: s, follower: f,
		router:      newRouter(route.Options{Entry: cfg.Name, Region: cfg.Region, Zone: cfg.Zone}, log),
		retries:     newRetries(),
		limiter:     newLimiter(cfg.Name),
		open:        newOpenRequests(cfg.Streams, cfg.RetryAfter),
		bodies:      newBodies(cfg),
		fleet:       newFleet(),
		incarnation: uint64(time.Now().UnixMilli()),
		configured:  make(chan struct{}),
	}
	e.members = follow.NewMembers(member.Self{Name: cfg.Name, Zone: cfg.Zone, Incarnation: e.incarnation})
	f.OnChange(e.router.update)
	f.OnChange(e.members.Update)
	f.OnChange(e.setHomes)
	f.OnChange(e.limiter.update)
	f.OnChange(follow.ReleaseMemory)
	f.OnChange(func(x *config.Index) { log.Info("configuration in force", "revision", x.Revision()) })
	// This callback is registered last, so that all others have processed the
	// first configuration before a caller is accepted.
	f.OnChange(func(*config.Index) { first.Do(func() { close(e.configured) }) })
	return e
}

// bodyWait is how long the body of a request waits for room.
const bodyWait = 500 * time.Millisecond

// newBodies returns the room for bodies, or nil if the settings do not bound them.
func newBodies(cfg Settings) *buffers.Pool {
	if cfg.Bodies == 0 {
		return nil
	}
	return buffers.NewPool(max(int64(cfg.Bodies), 4*int64(cfg.Body)), bodyWait)
}

// setHomes updates homeSet and agentSet from a configuration.
func (e *Entry) setHomes(x *config.Index) {
	cfg := x.Config()
	homes, agents := config.HomeNames(cfg), config.TargetNames(cfg)
	e.homeSet.Store(&homes)
	e.agentSet.Store(&agents)
}

// ready reports whether this entry has a configuration and so may serve.
func (e *Entry) ready() bool {
	return e.follower.Index() != nil
}

// start opens the listeners for operators and for the platform and starts the
// background tasks. One of them opens the listener for callers.
func (e *Entry) start(lc fx.Lifecycle, shutdown fx.Shutdowner) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return e.listen(shutdown) },
		OnStop:  e.drain,
	})
	go e.listenCallers(ctx, shutdown)
	go e.follower.Run(ctx)
	go e.gossip().Run(ctx)
	go e.router.monitorHealth(ctx)
	go e.limiter.report(ctx, e.exchangeQuota)
	go e.followInstances(ctx)
	go e.followMembers(ctx)
	go e.countEntries(ctx)
	return nil
}

// gossip returns the exchange of heartbeats and configurations with the agents.
func (e *Entry) gossip() *follow.Gossip {
	return &follow.Gossip{
		Name: e.cfg.Name, Follower: e.follower, Dialer: e.dialer, Log: e.log,
		Members: e.members, Period: e.cfg.Heartbeat, Seeds: e.cfg.Seeds,
		Describe: e.describe,
		OnResponse: func(name string, m *wire.ExchangeResponse) {
			e.fleet.record(name, m)
			e.router.record(name, m.Load)
		},
		OnFailure: e.router.recordFailure,
	}
}

// describe fills a heartbeat with the state of this entry.
func (e *Entry) describe(m *wire.ExchangeRequest) {
	m.From, m.Kind, m.Zone = e.cfg.Name, operator.KindEntry, e.cfg.Zone
	m.Revision, m.Draining, m.Incarnation = e.follower.Revision(), e.leaving.Load(), e.incarnation
}
