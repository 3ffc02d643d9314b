package main

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

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
	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/target"
)

// errEndOfAnswer is what the target's client returns at an answer's own end.
var errEndOfAnswer = io.EOF

// sweepPeriod is the time between looks at answers that nobody reads.
const sweepPeriod = time.Second

// Agent is the process beside one target: the only way to it.
type Agent struct {
	wireconnect.UnimplementedAgentServiceHandler

	cfg        Settings
	id         identity
	log        *slog.Logger
	tracer     trace.Tracer
	metrics    *metrics
	dialer     *peer.Dialer
	follower   *follow.Follower
	dispatcher *dispatcher
	register   *register
	answers    *answers
	entries    *entries
	members    *follow.Members
	engine     *target.Engine
	plain      *target.Plain
	step       stepTime
	store      *store.Client

	// group is the agent's part in its target's expert-parallel group, nil if
	// there is none; groupMu guards its changes.
	group        atomic.Pointer[expertGroup]
	groupMu      sync.Mutex
	groupStarts  uint64
	groupMetrics *groupMetrics
	orders       orderGuard

	// ctx ends with the process, not with a request.
	ctx      context.Context
	stop     context.CancelFunc
	draining atomic.Bool
	servers  []*http.Server
}

// metrics are the agent's counters, shown by expvar.
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
	tracer, stop, err := telemetry.NewTracer(context.Background(), telemetry.TraceConfig{
		Program: "agent", Instance: cfg.Name, Export: cfg.TraceExport, Ratio: float64(cfg.TracePerMil) / 1000,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(stop))
	return tracer, nil
}

func newDialer(cfg Settings) (*peer.Dialer, error) {
	tls, err := cfg.Peer.Client()
	if err != nil {
		return nil, err
	}
	return peer.NewDialer(peer.DialConfig{TLS: tls}), nil
}

func newStore(cfg Settings) *store.Client {
	return store.New(store.Config{Addresses: cfg.Store, Timeout: cfg.StoreTimeout})
}

// watchers is how many agents of a zone watch the store; the others hear of a
// change by heartbeat.
const watchers = 2

func newFollower(cfg Settings, s *store.Client, log *slog.Logger) *follow.Follower {
	var f *follow.Follower
	f = follow.New(follow.Config{
		Store: s, Refresh: cfg.StoreRefresh, Log: log, Self: cfg.Peers, Electorate: cfg.Seeds,
		Watch: func() bool { return watches(f.Index(), cfg) },
	})
	return f
}

// watches reports whether this agent is one of its zone's watchers. Before the
// first configuration there is no zone to go by, and every agent watches.
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
	return config.Watches(cfg.Name, zone, watchers)
}

func newIdentity(cfg Settings, s *store.Client, log *slog.Logger) identity {
	return identify(context.Background(), s, cfg.Name, log)
}

func newAgent(cfg Settings, id identity, log *slog.Logger, tracer trace.Tracer, d *peer.Dialer, s *store.Client, f *follow.Follower) *Agent {
	a := &Agent{
		cfg: cfg, id: id, log: log, tracer: tracer, metrics: newMetrics(), dialer: d, follower: f, store: s,
		groupMetrics: newGroupMetrics(),
		dispatcher:   newDispatcher(cfg),
		register:     newRegister(cfg, id, s, d, f, log),
		answers:      newAnswers(cfg),
		entries:      newEntries(),
		members:      follow.NewMembers(member.Self{Name: cfg.Name, Zone: cfg.Zone, Incarnation: id.incarnation, Agent: true}),
	}
	a.ctx, a.stop = context.WithCancel(context.Background())
	opt := target.Options{OrderToken: cfg.OrderToken}
	if cfg.Kind == kindService {
		a.plain = target.NewPlain(cfg.Target, opt)
	} else {
		a.engine = target.NewEngine(cfg.Target, opt)
	}
	f.OnChange(func(x *config.Index) { a.register.configure(a.ctx, x) })
	f.OnChange(a.entries.update)
	f.OnChange(a.regroup)
	f.OnChange(a.members.Update)
	f.OnChange(follow.ReleaseMemory)
	f.OnChange(func(x *config.Index) { log.Info("configuration in force", "revision", x.Revision()) })
	return a
}

// load is this agent's first-hand view of its target.
func (a *Agent) load() *wire.Load {
	l := a.dispatcher.load.Load()
	return &wire.Load{
		Incarnation: a.id.incarnation, Queued: uint64(max(l.Queued, 0)), Running: uint32(l.Running),
		Rate: l.Rate, Draining: a.draining.Load(), Revision: a.follower.Revision(), StepMs: a.step.ms(time.Now()),
	}
}

// start opens the listeners and starts the duties.
func (a *Agent) start(lc fx.Lifecycle, shutdown fx.Shutdowner) error {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return a.listen(shutdown) },
		OnStop:  a.drain,
	})
	go a.dispatcher.duty.Run(a.ctx)
	go a.register.duty.Run(a.ctx)
	go a.follower.Run(a.ctx)
	go a.sweep(shutdown)
	spread := &follow.Spread{
		Name: a.cfg.Name, Follower: a.follower, Dialer: a.dialer, Log: a.log,
		Members: a.members, Period: a.cfg.Heartbeat, Seeds: a.cfg.Seeds,
		Describe: func(m *wire.ExchangeRequest) { m.Kind, m.Zone, m.Incarnation = "agent", a.cfg.Zone, a.id.incarnation },
	}
	go spread.Run(a.ctx)
	return nil
}

