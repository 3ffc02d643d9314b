package main

import (
	"context"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/quarantine"
)

// history is what is known of calls with the same content.
type history struct {
	// print is the fingerprint of the request, once somebody has asked for it; suspect
	// says that a target may have crashed under it.
	print   quarantine.Fingerprint
	suspect bool
	// trial says that the request was held back and is sent to find out whether it still
	// crashes targets; crashes is how many had crashed before.
	trial   bool
	crashes int
}

// fingerprint returns what the request has in common with others of the same content.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.print == (quarantine.Fingerprint{}) {
		content := quarantine.Content{
			Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI, Workspace: c.workspaceName(), Body: c.body,
		}
		c.print = content.Fingerprint()
	}
	return c.print
}

// refused refuses the request at once if it is held back and nobody may try it now, and
// reports whether it did. It has not waited for a place then, which others need.
func (c *call) refused() bool {
	if !c.isolator.holds() {
		return false
	}
	v := c.isolator.judge(c.fingerprint())
	if !v.Quarantined || v.Probe {
		return false
	}
	c.giveUp(c.refusal(v), quarantine.ReasonQuarantined)
	return true
}

// heldBack returns why the request may not be sent now, or nil. Without it a request that
// crashes each server that begins to run it took one server after the other, with all that
// ran beside it, for as long as it came again.
func (c *call) heldBack(ctx context.Context) *outcome.Error {
	if !c.isolator.holds() {
		return nil
	}
	v := c.isolator.judge(c.fingerprint())
	switch {
	case !v.Quarantined:
		return nil
	case c.trial && c.attempts.Errors == 0:
		return nil // This is the attempt that was let through.
	case v.Probe && !c.trial && c.isolator.try(ctx, c.fingerprint(), v):
		c.trial, c.crashes = true, c.isolator.crashes(c.fingerprint())
		return nil
	}
	return c.refusal(v)
}

// refusal says what is known of a request that is held back, and when it will be tried
// again.
func (c *call) refusal(v quarantine.Decision) *outcome.Error {
	c.suspect = true
	metricHeldCalls.Add(1)
	return &outcome.Error{Outcome: c.attempts.Outcome(), Reason: quarantine.ReasonQuarantined, RetryAfter: v.RetryAfter}
}

// endTrial follows up a trial that has brought no whole answer.
func (c *call) endTrial() {
	if c.trial && !c.served {
		go c.isolator.tried(c.fingerprint(), c.crashes)
	}
}
