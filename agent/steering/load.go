package steering

import (
	"context"
	"time"

	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
	loading "verbenashift/core/experts/load"
	"verbenashift/core/experts/rank"
)

const (
	// loadPollInterval is the time between two polls of the load queue, which
	// keeps to the rate of the weight store.
	loadPollInterval = 20 * time.Millisecond
	// fetchTimeout bounds one read of weights.
	fetchTimeout = time.Minute
	// fetchRetryDelay is the delay after a failed read. loadTimeout bounds the
	// execution of a plan: after that time its load measurements are outdated.
	fetchRetryDelay = time.Second
	loadTimeout     = 5 * time.Minute
	// switchTimeout bounds a switch, with all its attempts.
	switchTimeout      = 30 * time.Second
	switchPollInterval = 50 * time.Millisecond
)

// fetchResult is the number of bytes that a fetch has read.
type fetchResult struct {
	fetch loading.Fetch
	read  int64
}

// executePlan loads the weights that the moves need, the most useful replica
// first and within the ranks' memory, and switches the group to the new map in
// several steps. It abandons the plan when the lease has passed to another
// agent, ranks are lost or come back, a switch fails, a rank has no free memory,
// or loadTimeout has passed.
func (g *Participant) executePlan(ctx context.Context, from groupState, sub subgroup, maps rank.Placement, moves []expert.Move) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	p, shape := &g.planning, g.shape.Load()
	plan := loading.Plan{Group: shape.name, Version: uint64(maps.Version()), Tasks: loading.Tasks(&shape.expert, moves)}
	for range shape.members {
		plan.FreeMemory = append(plan.FreeMemory, int64(g.cfg.SpareSlots)*shape.expert.ExpertBytes)
	}
	maps = sub.clearLostSlots(maps)
	for _, m := range maps {
		plan.Replicas = append(plan.Replicas, m.Replicas(shape.expert.Experts))
	}
	if err := p.queue.Begin(time.Now(), plan); err != nil {
		g.log.Warn("plan not loaded", "error", err)
		return
	}
	done := make(chan fetchResult, len(moves)+1)
	tick := time.NewTicker(loadPollInterval)
	defer tick.Stop()
	for p.queue.Loading(shape.name) {
		todo := p.queue.Next(time.Now())
		for _, f := range todo.Fetches {
			go g.fetch(ctx, shape, f, done)
		}
		for _, err := range todo.Failed {
			g.log.Warn("plan abandoned", "error", err)
		}
		if next, ok := nextMaps(&shape.expert, maps, todo); ok {
			committed := g.switchTo(ctx, from, next)
			p.queue.SwitchEnded(shape.name, committed)
			maps = next
		}
		select {
		case f := <-done:
			p.queue.Progress(f.fetch, f.read)
		case <-tick.C:
		case <-ctx.Done():
			p.fence = 0 // the queue is dropped with the plan
			return
		}
		if s, ok := g.groupState(ctx); !ok || !s.sameMembership(from) {
			p.fence = 0
			return
		}
	}
}

// sameMembership reports whether the group still has the coordinator and the
// ranks that it had when a plan was made.
func (s groupState) sameMembership(from groupState) bool {
	return s.fence == from.fence && s.snapshot.Epoch == from.snapshot.Epoch
}

// fetch has a rank read a part of an expert's weights.
func (g *Participant) fetch(ctx context.Context, shape *Shape, f loading.Fetch, done chan<- fetchResult) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	n, err := g.peers.Fetch(ctx, shape.members[f.Rank], rank.WeightsRequest{
		Layer: f.Layer, Expert: f.Expert, Offset: f.Offset, Length: f.Length,
	})
	if err != nil {
		g.metrics.counts.Add("fetch-errors", 1)
		n = 0
		time.Sleep(fetchRetryDelay)
	}
	g.metrics.counts.Add("fetched-bytes", n)
	select {
	case done <- fetchResult{f, n}:
	case <-ctx.Done():
	}
}

// nextMaps returns the maps to switch to next; ok is false if the queue asks for
// no switch.
func nextMaps(shape *expert.Group, maps rank.Placement, todo loading.Actions) (rank.Placement, bool) {
	var moves []expert.Move
	for _, a := range todo.Arms {
		moves = append(moves, loading.Moves(a.Moves)...)
	}
	for _, r := range todo.Releases {
		for _, m := range loading.Moves(r.Drops) {
			m.Load = expert.Empty
			moves = append(moves, m)
		}
	}
	if len(moves) == 0 {
		return nil, false
	}
	var next rank.Placement
	for layer, m := range maps {
		next = append(next, m.Apply(shape, layer, moves))
	}
	return next, true
}

// switchTo has the coordinator switch the group to a map and waits until the
// switch ends. It reports whether the map is in force at all ranks.
func (g *Participant) switchTo(ctx context.Context, from groupState, maps rank.Placement) bool {
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	v := g.placements.add(maps)
	g.setDesired(ctx, from.fence, v)
	tick := time.NewTicker(switchPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			// A switch in progress still ends with the same outcome at all ranks;
			// it is not retried.
			g.setDesired(g.ctx, from.fence, 0)
			return false
		}
		s, ok := g.groupState(ctx)
		if !ok || !s.sameMembership(from) {
			g.setDesired(g.ctx, from.fence, 0)
			return false
		}
		if s.version == v {
			g.setDesired(ctx, from.fence, 0)
			return true
		}
	}
}

func (g *Participant) setDesired(ctx context.Context, fence uint64, v group.Version) {
	_ = g.loop.Do(ctx, func() { g.desired, g.desiredFence = v, fence })
}
