package steering

import (
	"context"
	"sync/atomic"
	"time"

	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// call makes one call on the store.
func (g *Participant) call(c lease.Call) {
	a := g.store.Call(g.ctx, c)
	a.ID = c.ID
	_ = g.duty.Post(g.ctx, func() { g.holder.Answer(g.now(), a) })
}

// act carries actions out.
func (g *Participant) act(acts []group.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case group.Send:
			g.send(a)
		case group.Apply:
			g.operate(rankOp{id: a.ID, order: a.Order, began: time.Now()})
		case group.Read:
			g.operate(rankOp{id: a.ID, began: time.Now()})
		case group.Done:
			g.done(a)
		}
	}
}

// send sends a message. Messages may be lost, so that none waits for room.
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

// done notes the end of a switch or a forming.
func (g *Participant) done(d group.Done) {
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

// Resign gives up the duty, if this agent holds it, and tells the next agent to
// take it over.
func (g *Participant) Resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTime)
	defer cancel()
	var held atomic.Bool
	_ = g.duty.Do(ctx, func() {
		g.leaving = true
		held.Store(g.holder.Fence() != 0)
		if held.Load() {
			g.act(g.steward.Resign(g.successor()))
		}
	})
	tick := time.NewTicker(groupTick)
	defer tick.Stop()
	for held.Load() && ctx.Err() == nil {
		<-tick.C
		_ = g.duty.Do(ctx, func() { held.Store(g.holder.Fence() != 0) })
	}
}

// successor is the agent that should hold the duty when this one leaves.
func (g *Participant) successor() string {
	s := g.shape.Load()
	for _, name := range lease.Candidates("duties/group/"+s.name, s.candidates) {
		if name != g.self {
			return name
		}
	}
	return g.self
}
