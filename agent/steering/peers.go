package steering

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

// ErrNotMember is returned for an agent that is not in the group.
var ErrNotMember = errors.New("not a member of the group")

// Peers calls the other agents of a group.
type Peers struct {
	// Self is this agent's name.
	Self   string
	Dialer *peer.Dialer
	// Shape returns the current configuration of the group.
	Shape func() *Shape
}

func (p *Peers) address(name string) (string, error) {
	a, ok := p.Shape().addresses[name]
	if !ok {
		return "", ErrNotMember
	}
	return a, nil
}

// Send implements peerClient.
func (p *Peers) Send(ctx context.Context, to string, m group.Message) error {
	addr, err := p.address(to)
	if err != nil {
		return err
	}
	kind, data, err := group.Encode(m)
	if err != nil {
		return err
	}
	_, err = p.Dialer.Agent(addr).Group(ctx, connect.NewRequest(&wire.GroupRequest{
		Group: p.Shape().name, From: p.Self, Kind: kind, Data: data,
	}))
	return err
}

// Map implements peerClient.
func (p *Peers) Map(ctx context.Context, to string, v group.Version) (rank.Placement, error) {
	addr, err := p.address(to)
	if err != nil {
		return nil, err
	}
	resp, err := p.Dialer.Agent(addr).GroupMap(ctx, connect.NewRequest(&wire.GroupMapRequest{Group: p.Shape().name, Version: uint64(v)}))
	if err != nil {
		return nil, err
	}
	if !resp.Msg.Found {
		return nil, errPlacementNotFound
	}
	var placement rank.Placement
	return placement, json.Unmarshal(resp.Msg.Placement, &placement)
}

// Loads implements peerClient.
func (p *Peers) Loads(ctx context.Context, to string) (rank.Loads, int, error) {
	var l rank.Loads
	addr, err := p.address(to)
	if err != nil {
		return l, 0, err
	}
	resp, err := p.Dialer.Agent(addr).GroupLoads(ctx, connect.NewRequest(&wire.GroupLoadsRequest{Group: p.Shape().name}))
	if err != nil {
		return l, 0, err
	}
	return l, int(resp.Msg.Protected), json.Unmarshal(resp.Msg.Loads, &l)
}

// Fetch implements peerClient.
func (p *Peers) Fetch(ctx context.Context, to string, w rank.WeightsRequest) (int64, error) {
	addr, err := p.address(to)
	if err != nil {
		return 0, err
	}
	resp, err := p.Dialer.Agent(addr).GroupFetch(ctx, connect.NewRequest(&wire.GroupFetchRequest{
		Group: p.Shape().name, Layer: uint32(w.Layer), Expert: uint32(w.Expert),
		Offset: uint64(w.Offset), Length: uint64(w.Length),
	}))
	if err != nil {
		return 0, err
	}
	return int64(resp.Msg.Read), nil
}
