package main

import (
	"context"
	"encoding/json"
	"fmt"

	"connectrpc.com/connect"

	"verbenashift/agent/steering"
	"verbenashift/core/configuration/config"
	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/peer/wire"
)

// updateGroup applies a configuration: it starts, updates or stops this agent's
// participation in a group.
func (a *Agent) updateGroup(x *config.Index) {
	a.groupMu.Lock()
	defer a.groupMu.Unlock()
	if a.engine == nil {
		return
	}
	s, g := steering.ShapeOf(x, a.cfg.Name, a.cfg.Group), a.group.Load()
	if s == nil {
		if t, ok := x.Target(a.cfg.Name); ok && t.Group != "" {
			a.log.Warn("group cannot be formed: its slots do not hold its experts", "group", t.Group)
		}
	}
	if g != nil && s != nil && g.Fits(s) {
		g.Reshape(s)
		return
	}
	if g != nil {
		g.Stop()
		a.group.Store(nil)
	}
	if s == nil {
		return
	}
	// Each participant has its own lease owner and incarnation: one that found the
	// lease or the reports of an earlier participant of this process would issue
	// the earlier one's numbers again.
	a.groupStarts++
	owner := fmt.Sprintf("%s/%d/%d", a.cfg.Name, a.id.incarnation, a.groupStarts)
	peers := &steering.Peers{Self: a.cfg.Name, Dialer: a.dialer}
	g = steering.New(a.ctx, steering.Deps{
		Self: a.cfg.Name, Incarnation: a.id.incarnation + a.groupStarts, Owner: owner, Settings: a.cfg.Group,
		Log: a.log, Metrics: a.groupMetrics, Peers: peers, Store: steering.NewLeaseStore(a.store),
		Rank: rank.NewClient(a.cfg.Target, rank.Options{OrderToken: a.cfg.OrderToken}),
	}, s)
	peers.Shape = g.Shape
	a.group.Store(g)
	go g.Run()
}

// participant returns this agent's participant in a group.
func (a *Agent) participant(name string) (*steering.Participant, error) {
	g := a.group.Load()
	if g == nil || g.Name() != name {
		return nil, connect.NewError(connect.CodeNotFound, steering.ErrNotMember)
	}
	return g, nil
}

// Group handles a message of another agent of the group.
func (a *Agent) Group(ctx context.Context, req *connect.Request[wire.GroupRequest]) (*connect.Response[wire.GroupResponse], error) {
	g, err := a.participant(req.Msg.Group)
	if err != nil {
		return nil, err
	}
	m, err := group.Decode(req.Msg.Kind, req.Msg.Data)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := g.Deliver(ctx, req.Msg.From, m); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.GroupResponse{}), nil
}

// GroupMap returns the content of a map that this agent or its rank has.
func (a *Agent) GroupMap(ctx context.Context, req *connect.Request[wire.GroupMapRequest]) (*connect.Response[wire.GroupMapResponse], error) {
	g, err := a.participant(req.Msg.Group)
	if err != nil {
		return nil, err
	}
	p, ok := g.Placement(ctx, group.Version(req.Msg.Version))
	if !ok {
		return connect.NewResponse(&wire.GroupMapResponse{}), nil
	}
	data, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.GroupMapResponse{Found: true, Placement: data}), nil
}

// GroupLoads returns the loads of this agent's rank.
func (a *Agent) GroupLoads(ctx context.Context, req *connect.Request[wire.GroupLoadsRequest]) (*connect.Response[wire.GroupLoadsResponse], error) {
	g, err := a.participant(req.Msg.Group)
	if err != nil {
		return nil, err
	}
	l, err := g.Loads(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	data, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.GroupLoadsResponse{Loads: data, Protected: uint32(a.answers.protected())}), nil
}

// GroupFetch has this agent's rank read a part of an expert's weights.
func (a *Agent) GroupFetch(ctx context.Context, req *connect.Request[wire.GroupFetchRequest]) (*connect.Response[wire.GroupFetchResponse], error) {
	m := req.Msg
	g, err := a.participant(m.Group)
	if err != nil {
		return nil, err
	}
	n, err := g.Fetch(ctx, rank.WeightsRequest{
		Layer: int(m.Layer), Expert: int32(m.Expert), Offset: int64(m.Offset), Length: int64(m.Length),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.GroupFetchResponse{Read: uint64(n)}), nil
}
