package main

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
)

// leave hands the register to a peer for this agent's next process, and passes
// on what this agent keeps for others.
func (r *register) leave(ctx context.Context) error {
	var mine booking.Handover
	var kept []booking.Handover
	if err := r.do(ctx, func(now time.Duration) {
		mine = booking.Handover{Home: r.home.Export(now), Executor: r.executor.Export(now)}
		kept = r.custody.Drain()
	}); err != nil {
		return err
	}
	for _, h := range kept {
		if err := r.handOver(ctx, h); err != nil {
			r.log.Warn("kept register lost", "of", h.Home.Name, "error", err)
		}
	}
	return r.handOver(ctx, mine)
}

// handOver gives one register to the first of its custodians that takes it.
func (r *register) handOver(ctx context.Context, h booking.Handover) error {
	data, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode register")
	}
	lost := errors.New("no peer took the register")
	for _, t := range r.custodians(h.Home.Name) {
		call, cancel := context.WithTimeout(ctx, sealTimeout)
		_, err = r.dialer.Agent(t.Agent).Handover(call, connect.NewRequest(&wire.HandoverRequest{
			From: h.Home.Name, Incarnation: h.Home.Incarnation, Register: data,
		}))
		cancel()
		if err == nil {
			r.log.Info("register handed over", "of", h.Home.Name, "to", t.Name, "home-keys", len(h.Home.Keys), "run-keys", len(h.Executor.Keys))
			return nil
		}
		lost = errors.Wrapf(err, "custodian %s", t.Name)
	}
	return lost
}

// keep takes the register of another agent into custody.
func (r *register) keep(ctx context.Context, m *wire.HandoverRequest) error {
	var h booking.Handover
	if err := json.Unmarshal(m.Register, &h); err != nil {
		return errors.Wrap(err, "decode register")
	}
	taken := false
	if err := r.do(ctx, func(now time.Duration) { taken = r.custody.Put(h, now) }); err != nil {
		return err
	}
	if !taken {
		return errors.New("no place for another register")
	}
	return nil
}

// give returns a register in custody to the next process of its name.
func (r *register) give(ctx context.Context, m *wire.RecallRequest) (*wire.RecallResponse, error) {
	var h booking.Handover
	found := false
	if err := r.do(ctx, func(now time.Duration) { h, found = r.custody.Take(m.Of, m.Incarnation, now) }); err != nil {
		return nil, err
	}
	if !found {
		return &wire.RecallResponse{}, nil
	}
	data, err := json.Marshal(h)
	return &wire.RecallResponse{Found: true, Incarnation: h.Home.Incarnation, Register: data}, err
}

// heard notes the incarnation of an agent that is at work, which makes an
// older register of it useless.
func (r *register) heard(ctx context.Context, name string, incarnation uint64) {
	_ = r.duty.Post(ctx, func() { r.custody.Observe(name, incarnation) })
}

// recall takes the register back from the peer that has the newest one.
func (r *register) recall(ctx context.Context) (booking.Handover, bool) {
	var best *wire.RecallResponse
	for _, t := range r.custodians(r.home.Name) {
		call, cancel := context.WithTimeout(ctx, sealTimeout)
		resp, err := r.dialer.Agent(t.Agent).Recall(call, connect.NewRequest(&wire.RecallRequest{
			Of: r.home.Name, Incarnation: r.home.Incarnation,
		}))
		cancel()
		if err == nil && resp.Msg.Found && (best == nil || resp.Msg.Incarnation > best.Incarnation) {
			best = resp.Msg
		}
	}
	var h booking.Handover
	if best == nil || json.Unmarshal(best.Register, &h) != nil {
		return h, false
	}
	r.log.Info("register taken back", "home-keys", len(h.Home.Keys), "run-keys", len(h.Executor.Keys))
	return h, true
}

// custodians are the agents that keep a name's register, in the order in which
// they are asked: a rendezvous order, which a restart does not change.
func (r *register) custodians(name string) []config.Target {
	x := r.follower.Index()
	if x == nil {
		return nil
	}
	var custodians []config.Target
	var skip []string
	names := config.TargetNames(x.Config())
	for len(custodians) < handoverPeers {
		next := booking.BackupHolderOf(name, names, skip)
		t, ok := x.Target(next)
		if !ok {
			return custodians
		}
		skip = append(skip, next)
		if next != r.home.Name {
			custodians = append(custodians, *t)
		}
	}
	return custodians
}
