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
	// loadPause is the time between two looks at the rate of the weight store.
	loadPause = 20 * time.Millisecond
	// fetchTimeout bounds one read of weights.
	fetchTimeout = time.Minute
	// fetchPause is the pause after a read that failed, and loadTime the longest
	// that a plan may take: by then its loads are of the past.
	fetchPause = time.Second
	loadTime   = 5 * time.Minute
	// switchTime bounds a switch, with all its tries.
	switchTime = 30 * time.Second
	switchPoll = 50 * time.Millisecond
)

// fetched is the end of a read.
type fetched struct {
	fetch loading.Fetch
	read  int64
}

// carryOut loads what the moves need, the most useful replica first and within
// the ranks' memory, and switches the group to the new map wave by wave. It
// gives up when the lease has passed on, ranks are lost or come back, a switch
// fails, a rank has no room, or it takes too long.
func (g *Participant) carryOut(ctx context.Context, from standing, left part, maps rank.Placement, moves []expert.Move) {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	p, shape := &g.planning, g.shape.Load()
	plan := loading.Plan{Group: shape.name, Version: uint64(maps.Version()), Tasks: loading.Tasks(&shape.expert, moves)}
	for range shape.members {
		plan.Room = append(plan.Room, int64(g.cfg.SpareSlots)*shape.expert.ExpertBytes)
	}
	maps = left.vacate(maps)
	for _, m := range maps {
		plan.Replicas = append(plan.Replicas, m.Replicas(shape.expert.Experts))
	}
	if err := p.queue.Begin(time.Now(), plan); err != nil {
		g.log.Warn("plan not loaded", "error", err)
		return
	}
	done := make(chan fetched, len(moves)+1)
	tick := time.NewTicker(loadPause)
	defer tick.Stop()
	for p.queue.Loading(shape.name) {
		todo := p.queue.Next(time.Now())
		for _, f := range todo.Fetches {
			go g.fetch(ctx, shape, f, done)
		}
		for _, err := range todo.Failed {
			g.log.Warn("plan given up", "error", err)
		}
		if next, ok := nextMaps(&shape.expert, maps, todo); ok {
			committed := g.switchTo(ctx, from, next)
			p.queue.Settled(shape.name, committed)
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
		if s, ok := g.standing(ctx); !ok || !s.follows(from) {
			p.fence = 0
			return
		}
	}
}

// follows reports whether the group has still the steward and the ranks that it
// had when a plan was made.
func (s standing) follows(from standing) bool {
	return s.fence == from.fence && s.view.Epoch == from.view.Epoch
}

// fetch has a rank read a part of an expert's weights.
func (g *Participant) fetch(ctx context.Context, shape *Shape, f loading.Fetch, done chan<- fetched) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	n, err := g.peers.Fetch(ctx, shape.members[f.Rank], rank.WeightsRequest{
		Layer: f.Layer, Expert: f.Expert, Offset: f.Offset, Length: f.Length,
	})
	if err != nil {
		g.metrics.counts.Add("fetch-errors", 1)
		n = 0
		time.Sleep(fetchPause)
	}
	g.metrics.counts.Add("fetched-bytes", n)
	select {
	case done <- fetched{f, n}:
	case <-ctx.Done():
	}
}

// nextMaps returns the maps that the queue asks to switch to, if it does.
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

// switchTo has the steward switch the group to a map and waits for the end. It
// reports whether the map is in force everywhere.
func (g *Participant) switchTo(ctx context.Context, from standing, maps rank.Placement) bool {
	ctx, cancel := context.WithTimeout(ctx, switchTime)
	defer cancel()
	v := g.contents.keep(maps)
	g.setWant(ctx, from.fence, v)
	tick := time.NewTicker(switchPoll)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			// A switch under way still ends one way for all; it is not begun again.
			g.setWant(g.ctx, from.fence, 0)
			return false
		}
		s, ok := g.standing(ctx)
		if !ok || !s.follows(from) {
			g.setWant(g.ctx, from.fence, 0)
			return false
		}
		if s.version == v {
			g.setWant(ctx, from.fence, 0)
			return true
		}
	}
}

func (g *Participant) setWant(ctx context.Context, fence uint64, v group.Version) {
	_ = g.duty.Do(ctx, func() { g.want, g.wantFence = v, fence })
}
