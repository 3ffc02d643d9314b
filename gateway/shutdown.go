package main

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"verbenashift/core/plumbing/pause"
)

const (
	// rotationDelay is how long the load balancer takes to stop sending new
	// connections: two checks, a second apart, plus a margin.
	rotationDelay = 2500 * time.Millisecond
	// answerMargin is how long before the end of a shutdown the requests in progress are answered.
	answerMargin = 250 * time.Millisecond
	// reasonShutdown is the reason of a refusal during a shutdown.
	reasonShutdown = "shutting down"
)

// errShutdown is the cause when a request is ended because the process ends.
var errShutdown = errors.New("gateway shuts down")

// shutdown is the state of a planned stop. Use newShutdown to make one.
type shutdown struct {
	// shuttingDown is set on SIGTERM: the readiness check fails from then on.
	shuttingDown atomic.Bool
	// refusing is set once the load balancer sends no new connections any more: requests that come
	// later are refused.
	refusing atomic.Bool
	// stopping ends when the requests in progress have to be answered.
	stopping context.Context
	endCalls context.CancelFunc
	// rotationDelay is how long new connections are accepted after SIGTERM.
	rotationDelay time.Duration
}

func newShutdown() *shutdown {
	s := &shutdown{rotationDelay: rotationDelay}
	s.stopping, s.endCalls = context.WithCancel(context.Background())
	return s
}

// stop shuts the server of callers down. The readiness check fails first, and callers are served until the
// load balancer has noticed. Later requests are refused. Answers in progress are completed, but those that
// take until shortly before the deadline of the context: their callers get the outcome that is known then.
func (s *shutdown) stop(ctx context.Context, server *http.Server) error {
	s.shuttingDown.Store(true)
	early, cancel := beforeEnd(ctx, answerMargin)
	defer cancel()
	pause.For(early, s.rotationDelay)
	s.refusing.Store(true)
	err := server.Shutdown(early)
	if early.Err() == nil {
		return err
	}
	s.endCalls()
	// Shutdown polls at growing intervals: a new call polls often again.
	return server.Shutdown(ctx)
}

// beforeEnd returns a context that ends earlier than another one, if that has a deadline.
func beforeEnd(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-margin))
	}
	return context.WithCancel(ctx)
}

// untilStopped returns a context that is canceled when the request has to be answered because of a
// shutdown, and a function that releases it.
func (s *shutdown) untilStopped(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(s.stopping, func() { cancel(errShutdown) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// refuseIfStopping refuses a request that comes during a shutdown, and reports whether it did. Nobody
// knows whether it could be completed in time.
func (c *call) refuseIfStopping() bool {
	if !c.refusing.Load() {
		return false
	}
	c.refuse(reasonShutdown, 0)
	return true
}

// endReason returns why the context of a request has ended, for the log.
func endReason(ctx context.Context) string {
	if context.Cause(ctx) == errShutdown {
		return reasonShutdown
	}
	return "deadline"
}
