package main

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"verbenashift/core/peer"
	"verbenashift/core/peer/wire/wireconnect"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/plumbing/intake"
	"verbenashift/core/plumbing/observe"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/plumbing/process"
	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
)

// peerHeads is the memory in bytes for heads of other processes.
const peerHeads = 4 << 20

func (a *Agent) listen(shutdown fx.Shutdowner) error {
	tls, err := a.cfg.Peer.Server()
	if err != nil {
		return err
	}
	path, h := wireconnect.NewAgentServiceHandler(a, connect.WithCompression("gzip", nil, nil))
	m := http.NewServeMux()
	m.Handle(path, h)
	m.Handle(wireconnect.AgentServiceSubmitProcedure, peer.HandleFrames(a.submit))
	m.Handle(wireconnect.AgentServiceAttachProcedure, peer.HandleFrames(a.handleAttach))
	// A process without a certificate sends no head in TLS.
	peers := intake.Limits{Name: "peers", Connections: a.cfg.Connections, HeadBytes: peer.MaxHead, HeadRoom: peerHeads, Unseen: tls != nil, Patience: intake.Patience}
	if err := a.serve(a.cfg.Peers, peer.NewServer(peer.BoundMessages(m, a.newMessages()), tls), peers, shutdown); err != nil {
		return err
	}
	observer := intake.MonitoringServer(observe.Routes(observe.Source{Unready: a.unready, Revisions: a.revisions}))
	if err := a.serve(a.cfg.Observe, observer, intake.Monitoring("observe"), shutdown); err != nil {
		return err
	}
	a.log.Info("serving", "peers", a.cfg.Peers, "observe", a.cfg.Observe, "incarnation", a.id.incarnation, "first", a.id.first)
	return nil
}

// messageWait is how long a message of another process waits for room.
const messageWait = 500 * time.Millisecond

// newMessages returns the room for messages of other processes.
func (a *Agent) newMessages() *buffers.Pool {
	return buffers.NewPool(int64(a.cfg.Messages), messageWait)
}

func (a *Agent) serve(addr string, s *http.Server, limits intake.Limits, shutdown fx.Shutdowner) error {
	l, err := intake.Listen(addr, limits, a.log)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	s.ErrorLog = slog.NewLogLogger(a.log.Handler(), slog.LevelWarn)
	a.servers = append(a.servers, s)
	go func() {
		if err := l.Serve(s); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("listener ended", "address", addr, "error", err)
			_ = shutdown.Shutdown(fx.ExitCode(process.ExitFailure))
		}
	}()
	return nil
}

// unready returns why the agent accepts no work, or "".
func (a *Agent) unready() string {
	switch {
	case a.draining.Load():
		return "draining"
	case a.members.Isolated():
		return "cut off from all agents"
	case a.follower.Index() == nil:
		return a.follower.Reason()
	}
	return ""
}

// revisions returns the configuration revisions that were in force here.
func (a *Agent) revisions() observe.Revisions {
	history := []uint64{}
	for _, f := range a.follower.History() {
		history = append(history, f.Revision)
	}
	return observe.Revisions{Revision: a.follower.Revision(), History: history}
}

// drain stops the agent without breaking a request off: it refuses new work at
// once, waits for the running requests, hands over those that are still running
// after DrainBound, and hands its register over to a peer.
func (a *Agent) drain(context.Context) error {
	a.startDraining(a.ctx)
	if g := a.group.Load(); g != nil {
		g.Resign(a.ctx)
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

// startDraining makes the agent refuse new work. Queued and running requests
// continue.
func (a *Agent) startDraining(ctx context.Context) {
	if a.draining.Swap(true) {
		return
	}
	a.log.Info("refusing new work")
	a.members.SetDraining()
	_ = a.register.do(ctx, func(time.Duration) { a.register.executor.Drain() })
}

// endAnswers waits for the running answers, and ends those that are left after
// DrainBound with a handover: the entries resume them at this agent's next process
// or at another agent. Without it they would notice the end only by a broken
// connection.
func (a *Agent) endAnswers() {
	if a.idle(a.cfg.DrainBound) {
		return
	}
	a.answers.forEachRunning(func(ans *answer) {
		ans.log.End(draft.Ending{Outcome: outcome.Unknown, Reason: reasonDraining, Handover: true})
	})
}

// idle waits until no answer is running, for at most d, and reports whether that
// is so.
func (a *Agent) idle(d time.Duration) bool {
	return pause.Until(d, func() bool { return a.answers.running() == 0 })
}
