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

// leave hands the register over to a peer for this agent's next process, and
// forwards the backups that this agent holds for others.
func (r *register) leave(ctx context.Context) error {
	var mine booking.Handover
	var stored []booking.Handover
	if err := r.do(ctx, func(now time.Duration) {
		mine = booking.Handover{Home: r.home.Export(now), Executor: r.executor.Export(now)}
		stored = r.backups.Drain()
	}); err != nil {
		return err
	}
	for _, h := range stored {
		if err := r.handOver(ctx, h); err != nil {
			r.log.Warn("backup of a register not handed over", "of", h.Home.Name, "error", err)
		}
	}
	return r.handOver(ctx, mine)
}

// handOver sends one register to the first of its backup holders that accepts it.
func (r *register) handOver(ctx context.Context, h booking.Handover) error {
	data, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode register")
	}
	lastErr := errors.New("no peer accepted the register")
	for _, t := range r.backupHolders(h.Home.Name) {
		call, cancel := context.WithTimeout(ctx, sealTimeout)
		_, err = r.dialer.Agent(t.Agent).Handover(call, connect.NewRequest(&wire.HandoverRequest{
			From: h.Home.Name, Incarnation: h.Home.Incarnation, Register: data,
		}))
		cancel()
		if err == nil {
			r.log.Info("register handed over", "of", h.Home.Name, "to", t.Name, "home-keys", len(h.Home.Keys), "run-keys", len(h.Executor.Keys))
			return nil
		}
		lastErr = errors.Wrapf(err, "backup holder %s", t.Name)
	}
	return lastErr
}

// storeBackup stores a backup of another agent's register.
func (r *register) storeBackup(ctx context.Context, m *wire.HandoverRequest) error {
	var h booking.Handover
	if err := json.Unmarshal(m.Register, &h); err != nil {
		return errors.Wrap(err, "decode register")
	}
	stored := false
	if err := r.do(ctx, func(now time.Duration) { stored = r.backups.Put(h, now) }); err != nil {
		return err
	}
	if !stored {
		return errors.New("no place for another register")
	}
	return nil
}

// takeBackup returns a stored register to the next process of its name, and
// removes it here.
func (r *register) takeBackup(ctx context.Context, m *wire.RecallRequest) (*wire.RecallResponse, error) {
	var h booking.Handover
	found := false
	if err := r.do(ctx, func(now time.Duration) { h, found = r.backups.Take(m.Of, m.Incarnation, now) }); err != nil {
		return nil, err
	}
	if !found {
		return &wire.RecallResponse{}, nil
	}
	data, err := json.Marshal(h)
	return &wire.RecallResponse{Found: true, Incarnation: h.Home.Incarnation, Register: data}, err
}

// observe records the incarnation of a running agent, which makes backups of its
// older registers useless.
func (r *register) observe(ctx context.Context, name string, incarnation uint64) {
	_ = r.loop.Post(ctx, func() { r.backups.Observe(name, incarnation) })
}

// recall fetches this agent's register from the peer that has the newest one.
func (r *register) recall(ctx context.Context) (booking.Handover, bool) {
	var best *wire.RecallResponse
	for _, t := range r.backupHolders(r.home.Name) {
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
	r.log.Info("register restored from a peer", "home-keys", len(h.Home.Keys), "run-keys", len(h.Executor.Keys))
	return h, true
}

// backupHolders returns the agents that may hold a name's register, in the order
// in which they are called: a rendezvous order, which a restart does not change.
func (r *register) backupHolders(name string) []config.Target {
	x := r.follower.Index()
	if x == nil {
		return nil
	}
	var holders []config.Target
	var skip []string
	names := config.TargetNames(x.Config())
	for len(holders) < maxBackupHolders {
		next := booking.BackupHolderOf(name, names, skip)
		t, ok := x.Target(next)
		if !ok {
			return holders
		}
		skip = append(skip, next)
		if next != r.home.Name {
			holders = append(holders, *t)
		}
	}
	return holders
}
