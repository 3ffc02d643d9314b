package main

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/core/configuration/operator"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
)

// Cancel cancels a request whose caller has disconnected, unless it may not be
// repeated.
func (a *Agent) Cancel(_ context.Context, req *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelResponse], error) {
	ans, ok := a.answers.get(req.Msg.RequestId, req.Msg.Workspace)
	if ok && !ans.mayNotRepeat {
		ans.cancel()
	}
	return connect.NewResponse(&wire.CancelResponse{Known: ok}), nil
}

// Exchange answers a heartbeat.
func (a *Agent) Exchange(ctx context.Context, req *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	m := req.Msg
	if len(m.Config) > 0 && m.Revision > a.follower.Revision() {
		if _, err := a.follower.OfferEncoded(m.Config); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	now := time.Now()
	if m.Kind == operator.KindAgent {
		a.register.observe(ctx, m.From, m.Incarnation)
	}
	quota, err := a.entries.receive(m, now)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := a.members.Merge(m.Digest); err != nil {
		a.log.Info("membership digest of a peer not merged", "peer", m.From, "error", err)
	}
	resp := &wire.ExchangeResponse{Digest: a.members.Digest(m.From), From: a.cfg.Name, Load: a.load(), Revision: a.follower.Revision(), Quota: quota}
	resp.EntriesHeard = a.entries.count()
	if m.Leaving {
		a.startDraining(ctx)
	}
	if m.WantNodes {
		resp.Nodes = a.entries.nodes(now)
		if g := a.group.Load(); g != nil {
			resp.GroupStatus = g.Status()
		}
	}
	return connect.NewResponse(resp), nil
}

// FetchConfig returns the configuration in force if it is newer.
func (a *Agent) FetchConfig(_ context.Context, req *connect.Request[wire.FetchConfigRequest]) (*connect.Response[wire.FetchConfigResponse], error) {
	revision, data := a.follower.Encoded()
	if revision <= req.Msg.HaveRevision {
		data = nil
	}
	return connect.NewResponse(&wire.FetchConfigResponse{Revision: revision, Config: data}), nil
}

// Claim handles the claim of a key at its home.
func (a *Agent) Claim(ctx context.Context, req *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	ans, err := a.register.claim(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	a.metrics.claims.Add(ans.Kind.String(), 1)
	return connect.NewResponse(&wire.ClaimResponse{
		State: claimState(ans.Kind), Grant: toGrant(ans.Grant), RequestId: ans.RequestID, Executor: ans.Executor,
		ExecutorIncarnation: ans.ExecutorIncarnation, Reason: ans.Reason, RetryAfterMs: uint64(ans.RetryAfter.Milliseconds()),
	}), nil
}

func claimState(k booking.AnswerKind) wire.ClaimState {
	switch k {
	case booking.Granted:
		return wire.ClaimState_CLAIM_STATE_GRANTED
	case booking.Held:
		return wire.ClaimState_CLAIM_STATE_HELD
	case booking.Mismatch:
		return wire.ClaimState_CLAIM_STATE_MISMATCH
	case booking.Rebuilding:
		return wire.ClaimState_CLAIM_STATE_REBUILDING
	case booking.Moved:
		return wire.ClaimState_CLAIM_STATE_MOVED
	case booking.Full:
		return wire.ClaimState_CLAIM_STATE_FULL
	case booking.BadExecutor:
		return wire.ClaimState_CLAIM_STATE_BAD_EXECUTOR
	default:
		return wire.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

// Release releases a key whose attempt never ran.
func (a *Agent) Release(ctx context.Context, req *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	p := booking.Proof{Key: booking.Key(req.Msg.Key), Attempt: req.Msg.Attempt, Executor: req.Msg.Executor, Incarnation: req.Msg.Incarnation}
	ok := false
	err := a.register.do(ctx, func(now time.Duration) { ok = a.register.home.Release(p, now) })
	return connect.NewResponse(&wire.ReleaseResponse{Released: ok}), err
}

// Settle returns the state of an attempt, and seals it if it has not run.
func (a *Agent) Settle(ctx context.Context, req *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
	q := booking.Query{Grant: grantOf(req.Msg.Grant), Incarnation: req.Msg.Incarnation, Body: booking.Digest(req.Msg.BodyDigest)}
	var s booking.Resolution
	if err := a.register.wait(ctx); err != nil {
		return nil, err
	}
	if err := a.register.do(ctx, func(now time.Duration) { s = a.register.executor.Resolve(q, now) }); err != nil {
		return nil, err
	}
	resp := &wire.SettleResponse{RequestId: s.RequestID, Incarnation: a.id.incarnation, State: wire.SettleState_SETTLE_STATE_GONE}
	switch s.Kind {
	case booking.NeverRan:
		resp.State = wire.SettleState_SETTLE_STATE_NEVER_RAN
	case booking.Known:
		resp.State = wire.SettleState_SETTLE_STATE_HELD
	case booking.OtherBody:
		resp.State = wire.SettleState_SETTLE_STATE_OTHER_BODY
	}
	return connect.NewResponse(resp), nil
}

// Seal refuses a home's older grants from now on and lists the home's keys.
func (a *Agent) Seal(ctx context.Context, req *connect.Request[wire.SealRequest]) (*connect.Response[wire.SealResponse], error) {
	resp, err := a.register.seal(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Transfer returns a key's record to its new home.
func (a *Agent) Transfer(ctx context.Context, req *connect.Request[wire.TransferRequest]) (*connect.Response[wire.TransferResponse], error) {
	t := booking.Transfer{Key: booking.Key(req.Msg.Key), Revision: req.Msg.Revision}
	var ans booking.TransferAnswer
	if err := a.register.do(ctx, func(now time.Duration) { ans = a.register.home.Transfer(t, now) }); err != nil {
		return nil, err
	}
	record, err := json.Marshal(ans)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.TransferResponse{Record: record}), nil
}

// Handover stores a backup of the register of an agent that restarts.
func (a *Agent) Handover(ctx context.Context, req *connect.Request[wire.HandoverRequest]) (*connect.Response[wire.HandoverResponse], error) {
	if a.draining.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New(reasonDraining))
	}
	if err := a.register.storeBackup(ctx, req.Msg); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(&wire.HandoverResponse{}), nil
}

// Recall returns a stored backup of a register to its owner.
func (a *Agent) Recall(ctx context.Context, req *connect.Request[wire.RecallRequest]) (*connect.Response[wire.RecallResponse], error) {
	resp, err := a.register.takeBackup(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}
