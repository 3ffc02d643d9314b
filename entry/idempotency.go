package main

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
)

// callTimeout bounds one short call to an agent.
const callTimeout = 2 * time.Second

// findHome sets the home of the caller's key. Without one the entry uses the
// fresh request id as the key: nobody else can hold it, so that no home needs to
// be queried.
func (f *flow) findHome(x *config.Index) {
	if f.req.IdempotencyKey == "" {
		return
	}
	f.callerKey = true
	f.key = booking.KeyOf(f.workspace.Name, f.req.IdempotencyKey)
	home, ok := x.Target(booking.HomeOf(f.key, *f.entry.homeSet.Load()))
	if !ok {
		return
	}
	f.home = home
	// Home and executor are different agents, so that one crash never loses
	// both records of a key.
	if slot, ok := f.entry.router.slot(home.Name); ok {
		f.query.Exclude.Add(slot)
	}
}

// claim requests a grant from the key's home to run the request at the picked
// target. Without a picked target the claim names no executor: the home then
// reports an earlier attempt, or refuses the claim and records nothing.
func (f *flow) claim(ctx context.Context) relay.Event {
	executor := ""
	if f.inFlight {
		executor = f.picked.target.Name
	}
	if f.inFlight && f.picked.incarnation == 0 {
		f.fetchIncarnation(ctx)
	}
	if !f.callerKey {
		f.grant = &wire.Grant{Key: f.key[:], Attempt: uint64(f.attempt) + 1}
		return relay.Event{Kind: relay.Granted}
	}
	if f.home == nil {
		return relay.Event{Kind: relay.ClaimFailed}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, span := f.entry.tracer.Start(ctx, "home.claim")
	defer span.End()
	sentAt := time.Now()
	resp, err := f.entry.dialer.Agent(f.home.Agent).Claim(ctx, connect.NewRequest(&wire.ClaimRequest{
		Key: f.key[:], Workspace: f.workspace.Name, BodyDigest: f.digest[:], RequestId: f.id,
		Executor: executor, ExecutorIncarnation: f.picked.incarnation,
		Revision: f.entry.follower.Revision(),
	}))
	if err != nil {
		return relay.Event{Kind: relay.ClaimFailed}
	}
	return f.claimResult(resp.Msg, sentAt)
}

// fetchIncarnation queries the picked agent for its incarnation. A grant is made
// for one incarnation, so that a restarted agent refuses it.
func (f *flow) fetchIncarnation(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := f.entry.dialer.Agent(f.picked.target.Agent).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		From: f.entry.cfg.Name, Revision: f.entry.follower.Revision(),
	}))
	if err != nil {
		return
	}
	f.picked.incarnation = resp.Msg.GetLoad().GetIncarnation()
	f.entry.router.record(f.picked.target.Name, resp.Msg.GetLoad())
}

// claimResult stores the grant of a claim and returns the event that the home's
// response stands for.
func (f *flow) claimResult(m *wire.ClaimResponse, sentAt time.Time) relay.Event {
	wait := time.Duration(m.RetryAfterMs) * time.Millisecond
	f.grant = m.Grant
	f.claimedAt = sentAt
	switch m.State {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
		return relay.Event{Kind: relay.Granted}
	case wire.ClaimState_CLAIM_STATE_HELD:
		return f.readEarlier(m)
	case wire.ClaimState_CLAIM_STATE_MISMATCH:
		return relay.Event{Kind: relay.Mismatch}
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return relay.Event{Kind: relay.Uncertain, RetryAfter: wait}
	case wire.ClaimState_CLAIM_STATE_BAD_EXECUTOR:
		if !f.inFlight {
			return relay.Event{Kind: relay.Free}
		}
		return relay.Event{Kind: relay.Ended, Outcome: outcome.NotRun, Reason: "executor-is-home"}
	case wire.ClaimState_CLAIM_STATE_FULL:
		return relay.Event{Kind: relay.Free, RetryAfter: wait}
	}
	return relay.Event{Kind: relay.ClaimFailed, RetryAfter: wait}
}

// grantExpired reports whether the grant is too old to be used. A process that
// was suspended after its claim must not submit a grant that its home no longer
// remembers.
func (f *flow) grantExpired() bool {
	return f.callerKey && time.Since(f.claimedAt) > booking.DefaultGrantLife
}

// readEarlier switches the flow to the answer of the earlier attempt that holds
// the key.
func (f *flow) readEarlier(m *wire.ClaimResponse) relay.Event {
	f.endAttempt(result{})
	t, ok := f.entry.follower.Index().Target(m.Executor)
	if !ok {
		return relay.Event{Kind: relay.Uncertain}
	}
	f.answerID = m.RequestId
	f.answerTarget = t
	// The answer is stored under the id of the attempt that produced it; the
	// caller needs that id to resume it.
	f.sink.setID(m.RequestId)
	f.picked.target = t
	f.picked.incarnation = m.ExecutorIncarnation
	return relay.Event{Kind: relay.Held}
}

// seal queries the executor for the fate of the attempt. If it never ran, the
// executor refuses it from now on, so that a delayed copy can do no harm.
func (f *flow) seal(ctx context.Context) relay.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := f.entry.dialer.Agent(f.answerTarget.Agent).Settle(ctx, connect.NewRequest(&wire.SettleRequest{
		Grant: f.grant, RequestId: f.answerID, Incarnation: f.picked.incarnation, BodyDigest: f.digest[:],
	}))
	if err != nil {
		return relay.Event{Kind: relay.Disconnected}
	}
	switch resp.Msg.State {
	case wire.SettleState_SETTLE_STATE_NEVER_RAN:
		return relay.Event{Kind: relay.Sealed}
	case wire.SettleState_SETTLE_STATE_HELD:
		return relay.Event{Kind: relay.Seen}
	case wire.SettleState_SETTLE_STATE_OTHER_BODY:
		return relay.Event{Kind: relay.Mismatch}
	default:
		return relay.Event{Kind: relay.RecordLost}
	}
}

// release frees the key at its home. The executor's reply proves that the attempt
// never ran. A lost call does no harm: the next attempt with the key resolves
// this one.
func (f *flow) release(ctx context.Context) relay.Event {
	if !f.callerKey || f.grant == nil {
		return relay.Event{Kind: relay.Released}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := f.entry.dialer.Agent(f.home.Agent).Release(ctx, connect.NewRequest(&wire.ReleaseRequest{
		Key: f.key[:], Attempt: f.grant.Attempt, Executor: f.picked.target.Name, Incarnation: f.picked.incarnation,
	}))
	if err != nil {
		f.entry.metrics.releasesLost.Add(1)
	}
	return relay.Event{Kind: relay.Released}
}
