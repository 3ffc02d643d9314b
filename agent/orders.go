package main

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/agent/steering"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/target"
)

// The reasons of an order's refusal.
const (
	reasonNoEngine    = "no-engine"
	reasonOtherKind   = "kind-belongs-to-the-group"
	reasonOrderWaits  = "order-must-wait"
	reasonAnswerLost  = "answer-lost"
	reasonNotExecuted = "target-refused"
)

// orderLifetime bounds how long an order can wait at a target before it is applied
// or dropped.
const orderLifetime = callTimeout

// orderGuard forwards orders to the target one at a time, and refuses those that
// are older than the last.
type orderGuard struct {
	mu      sync.Mutex
	guard   *lease.Guard
	started time.Time
}

// Order forwards a fenced order to the target. The order is refused if a later one
// is known, and after a lost answer until the target's last order has been read.
func (a *Agent) Order(ctx context.Context, req *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	m := req.Msg
	if a.engine == nil {
		return connect.NewResponse(&wire.OrderResponse{Reason: reasonNoEngine}), nil
	}
	if m.Kind == rank.OrderKind {
		// Expert maps are changed only by the group protocol.
		return connect.NewResponse(&wire.OrderResponse{Reason: reasonOtherKind}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := target.Order{Fence: m.Fence, Sequence: m.Sequence, Kind: m.Kind, Argument: m.Argument}
	return connect.NewResponse(a.orders.forward(ctx, a, o)), nil
}

// forward sends an order if the guard allows it.
func (g *orderGuard) forward(ctx context.Context, a *Agent, o target.Order) *wire.OrderResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initGuard(a)
	g.readApplied(ctx, a.engine)
	var stale *lease.StaleError
	switch err := g.guard.Admit(lease.Number{Fence: o.Fence, Sequence: o.Sequence}); {
	case errors.As(err, &stale):
		a.groupMetrics.Add("fencing-refusals", 1)
		return &wire.OrderResponse{Fence: stale.Highest.Fence, Reason: steering.ReasonStaleFence}
	case err != nil:
		return &wire.OrderResponse{Fence: g.guard.Fence(), Reason: reasonOrderWaits}
	}
	return g.send(ctx, a.engine, o)
}

// initGuard creates the guard for the target's configured fencing support.
func (g *orderGuard) initGuard(a *Agent) {
	if g.guard != nil {
		return
	}
	fencing := lease.IgnoresFencing
	if x := a.follower.Index(); x != nil {
		if t, ok := x.Target(a.cfg.Name); ok && t.HonoursFencing {
			fencing = lease.HonoursFencing
		}
	}
	g.guard, g.started = lease.NewGuard(fencing, orderLifetime), time.Now()
}

// readApplied reads the order that the target applied last, if the guard can rely
// on a read now.
func (g *orderGuard) readApplied(ctx context.Context, e *target.Engine) {
	if g.guard.CanRead(time.Since(g.started)) != nil {
		return
	}
	last, err := e.LastOrder(ctx)
	if err != nil {
		return
	}
	g.guard.SetApplied(time.Since(g.started), lease.Number{Fence: last.Fence, Sequence: last.Sequence})
}

func (g *orderGuard) send(ctx context.Context, e *target.Engine, o target.Order) *wire.OrderResponse {
	err := e.Order(ctx, o)
	var refused *target.RefusedError
	var stale *target.StaleFenceError
	var unsent *target.NotSentError
	resp := &wire.OrderResponse{Fence: g.guard.Fence()}
	switch {
	case err == nil:
		g.guard.Done(lease.Applied)
		resp.Applied = true
	case errors.As(err, &stale):
		g.guard.Done(lease.Refused)
		resp.Fence, resp.Reason = stale.Fence, steering.ReasonStaleFence
	case errors.As(err, &refused), errors.As(err, &unsent):
		g.guard.Done(lease.Refused)
		resp.Reason = reasonNotExecuted
	default:
		g.guard.Done(lease.Lost)
		resp.Reason = reasonAnswerLost
	}
	return resp
}
