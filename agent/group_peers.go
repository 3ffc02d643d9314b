package main

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
)

var errNoMember = errors.New("not a member of the group")

// peerGroup reaches the other agents of a group.
type peerGroup struct {
	self   string
	dialer *peer.Dialer
	shape  func() *groupShape
}

func (p *peerGroup) address(name string) (string, error) {
	a, ok := p.shape().addresses[name]
	if !ok {
		return "", errNoMember
	}
	return a, nil
}

// Send implements groupPeers.
func (p *peerGroup) Send(ctx context.Context, to string, m group.Message) error {
	addr, err := p.address(to)
	if err != nil {
		return err
	}
	kind, data, err := group.Encode(m)
	if err != nil {
		return err
	}
	_, err = p.dialer.Agent(addr).Group(ctx, connect.NewRequest(&wire.GroupRequest{
		Group: p.shape().name, From: p.self, Kind: kind, Data: data,
	}))
	return err
}

// Map implements groupPeers.
func (p *peerGroup) Map(ctx context.Context, to string, v group.Version) (rank.Placement, error) {
	addr, err := p.address(to)
	if err != nil {
		return nil, err
	}
	resp, err := p.dialer.Agent(addr).GroupMap(ctx, connect.NewRequest(&wire.GroupMapRequest{Group: p.shape().name, Version: uint64(v)}))
	if err != nil {
		return nil, err
	}
	if !resp.Msg.Found {
		return nil, errNoContent
	}
	var content rank.Placement
	return content, json.Unmarshal(resp.Msg.Placement, &content)
}

// Loads implements groupPeers.
func (p *peerGroup) Loads(ctx context.Context, to string) (rank.Loads, int, error) {
	var l rank.Loads
	addr, err := p.address(to)
	if err != nil {
		return l, 0, err
	}
	resp, err := p.dialer.Agent(addr).GroupLoads(ctx, connect.NewRequest(&wire.GroupLoadsRequest{Group: p.shape().name}))
	if err != nil {
		return l, 0, err
	}
	return l, int(resp.Msg.Protected), json.Unmarshal(resp.Msg.Loads, &l)
}

// Fetch implements groupPeers.
func (p *peerGroup) Fetch(ctx context.Context, to string, w rank.Weights) (int64, error) {
	addr, err := p.address(to)
	if err != nil {
		return 0, err
	}
	resp, err := p.dialer.Agent(addr).GroupFetch(ctx, connect.NewRequest(&wire.GroupFetchRequest{
		Group: p.shape().name, Layer: uint32(w.Layer), Expert: uint32(w.Expert),
		Offset: uint64(w.Offset), Length: uint64(w.Length),
	}))
	if err != nil {
		return 0, err
	}
	return int64(resp.Msg.Read), nil
}

// groupOf returns this agent's part in a group.
func (a *Agent) groupOf(name string) (*expertGroup, error) {
	g := a.group.Load()
	if g == nil || g.shape.Load().name != name {
		return nil, connect.NewError(connect.CodeNotFound, errNoMember)
	}
	return g, nil
}

// Group takes a message of another agent of the group.
func (a *Agent) Group(ctx context.Context, req *connect.Request[wire.GroupRequest]) (*connect.Response[wire.GroupResponse], error) {
	g, err := a.groupOf(req.Msg.Group)
	if err != nil {
		return nil, err
	}
	m, err := group.Decode(req.Msg.Kind, req.Msg.Data)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := g.deliver(ctx, req.Msg.From, m); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.GroupResponse{}), nil
}

// GroupMap returns the content of a map that this agent or its rank has.
func (a *Agent) GroupMap(ctx context.Context, req *connect.Request[wire.GroupMapRequest]) (*connect.Response[wire.GroupMapResponse], error) {
	g, err := a.groupOf(req.Msg.Group)
	if err != nil {
		return nil, err
	}
	p, ok := g.ownContent(ctx, group.Version(req.Msg.Version))
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
	g, err := a.groupOf(req.Msg.Group)
	if err != nil {
		return nil, err
	}
	l, err := g.rank.Loads(ctx)
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
	g, err := a.groupOf(m.Group)
	if err != nil {
		return nil, err
	}
	n, err := g.rank.Fetch(ctx, rank.Weights{
		Layer: int(m.Layer), Expert: int32(m.Expert), Offset: int64(m.Offset), Length: int64(m.Length),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.GroupFetchResponse{Read: uint64(n)}), nil
}
