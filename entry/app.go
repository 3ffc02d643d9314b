package main

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/operator"
	"verbenashift/core/configuration/store"
	"verbenashift/core/membership/member"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/plumbing/process"
	"verbenashift/core/plumbing/telemetry"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/route"
)

// Entry is one entry instance: callers and operators talk to it.
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
	returns  *returns
	open     *openCount
	flows    flowSet
	fleet    *fleet
	members  *follow.Members

	// leaving tells the balancer, draining refuses new work.
	leaving  atomic.Bool
	draining atomic.Bool
	// incarnation tells the lives of this entry's name apart.
	incarnation uint64
	// homeSet names the homes of keys, agentSet all agents.
	homeSet  atomic.Pointer[[]string]
	agentSet atomic.Pointer[[]string]
	stop     context.CancelFunc
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// mu guards servers, which grows while the entry runs.
	mu      sync.Mutex
	servers []*http.Server
}

func newLogger(cfg Settings) *slog.Logger {
	return telemetry.NewLogger(os.Stderr, "entry", cfg.Name)
}

func newTracer(lc fx.Lifecycle, cfg Settings) (trace.Tracer, error) {
	tracer, stop, err := telemetry.NewTracer(context.Background(), telemetry.TraceConfig{
		Program: "entry", Instance: cfg.Name, Export: cfg.TraceExport, Ratio: float64(cfg.TracePerMil) / 1000,
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

// newFollower returns a follower that watches the store only until the first
// configuration; from then on entries hear of a change by heartbeat.
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
		returns:     newReturns(),
		limiter:     newLimiter(cfg.Name),
		open:        newOpenCount(cfg.Streams, cfg.RetryAfter),
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
	// The last, so that all others have taken the first configuration before a
	// caller is let in.
	f.OnChange(func(*config.Index) { first.Do(func() { close(e.configured) }) })
	return e
}

// setHomes keeps the names over which the homes of keys are hashed.
func (e *Entry) setHomes(x *config.Index) {
	cfg := x.Config()
	homes, agents := config.HomeNames(cfg), config.TargetNames(cfg)
	e.homeSet.Store(&homes)
	e.agentSet.Store(&agents)
}

// ready reports whether this entry may serve: it has a configuration.
func (e *Entry) ready() bool {
	return e.follower.Index() != nil
}

// start opens the listeners of operators and of the platform and starts the
// duties. One of them opens the callers' listener.
func (e *Entry) start(lc fx.Lifecycle, shutdown fx.Shutdowner) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return e.listen(shutdown) },
		OnStop:  e.drain,
	})
	go e.listenCallers(ctx, shutdown)
	go e.follower.Run(ctx)
	go e.spread().Run(ctx)
	go e.router.judge(ctx)
	go e.limiter.report(ctx, e.exchangeQuota)
	go e.followInstances(ctx)
	go e.followMembers(ctx)
	go e.countEntries(ctx)
	return nil
}

// spread exchanges heartbeats and configurations with the agents.
func (e *Entry) spread() *follow.Spread {
	return &follow.Spread{
		Name: e.cfg.Name, Follower: e.follower, Dialer: e.dialer, Log: e.log,
		Members: e.members, Period: e.cfg.Heartbeat, Seeds: e.cfg.Seeds,
		Describe: e.describe,
		Heard: func(name string, m *wire.ExchangeResponse) {
			e.fleet.heard(name, m)
			e.router.heard(name, m.Load)
		},
		Failed: e.router.unheard,
	}
}

// describe tells an agent of this entry.
func (e *Entry) describe(m *wire.ExchangeRequest) {
	m.From, m.Kind, m.Zone = e.cfg.Name, operator.KindEntry, e.cfg.Zone
	m.Revision, m.Draining, m.Incarnation = e.follower.Revision(), e.leaving.Load(), e.incarnation
}

func (e *Entry) listen(shutdown fx.Shutdowner) error {
	if err := e.serve(e.cfg.Operators, e.operatorRoutes(), true, shutdown); err != nil {
		return err
	}
	if err := e.serve(e.cfg.Observe, e.observeRoutes(), false, shutdown); err != nil {
		return err
	}
	e.log.Info("serving", "operators", e.cfg.Operators, "observe", e.cfg.Observe)
	return nil
}

