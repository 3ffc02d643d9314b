package steering

import (
	"context"
	"sync/atomic"
	"time"

	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// callStore makes one lease call to the store and passes the answer to the lease
// holder.
func (g *Participant) callStore(c lease.Call) {
	a := g.store.Call(g.ctx, c)
	a.ID = c.ID
	_ = g.loop.Post(g.ctx, func() { g.holder.Answer(g.now(), a) })
}

// perform carries out the actions of the group protocol.
func (g *Participant) perform(acts []group.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case group.Send:
			g.send(a)
		case group.Apply:
			g.enqueueOp(rankOp{id: a.ID, order: a.Order, started: time.Now()})
		case group.Read:
			g.enqueueOp(rankOp{id: a.ID, started: time.Now()})
		case group.Done:
			g.recordDone(a)
		}
	}
}

// send sends a message. The protocol tolerates lost messages, so a message is
// dropped instead of waiting when too many are in flight.
func (g *Participant) send(s group.Send) {
	if s.To == g.self {
		g.local = append(g.local, s.Message)
		return
	}
	select {
	case g.sends <- struct{}{}:
	default:
		g.metrics.counts.Add("messages-dropped", 1)
		return
	}
	go func() {
		defer func() { <-g.sends }()
		ctx, cancel := context.WithTimeout(g.ctx, sendTimeout)
		defer cancel()
		_ = g.peers.Send(ctx, s.To, s.Message)
	}()
}

// recordDone counts and logs the end of a map switch or a group formation.
func (g *Participant) recordDone(d group.Done) {
	name := "aborts"
	switch {
	case d.Formed:
		name = "formed"
	case d.Commit:
		name = "switches"
	}
	g.metrics.counts.Add(name, 1)
	g.log.Info("group", "event", name, "fence", d.Number.Fence, "sequence", d.Number.Sequence, "took-ms", d.Took.Milliseconds())
}

// Resign releases the coordinator role, if this agent holds it, and asks the
// next candidate to take it over.
func (g *Participant) Resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	var held atomic.Bool
	_ = g.loop.Do(ctx, func() {
		g.leaving = true
		held.Store(g.holder.Fence() != 0)
		if held.Load() {
			g.perform(g.role.Resign(g.successor()))
		}
	})
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for held.Load() && ctx.Err() == nil {
		<-tick.C
		_ = g.loop.Do(ctx, func() { held.Store(g.holder.Fence() != 0) })
	}
}

// successor returns the agent that should hold the coordinator role after this
// one leaves.
func (g *Participant) successor() string {
	s := g.shape.Load()
	for _, name := range lease.Candidates("duties/group/"+s.name, s.candidates) {
		if name != g.self {
			return name
		}
	}
	return g.self
}
