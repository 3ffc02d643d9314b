package steering

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
)

// rankTimeout bounds an operation at the rank; the member stops waiting for it
// after the same time.
const rankTimeout = 500 * time.Millisecond

// ReasonStaleFence is the reason for the refusal of an order whose fencing token
// or sequence number is out of date.
const ReasonStaleFence = "stale-fence"

// rankOp is an order to the rank, or a read of its state if the order has no
// kind.
type rankOp struct {
	id      uint64
	order   group.Order
	started time.Time
}

// enqueueOp passes an operation to the goroutine that calls the rank. A full
// channel drops it, as if the rank had not answered.
func (g *Participant) enqueueOp(op rankOp) {
	g.currentOp.Store(op.id)
	select {
	case g.ops <- op:
	default:
	}
}

// serveRank runs the operations at the rank, one after the other.
func (g *Participant) serveRank() {
	for {
		select {
		case op := <-g.ops:
			g.do(op)
		case <-g.ctx.Done():
			return
		}
	}
}

func (g *Participant) do(op rankOp) {
	ctx, cancel := context.WithDeadline(g.ctx, op.started.Add(rankTimeout))
	defer cancel()
	if op.order.Kind == 0 {
		g.read(ctx, op)
		return
	}
	g.apply(ctx, op)
}

// read reads the state of the rank. An engine that refuses the connection is
// reported as dead. One that is late may still be alive, and the member detects
// the missing answer by itself.
func (g *Participant) read(ctx context.Context, op rankOp) {
	s, err := g.rank.State(ctx)
	switch {
	case err == nil:
		g.metrics.stalled(s.Stalls)
		g.post(func() { g.perform(g.member.Observed(g.now(), op.id, s.RankState, true)) })
	case rank.ConnectionRefused(err):
		g.post(func() { g.perform(g.member.Observed(g.now(), op.id, group.RankState{}, false)) })
	}
}

// apply sends an order to the rank. An order for which the member has stopped
// waiting must not be sent: the member may have sent another, and the rank could
// apply the old one after the new one.
func (g *Participant) apply(ctx context.Context, op rankOp) {
	o := rank.Order{Order: op.order}
	if op.order.Kind == group.LoadMap || op.order.Kind == group.FormGroup {
		p, err := g.findPlacement(ctx, op.order.Version)
		if err != nil {
			g.log.Warn("content of a map not found", "version", uint64(op.order.Version), "error", err)
			return
		}
		o.Placement = p
	}
	if g.currentOp.Load() != op.id || ctx.Err() != nil {
		return
	}
	err := g.rank.Apply(ctx, o)
	var refused *group.RefusedError
	switch {
	case errors.As(err, &refused):
		if refused.Reason == ReasonStaleFence {
			g.metrics.counts.Add("fencing-refusals", 1)
		}
		g.post(func() { g.perform(g.member.Applied(g.now(), op.id, refused)) })
	case err == nil:
		g.post(func() { g.perform(g.member.Applied(g.now(), op.id, nil)) })
	}
}

func (g *Participant) post(fn func()) { _ = g.loop.Post(g.ctx, fn) }