// sweep forgets answers and registers that are no longer of use.
func (a *Agent) sweep(shutdown fx.Shutdowner) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			a.answers.sweep(now)
			a.entries.sweep(now, a.members.Visible())
			a.tellMembers(shutdown)
		case <-a.ctx.Done():
			return
		}
	}
}

// tellMembers says how long new work waits here, and stops this process if a
// later one has its name: it was paused and replaced, and must not go on
// deciding beside its successor.
func (a *Agent) tellMembers(shutdown fx.Shutdowner) {
	l := a.dispatcher.load.Load()
	if l.Rate > 0 {
		a.members.SetWait(time.Duration(float64(l.Queued) / l.Rate * float64(time.Second)))
	}
	if a.members.Superseded() && !a.draining.Load() {
		a.log.Error("a later process has this agent's name; stopping")
		_ = shutdown.Shutdown(fx.ExitCode(process.ExitFailure))
	}
}

func (a *Agent) listen(shutdown fx.Shutdowner) error {
	tls, err := a.cfg.Peer.Server()
	if err != nil {
		return err
	}
	path, h := wireconnect.NewAgentServiceHandler(a, connect.WithCompression("gzip", nil, nil))
	m := http.NewServeMux()
	m.Handle(path, h)
	m.Handle(wireconnect.AgentServiceSubmitProcedure, peer.HandleFrames(a.submit))
	m.Handle(wireconnect.AgentServiceAttachProcedure, peer.HandleFrames(a.readOn))
	if err := a.serve(a.cfg.Peers, peer.NewServer(m, tls), shutdown); err != nil {
		return err
	}
	observe := &http.Server{Handler: a.observeRoutes(), ReadHeaderTimeout: 10 * time.Second}
	if err := a.serve(a.cfg.Observe, observe, shutdown); err != nil {
		return err
	}
	a.log.Info("serving", "peers", a.cfg.Peers, "observe", a.cfg.Observe, "incarnation", a.id.incarnation, "first", a.id.first)
	return nil
}

func (a *Agent) serve(addr string, s *http.Server, shutdown fx.Shutdowner) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	s.ErrorLog = slog.NewLogLogger(a.log.Handler(), slog.LevelWarn)
	a.servers = append(a.servers, s)
	go func() {
		if err := peer.Serve(s, l); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("listener ended", "address", addr, "error", err)
			_ = shutdown.Shutdown(fx.ExitCode(process.ExitFailure))
		}
	}()
	return nil
}

// observeRoutes serves health, readiness, revisions and metrics to the
// platform.
func (a *Agent) observeRoutes() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/readyz", a.serveReady)
	m.HandleFunc("/revisions", a.serveRevisions)
	m.Handle("/debug/vars", expvar.Handler())
	return m
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case a.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case a.members.CutOff():
		http.Error(w, "cut off from all agents", http.StatusServiceUnavailable)
	case a.follower.Index() == nil:
		http.Error(w, a.follower.Reason(), http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (a *Agent) serveRevisions(w http.ResponseWriter, _ *http.Request) {
	history := []uint64{}
	for _, f := range a.follower.History() {
		history = append(history, f.Revision)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Revision uint64   `json:"revision"`
		History  []uint64 `json:"history"`
	}{a.follower.Revision(), history})
}

// drain ends the agent without cutting a request off: it refuses new work at
// once, lets what runs end, hands over what is left at the bound and leaves its
// register with a peer.
func (a *Agent) drain(context.Context) error {
	a.leave(a.ctx)
	if g := a.group.Load(); g != nil {
		g.resign(a.ctx)
	}
	a.log.Info("draining", "running", a.answers.running())
	a.endAnswers()
	if err := a.register.leave(a.ctx); err != nil {
		a.log.Warn("register not handed over", "error", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, s := range a.servers {
		_ = s.Shutdown(ctx)
	}
	a.stop()
	a.dialer.Close()
	a.log.Info("drained")
	return nil
}

// leave takes no new work from now on. What is queued and running goes on.
func (a *Agent) leave(ctx context.Context) {
	if a.draining.Swap(true) {
		return
	}
	a.log.Info("taking no new work")
	a.members.SetDraining()
	_ = a.register.do(ctx, func(time.Duration) { a.register.executor.Drain() })
}

// endAnswers waits for what runs, and ends what is left at the bound by a
// handover: the entries read on at this agent's next process, or elsewhere.
// Without it they would learn of the end by a broken connection only.
func (a *Agent) endAnswers() {
	if a.idle(a.cfg.Bound) {
		return
	}
	a.answers.each(func(ans *answer) {
		ans.log.End(draft.Ending{Outcome: outcome.Unknown, Reason: reasonDraining, Handover: true})
	})
}

// idle waits until nothing runs, for at most d.
func (a *Agent) idle(d time.Duration) bool {
	const poll = 20 * time.Millisecond
	for end := time.Now().Add(d); ; time.Sleep(poll) {
		if a.answers.running() == 0 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}
