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

// The reasons by which an order is refused without being sent.
const (
	reasonNoEngine    = "no-engine"
	reasonOtherKind   = "kind-belongs-to-the-group"
	reasonOrderWaits  = "order-must-wait"
	reasonAnswerLost  = "answer-lost"
	reasonNotExecuted = "target-refused"
)

// orderLifetime bounds how long an order can wait at a target before it is
// carried out or dropped.
const orderLifetime = callTimeout

// orderGuard lets the orders of others through to the target, one at a time and
// none that is older than the last.
type orderGuard struct {
	mu    sync.Mutex
	guard *lease.Guard
	began time.Time
}

// Order passes a fenced order on to the target. It is refused if a later one is
// known, and after a lost answer until the target has been read.
func (a *Agent) Order(ctx context.Context, req *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	m := req.Msg
	if a.engine == nil {
		return connect.NewResponse(&wire.OrderResponse{Reason: reasonNoEngine}), nil
	}
	if m.Kind == rank.OrderKind {
		// A map changes by the group's own protocol alone.
		return connect.NewResponse(&wire.OrderResponse{Reason: reasonOtherKind}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := target.Order{Fence: m.Fence, Sequence: m.Sequence, Kind: m.Kind, Argument: m.Argument}
	return connect.NewResponse(a.orders.pass(ctx, a, o)), nil
}

// pass sends an order if the guard allows it.
func (g *orderGuard) pass(ctx context.Context, a *Agent, o target.Order) *wire.OrderResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin(a)
	g.learn(ctx, a.engine)
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

// begin makes the guard for the target's habit, as configured.
func (g *orderGuard) begin(a *Agent) {
	if g.guard != nil {
		return
	}
	habit := lease.IgnoresFencing
	if x := a.follower.Index(); x != nil {
		if t, ok := x.Target(a.cfg.Name); ok && t.HonoursFencing {
			habit = lease.HonoursFencing
		}
	}
	g.guard, g.began = lease.NewGuard(habit, orderLifetime), time.Now()
}

// learn reads what the target has applied last, as far as a reading proves it.
func (g *orderGuard) learn(ctx context.Context, e *target.Engine) {
	if g.guard.CanRead(time.Since(g.began)) != nil {
		return
	}
	last, err := e.LastOrder(ctx)
	if err != nil {
		return
	}
	g.guard.SetApplied(time.Since(g.began), lease.Number{Fence: last.Fence, Sequence: last.Sequence})
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
