package main

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"verbenashift/agent/steering"
	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/store"
	"verbenashift/core/membership/member"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/peer/wire/wireconnect"
	"verbenashift/core/plumbing/histogram"
	"verbenashift/core/plumbing/process"
	"verbenashift/core/plumbing/telemetry"
	"verbenashift/core/request/target"
)

// errEndOfAnswer is returned by the target's client at the regular end of an
// answer.
var errEndOfAnswer = io.EOF

// maintenanceInterval is the time between two scans for answers without readers
// and for expired records.
const maintenanceInterval = time.Second

// Agent is the process beside one target, and the only access path to it.
type Agent struct {
	wireconnect.UnimplementedAgentServiceHandler

	cfg           Settings
	id            identity
	log           *slog.Logger
	tracer        trace.Tracer
	metrics       *metrics
	dialer        *peer.Dialer
	follower      *follow.Follower
	dispatcher    *dispatcher
	register      *register
	answers       *answers
	entries       *entries
	members       *follow.Members
	engine        *target.Engine
	serviceTarget *target.Service
	step          stepTime
	store         *store.Client

	// group is the agent's participation in its target's expert-parallel group,
	// nil if the target is in none; groupMu guards its changes.
	group        atomic.Pointer[steering.Participant]
	groupMu      sync.Mutex
	groupStarts  uint64
	groupMetrics *steering.Metrics
	orders       orderGuard

	// ctx ends with the process, not with a request.
	ctx      context.Context
	stop     context.CancelFunc
	draining atomic.Bool
	servers  []*http.Server
}

// metrics are the agent's counters, published by expvar.
type metrics struct {
	ends       *expvar.Map
	claims     *expvar.Map
	guards     *expvar.Map
	reattached *expvar.Int
	wait       *histogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{
		ends:       expvar.NewMap("agent-ends"),
		claims:     expvar.NewMap("agent-claims"),
		guards:     expvar.NewMap("agent-guards"),
		reattached: expvar.NewInt("agent-reattached"),
		wait:       histogram.New("agent-wait-us"),
	}
}

func newLogger(cfg Settings) *slog.Logger {
	return telemetry.NewLogger(os.Stderr, "agent", cfg.Name)
}

func newTracer(lc fx.Lifecycle, cfg Settings) (trace.Tracer, error) {
	return process.Tracer(lc, "agent", cfg.Name, cfg.TraceExport, cfg.TracePerMil)
}

func newDialer(cfg Settings) (*peer.Dialer, error) { return process.Dialer(cfg.Peer) }

func newStore(cfg Settings) *store.Client {
	return store.New(store.Config{Addresses: cfg.Store, Timeout: cfg.StoreTimeout})
}

// watchersPerZone is how many agents of a zone watch the store; the others learn
// of a change by heartbeat.
const watchersPerZone = 2

func newFollower(cfg Settings, s *store.Client, log *slog.Logger) *follow.Follower {
	var f *follow.Follower
	f = follow.New(follow.Config{
		Store: s, Refresh: cfg.StoreRefresh, Log: log, Self: cfg.Peers, Electorate: cfg.Seeds,
		Watch: func() bool { return watches(f.Index(), cfg) },
	})
	return f
}

// watches reports whether this agent is one of its zone's watchers. Before the
// first configuration the agents of a zone are not known, and every agent
// watches.
func watches(x *config.Index, cfg Settings) bool {
	if x == nil {
		return true
	}
	var zone []string
	for _, t := range x.Config().Targets {
		if t.Zone == cfg.Zone {
			zone = append(zone, t.Name)
		}
	}
	return config.IsWatcher(cfg.Name, zone, watchersPerZone)
}

func newIdentity(cfg Settings, s *store.Client, log *slog.Logger) identity {
	return identify(context.Background(), s, cfg.Name, log)
}

func newAgent(cfg Settings, id identity, log *slog.Logger, tracer trace.Tracer, d *peer.Dialer, s *store.Client, f *follow.Follower) *Agent {
	a := &Agent{
		cfg: cfg, id: id, log: log, tracer: tracer, metrics: newMetrics(), dialer: d, follower: f, store: s,
		groupMetrics: steering.NewMetrics(),
		dispatcher:   newDispatcher(cfg),
		register:     newRegister(cfg, id, s, d, f, log),
		answers:      newAnswers(cfg),
		entries:      newEntries(),
		members:      follow.NewMembers(member.Self{Name: cfg.Name, Zone: cfg.Zone, Incarnation: id.incarnation, Agent: true}),
	}
	a.ctx, a.stop = context.WithCancel(context.Background())
	opt := target.Options{OrderToken: cfg.OrderToken}
	if cfg.Kind == kindService {
		a.serviceTarget = target.NewService(cfg.Target, opt)
	} else {
		a.engine = target.NewEngine(cfg.Target, opt)
	}
	f.OnChange(func(x *config.Index) { a.register.configure(a.ctx, x) })
	f.OnChange(a.entries.update)
	f.OnChange(a.updateGroup)
	f.OnChange(a.members.Update)
	f.OnChange(follow.ReleaseMemory)
	f.OnChange(func(x *config.Index) { log.Info("configuration in force", "revision", x.Revision()) })
	return a
}

// load returns this agent's own measurement of its target's load.
func (a *Agent) load() *wire.Load {
	l := a.dispatcher.load.Load()
	return &wire.Load{
		Incarnation: a.id.incarnation, Queued: uint64(max(l.Queued, 0)), Running: uint32(l.Running),
		Rate: l.Rate, Draining: a.draining.Load(), Revision: a.follower.Revision(), StepMs: a.step.ms(time.Now()),
	}
}

// start opens the listeners and starts the event loops and the background tasks.
func (a *Agent) start(lc fx.Lifecycle, shutdown fx.Shutdowner) error {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return a.listen(shutdown) },
		OnStop:  a.drain,
	})
	go a.dispatcher.loop.Run(a.ctx)
	go a.register.loop.Run(a.ctx)
	go a.follower.Run(a.ctx)
	go a.runMaintenance(shutdown)
	gossip := &follow.Gossip{
		Name: a.cfg.Name, Follower: a.follower, Dialer: a.dialer, Log: a.log,
		Members: a.members, Period: a.cfg.Heartbeat, Seeds: a.cfg.Seeds,
		Describe: func(m *wire.ExchangeRequest) { m.Kind, m.Zone, m.Incarnation = "agent", a.cfg.Zone, a.id.incarnation },
	}
	go gossip.Run(a.ctx)
	return nil
}

// runMaintenance periodically removes expired answers and entries, and updates
// this agent's membership state.
func (a *Agent) runMaintenance(shutdown fx.Shutdowner) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			a.answers.expire(now)
			a.entries.expire(now, a.members.VisibleFraction())
			a.updateMembership(shutdown)
		case <-a.ctx.Done():
			return
		}
	}
}

// updateMembership publishes how long new work waits here, and stops this process
// if a later process has its name: this one was paused and replaced, and must not
// make decisions beside its successor.
func (a *Agent) updateMembership(shutdown fx.Shutdowner) {
	l := a.dispatcher.load.Load()
	if l.Rate > 0 {
		a.members.SetWait(time.Duration(float64(l.Queued) / l.Rate * float64(time.Second)))
	}
	if a.members.Superseded() && !a.draining.Load() {
		a.log.Error("superseded by a later process with the same name; stopping")
		_ = shutdown.Shutdown(fx.ExitCode(process.ExitFailure))
	}
}
