package main

import (
	"context"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/quarantine"
)

// history is what is known of calls with the same content.
type quarantineState struct {
	// print is the fingerprint of the request, once somebody has asked for it; suspect
	// says that a target may have crashed under it.
	cachedPrint quarantine.Fingerprint
	suspect     bool
	// trial says that the request was held back and is sent to find out whether it still
	// crashes targets; crashes is how many had crashed before.
	probe   bool
	crashes int
}

// fingerprint returns what the request has in common with others of the same content.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.cachedPrint == (quarantine.Fingerprint{}) {
		content := quarantine.Content{
			Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI, Workspace: c.workspaceName(), Body: c.body,
		}
		c.cachedPrint = content.Fingerprint()
	}
	return c.cachedPrint
}

// refused refuses the request at once if it is held back and nobody may try it now, and
// reports whether it did. It has not waited for a place then, which others need.
func (c *call) refuseIfQuarantined() bool {
	if !c.isolator.hasQuarantined() {
		return false
	}
	v := c.isolator.decide(c.fingerprint())
	if !v.Quarantined || v.Probe {
		return false
	}
	c.fail(c.quarantineRefusal(v), quarantine.ReasonQuarantined)
	return true
}

// heldBack returns why the request may not be sent now, or nil. Without it a request that
// crashes each server that begins to run it took one server after the other, with all that
// ran beside it, for as long as it came again.
func (c *call) checkQuarantine(ctx context.Context) *outcome.Error {
	if !c.isolator.hasQuarantined() {
		return nil
	}
	v := c.isolator.decide(c.fingerprint())
	switch {
	case !v.Quarantined:
		return nil
	case c.probe && c.attempts.Errors == 0:
		return nil // This is the attempt that was let through.
	case v.Probe && !c.probe && c.isolator.claimProbe(ctx, c.fingerprint(), v):
		c.probe, c.crashes = true, c.isolator.crashes(c.fingerprint())
		return nil
	}
	return c.quarantineRefusal(v)
}

// refusal says what is known of a request that is held back, and when it will be tried
// again.
func (c *call) quarantineRefusal(v quarantine.Decision) *outcome.Error {
	c.suspect = true
	metricHeldCalls.Add(1)
	return &outcome.Error{Outcome: c.attempts.Outcome(), Reason: quarantine.ReasonQuarantined, RetryAfter: v.RetryAfter}
}

// endTrial follows up a trial that has brought no whole answer.
func (c *call) endProbe() {
	if c.probe && !c.served {
		go c.isolator.concludeProbe(c.fingerprint(), c.crashes)
	}
}
