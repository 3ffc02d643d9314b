package main

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"verbenashift/core/plumbing/intake"
	"verbenashift/core/plumbing/observe"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/plumbing/process"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
)

// maxOperators is the largest number of connections of operators.
const maxOperators = 256

// callerTLS returns the TLS configuration towards callers and operators, or nil for clear text.
func (e *Entry) callerTLS() (*tls.Config, error) {
	if e.cfg.CallerCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(e.cfg.CallerCert, e.cfg.CallerKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}}, nil
}

func (e *Entry) listen(shutdown fx.Shutdowner) error {
	secure, err := e.callerTLS()
	if err != nil {
		return err
	}
	operators := intake.Limits{Name: "operators", Connections: maxOperators, HeadRoom: int64(e.cfg.Heads), TLS: secure}
	if err := e.serve(e.cfg.Operators, newServer(e.operatorRoutes()), operators, shutdown); err != nil {
		return err
	}
	observer := intake.MonitoringServer(observe.Routes(observe.Source{Unready: e.unready, Revisions: e.revisions}))
	if err := e.serve(e.cfg.Observe, observer, intake.Monitoring("observe"), shutdown); err != nil {
		return err
	}
	e.log.Info("serving", "operators", e.cfg.Operators, "observe", e.cfg.Observe)
	return nil
}

// listenCallers opens the listener for callers once the first configuration is
// in force. Without a configuration an entry can't look up idempotency keys, and
// would have to answer a request with a key with the outcome unknown. A refused
// connection tells the caller that nothing has run and that it should try
// another entry.
func (e *Entry) listenCallers(ctx context.Context, shutdown fx.Shutdowner) {
	select {
	case <-e.configured:
	case <-ctx.Done():
		return
	}
	if err := e.serveCallers(shutdown); err != nil {
		e.log.Error("callers cannot be served", "error", err)
		_ = shutdown.Shutdown(fx.ExitCode(process.ExitFailure))
		return
	}
	e.log.Info("serving callers", "callers", e.cfg.Callers)
}

// serveCallers opens the listener for callers.
func (e *Entry) serveCallers(shutdown fx.Shutdowner) error {
	secure, err := e.callerTLS()
	if err != nil {
		return err
	}
	limits := intake.Limits{Connections: e.cfg.Connections, HeadRoom: int64(e.cfg.Heads), TLS: secure, Patience: intake.Patience}
	return e.serve(e.cfg.Callers, newServer(e.callerRoutes()), limits, shutdown)
}

// newServer returns a server for callers or operators.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
}

func (e *Entry) serve(addr string, srv *http.Server, limits intake.Limits, shutdown fx.Shutdowner) error {
	l, err := intake.Listen(addr, limits, e.log)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv.ErrorLog = slog.NewLogLogger(e.log.Handler(), slog.LevelWarn)
	e.mu.Lock()
	e.servers = append(e.servers, srv)
	e.mu.Unlock()
	go func() {
		if err := l.Serve(srv); !errors.Is(err, http.ErrServerClosed) {
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

// refuseAll returns a handler that refuses every request with err.
func (e *Entry) refuseAll(err *outcome.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { e.refuse(w, err) })
}

// unready returns why the load balancer should send no callers here, or "" if
// the entry is ready. On a drain it reports so before the entry refuses work.
func (e *Entry) unready() string {
	switch {
	case e.leaving.Load():
		return "draining"
	case e.members.Isolated():
		return "cut off from all agents"
	case !e.ready():
		return e.follower.Reason()
	}
	return ""
}

// revisions returns the revision in force here and the history of those that were.
func (e *Entry) revisions() observe.Revisions {
	history := []uint64{}
	for _, f := range e.follower.History() {
		history = append(history, f.Revision)
	}
	return observe.Revisions{Revision: e.follower.Revision(), History: history}
}

// drain shuts the entry down without interrupting a request: it first fails the
// balancer's check, then refuses new work and waits for the requests in
// progress. Those that remain at the timeout are handed over to another entry.
func (e *Entry) drain(context.Context) error {
	e.leaving.Store(true)
	e.log.Info("draining", "open", e.open.len())
	time.Sleep(e.cfg.DrainNotice)
	e.draining.Store(true)
	if !e.idle(e.cfg.DrainTimeout) {
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

// idle waits up to d for the requests in progress to end, and reports whether
// they did.
func (e *Entry) idle(d time.Duration) bool {
	return pause.Until(d, func() bool { return e.open.len() == 0 })
}
