package main

import (
	"context"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/booking"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
	"verbenashift/core/request/route"
)

// graceAfterDeadline is how long past the caller's deadline an agent may take
// to say truthfully what became of the request.
const graceAfterDeadline = 100 * time.Millisecond

// flow carries one request through the entry: it takes the steps that its
// relay decides.
type flow struct {
	entry     *Entry
	req       caller.Request
	workspace *config.Workspace
	sink      sink
	log       progress

	id      string
	relay   *relay.Relay
	query   route.Query
	attempt uint32
	picked  choice
	// deadline is the caller's, zero for none.
	deadline time.Time
	inFlight bool
	// freed says that the last attempt broke with its target, so that the next
	// one draws on no budget.
	freed bool
	// firstFrame is when the attempt's first piece came.
	firstFrame time.Time

	booked
	// reading is the request whose answer is read: this one, or an earlier
	// attempt with the same key.
	reading   string
	readingAt *config.Target
	timer     atomic.Pointer[time.Timer]
}

// booked is what is known of a request that may not be repeated.
type booked struct {
	key       booking.Key
	callerKey bool
	digest    [sha256.Size]byte
	home      *config.Target
	grant     *wire.Grant
	// claimedAt is when the grant was asked for.
	claimedAt time.Time
}

// run takes steps until the request has its outcome.
func (f *flow) run(ctx context.Context) *outcome.Error {
	for a := f.relay.Start(); ; {
		if a.Kind == relay.Finish {
			return a.Err
		}
		if f.late(a) {
			return f.cutShort()
		}
		if err := f.pause(ctx, a.Wait); err != nil {
			return err
		}
		a = f.relay.Next(f.step(ctx, a))
		if ctx.Err() != nil && a.Kind != relay.Finish {
			return f.cutShort()
		}
	}
}

// late reports whether a step would begin new work for a caller whose deadline
// has passed.
func (f *flow) late(a relay.Action) bool {
	return a.Kind == relay.Pick && !f.deadline.IsZero() && time.Now().After(f.deadline)
}

// cutShort ends a request whose caller has gone or whose deadline is over.
// Nothing ran if no attempt has begun.
func (f *flow) cutShort() *outcome.Error {
	reason := relay.ReasonCallerGone
	if !f.deadline.IsZero() && time.Now().After(f.deadline) {
		reason = relay.ReasonOverDeadline
	}
	o := outcome.Unknown
	if f.attempt == 0 && !f.callerKey {
		o = outcome.NotRun
	}
	return &outcome.Error{Outcome: o, Reason: reason, RetryAfter: f.entry.cfg.RetryAfter}
}

// pause waits, and returns the end of a request that was cut short meanwhile.
func (f *flow) pause(ctx context.Context, d time.Duration) *outcome.Error {
	if d == 0 || pause.For(ctx, d) {
		return nil
	}
	return f.cutShort()
}

func (f *flow) step(ctx context.Context, a relay.Action) relay.Event {
	before := f.log.delivered
	ev := f.act(ctx, a)
	ev.Progress = f.log.delivered > before
	f.freed = f.lost(ev)
	return ev
}

// lost reports whether an attempt broke because its target died, or its agent
// did, with all that was in flight there.
func (f *flow) lost(ev relay.Event) bool {
	broke := ev.Kind == relay.Disconnected && !ev.NotSent
	died := ev.Kind == relay.Ended && ev.Outcome == outcome.Unknown && !ev.Handover
	if !broke && !died || f.req.MayNotRepeat || f.picked.target == nil {
		return false
	}
	return f.entry.returns.lost(f.picked.target.Name, f.picked.started)
}

func (f *flow) act(ctx context.Context, a relay.Action) relay.Event {
	switch a.Kind {
	case relay.Pick:
		return f.pick()
	case relay.Claim:
		return f.claim(ctx)
	case relay.Submit:
		return f.submit(ctx, a.Resume)
	case relay.Attach:
		return f.attach(ctx)
	case relay.Seal:
		return f.seal(ctx)
	default:
		return f.release(ctx)
	}
}

func (f *flow) pick() relay.Event {
	f.leave(result{})
	if f.attempt > 0 && !f.goesOn() && !f.freed && !f.entry.returns.retry(f.workspace.Name) {
		f.entry.metrics.count("retry-budget-spent")
		return relay.Event{Kind: relay.NoTarget}
	}
	c, ok := f.entry.router.pick(&f.query)
	if !ok {
		return relay.Event{Kind: relay.NoTarget, RetryAfter: f.entry.router.comeback()}
	}
	f.picked, f.inFlight = c, true
	f.readingAt = c.target
	return relay.Event{Kind: relay.Picked}
}

// goesOn reports whether the next attempt continues a stream where it broke.
// When a target or its agent dies, all its streams break at once, many more
// than the retry budget holds, and each would end as failed though it could be
// whole. To continue one adds no load beyond what was still to do, and the
// tries of one request are bounded, so that no storm can come of it.
func (f *flow) goesOn() bool {
	return f.req.Stream && !f.req.MayNotRepeat && f.log.delivered > 0
}

// leave closes the attempt at the picked target, if one is open.
func (f *flow) leave(res result) {
	if !f.inFlight {
		return
	}
	f.inFlight = false
	if !f.firstFrame.IsZero() {
		res.firstToken = f.firstFrame.Sub(f.picked.started)
	}
	f.firstFrame = time.Time{}
	f.entry.router.end(f.picked, res)
}