// listenCallers lets callers in when the first configuration is in force. An
// entry that has just started can look no key up; if it took a caller, a
// request with a key would have to end as unknown, whereas a connection that is
// refused shows that nothing has run and that another entry is to be asked.
func (e *Entry) listenCallers(ctx context.Context, shutdown fx.Shutdowner) {
	select {
	case <-e.configured:
	case <-ctx.Done():
		return
	}
	if err := e.serve(e.cfg.Callers, e.callerRoutes(), true, shutdown); err != nil {
		e.log.Error("callers cannot be served", "error", err)
		_ = shutdown.Shutdown(fx.ExitCode(process.ExitFailure))
		return
	}
	e.log.Info("serving callers", "callers", e.cfg.Callers)
}

func (e *Entry) serve(addr string, h http.Handler, withTLS bool, shutdown fx.Shutdowner) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10,
		ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
	e.mu.Lock()
	e.servers = append(e.servers, srv)
	e.mu.Unlock()
	go func() {
		var err error
		if withTLS && e.cfg.CallerCert != "" {
			err = srv.ServeTLS(l, e.cfg.CallerCert, e.cfg.CallerKey)
		} else {
			err = srv.Serve(l)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener ended", "address", addr, "error", err)
			_ = shutdown.Shutdown(fx.ExitCode(process.ExitFailure))
		}
	}()
	return nil
}

func (e *Entry) callerRoutes() http.Handler {
	m := mux.NewRouter()
	m.UseEncodedPath()
	m.SkipClean(true)
	m.HandleFunc(caller.PathCompletions, e.serveCall).Methods(http.MethodPost)
	m.HandleFunc(caller.PathChat, e.serveCall).Methods(http.MethodPost)
	m.PathPrefix(caller.PathServices).HandlerFunc(e.serveCall)
	m.PathPrefix(caller.PathRequests).HandlerFunc(e.serveResume).Methods(http.MethodGet)
	m.NotFoundHandler = e.refuseAll(errNotFound)
	m.MethodNotAllowedHandler = e.refuseAll(errMethod)
	return m
}

// refuseAll answers every request with the same refusal.
func (e *Entry) refuseAll(err *outcome.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { e.refuse(w, err) })
}

// observeRoutes serves health, readiness, revisions and metrics to the
// platform.
func (e *Entry) observeRoutes() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/readyz", e.serveReady)
	m.HandleFunc("/revisions", e.serveRevisions)
	m.Handle("/debug/vars", expvar.Handler())
	return m
}

// serveReady is the balancer's check: it fails before the entry refuses work.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.leaving.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case e.members.CutOff():
		http.Error(w, "cut off from all agents", http.StatusServiceUnavailable)
	case !e.ready():
		http.Error(w, e.follower.Reason(), http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (e *Entry) serveRevisions(w http.ResponseWriter, _ *http.Request) {
	history := []uint64{}
	for _, f := range e.follower.History() {
		history = append(history, f.Revision)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Revision uint64   `json:"revision"`
		History  []uint64 `json:"history"`
	}{e.follower.Revision(), history})
}

// drain ends the entry without cutting a request off: the balancer is told
// first, new work is refused next, what runs may end, and what is left at the
// bound goes on at another entry.
func (e *Entry) drain(context.Context) error {
	e.leaving.Store(true)
	e.log.Info("draining", "open", e.open.len())
	time.Sleep(e.cfg.Notice)
	e.draining.Store(true)
	if !e.idle(e.cfg.Bound) {
		e.log.Info("handing over", "requests", e.flows.handOver())
		e.idle(callTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	e.mu.Lock()
	servers := slices.Clone(e.servers)
	e.mu.Unlock()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
	e.stop()
	e.dialer.Close()
	e.log.Info("drained", "open", e.open.len())
	return nil
}

// idle waits until nothing is in progress, for at most d.
func (e *Entry) idle(d time.Duration) bool {
	const poll = 20 * time.Millisecond
	for end := time.Now().Add(d); ; time.Sleep(poll) {
		if e.open.len() == 0 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}
