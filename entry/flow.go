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

// graceAfterDeadline is how long past the caller's deadline an agent may take to
// report the true outcome of the request.
const graceAfterDeadline = 100 * time.Millisecond

// flow processes one request in the entry. It performs the actions that its
// relay state machine decides on.
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
	// deadline is the caller's deadline, zero for none.
	deadline time.Time
	inFlight bool
	// budgetExempt reports that the last attempt broke because its target
	// crashed, so that the next one isn't charged to the retry budget.
	budgetExempt bool
	// firstFrame is when the attempt's first data frame was received.
	firstFrame time.Time

	keyState
	// answerID identifies the request whose answer is read from answerTarget:
	// this one, or an earlier attempt with the same key.
	answerID     string
	answerTarget *config.Target
	timer        atomic.Pointer[time.Timer]
}

// keyState is the state of the idempotency key of a request.
type keyState struct {
	key       booking.Key
	callerKey bool
	digest    [sha256.Size]byte
	home      *config.Target
	grant     *wire.Grant
	// claimedAt is when the grant was requested.
	claimedAt time.Time
}

// run performs actions until the request has its outcome.
func (f *flow) run(ctx context.Context) *outcome.Error {
	for a := f.relay.Start(); ; {
		if a.Kind == relay.Finish {
			return a.Err
		}
		if f.pastDeadline(a) {
			return f.abortError()
		}
		if err := f.pause(ctx, a.Wait); err != nil {
			return err
		}
		a = f.relay.Next(f.step(ctx, a))
		if ctx.Err() != nil && a.Kind != relay.Finish {
			return f.abortError()
		}
	}
}

// pastDeadline reports whether an action would start an attempt for a caller
// whose deadline has passed.
func (f *flow) pastDeadline(a relay.Action) bool {
	return a.Kind == relay.Pick && !f.deadline.IsZero() && time.Now().After(f.deadline)
}

// abortError returns the outcome of a request whose caller has disconnected or
// whose deadline has passed. Nothing ran if no attempt has begun.
func (f *flow) abortError() *outcome.Error {
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

// pause waits for d. It returns an error if the request is aborted meanwhile.
func (f *flow) pause(ctx context.Context, d time.Duration) *outcome.Error {
	if d == 0 || pause.For(ctx, d) {
		return nil
	}
	return f.abortError()
}

// step performs one action and reports the event to which it led.
func (f *flow) step(ctx context.Context, a relay.Action) relay.Event {
	before := f.log.delivered
	ev := f.act(ctx, a)
	ev.Progress = f.log.delivered > before
	f.budgetExempt = f.attemptBroke(ev)
	return ev
}

// attemptBroke reports whether an attempt broke because its target or the target's
// agent crashed, with all requests in flight there. The retry of such an attempt
// is exempt from the budget.
func (f *flow) attemptBroke(ev relay.Event) bool {
	broke := ev.Kind == relay.Disconnected && !ev.NotSent
	died := ev.Kind == relay.Ended && ev.Outcome == outcome.Unknown && !ev.Handover
	if !broke && !died || f.req.MayNotRepeat || f.picked.target == nil {
		return false
	}
	return f.entry.retries.attemptBroke(f.picked.target.Name, f.picked.started)
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

// pick chooses the target of the next attempt, if the retry budget allows one.
func (f *flow) pick() relay.Event {
	f.endAttempt(result{})
	if f.attempt > 0 && !f.continuesStream() && !f.budgetExempt && !f.entry.retries.retry(f.workspace.Name) {
		f.entry.metrics.count("retry-budget-spent")
		return relay.Event{Kind: relay.NoTarget}
	}
	c, ok := f.entry.router.pick(&f.query)
	if !ok {
		return relay.Event{Kind: relay.NoTarget, RetryAfter: f.entry.router.retryAfter()}
	}
	f.picked, f.inFlight = c, true
	f.answerTarget = c.target
	return relay.Event{Kind: relay.Picked}
}

// continuesStream reports whether the next attempt continues a stream where it
// broke. Such an attempt isn't charged to the retry budget: when a target or its
// agent crashes, all its streams break at once, many more than the budget
// allows, and each would fail although it could be completed. Continuing a
// stream adds only the work that remained, and the attempts of one request are
// limited, so that this can't cause a retry storm.
func (f *flow) continuesStream() bool {
	return f.req.Stream && !f.req.MayNotRepeat && f.log.delivered > 0
}

// endAttempt ends the attempt at the picked target, if one is in flight.
func (f *flow) endAttempt(res result) {
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
