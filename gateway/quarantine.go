package main

import (
	"context"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/quarantine"
)

// quarantineState is what is known about calls with the same content.
type quarantineState struct {
	// cachedFingerprint is the fingerprint of the request once it was computed, and cachedParts are
	// those of the parts of its prompt; suspect is set if a target may have crashed while running it.
	cachedFingerprint quarantine.Fingerprint
	cachedParts       []quarantine.Fingerprint
	suspect           bool
	// probe is set if the request is quarantined and is sent to find out whether it still
	// crashes targets; crashes is how many had crashed before. quarantinedFor is its content or
	// the part because of which it is quarantined.
	probe          bool
	crashes        int
	quarantinedFor quarantine.Fingerprint
}

// fingerprint returns the fingerprint that the request shares with others of the same content.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.cachedFingerprint == (quarantine.Fingerprint{}) {
		content := quarantine.Content{
			Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI, Workspace: c.workspaceName(), Body: c.body.Bytes(),
		}
		c.cachedFingerprint = content.Fingerprint()
	}
	return c.cachedFingerprint
}

// suspectRequest returns what may be the cause if a target crashes while running the request.
func (c *call) suspectRequest() quarantine.Request {
	if c.cachedParts == nil {
		for _, id := range c.req.Parts {
			c.cachedParts = append(c.cachedParts, quarantine.PartFingerprint(id))
		}
	}
	return quarantine.Request{Content: c.fingerprint(), Parts: c.cachedParts}
}

// refuseIfQuarantined refuses the request at once if it is quarantined and no probe is due, and
// reports whether it did. The request then does not occupy a place in the queue, which others
// need.
func (c *call) refuseIfQuarantined() bool {
	if !c.isolator.hasQuarantined() {
		return false
	}
	v, reason := c.isolator.decideRequest(c.suspectRequest())
	if !v.Quarantined || v.Probe {
		return false
	}
	c.fail(c.quarantineRefusal(v, reason), quarantine.ReasonQuarantined)
	return true
}

// checkQuarantine returns why the request may not be sent now, or nil. Without it, a request that
// crashes each server that begins to run it takes down one server after the other, with all
// requests that run there, for as long as the caller repeats it.
func (c *call) checkQuarantine(ctx context.Context) *outcome.Error {
	if !c.isolator.hasQuarantined() {
		return nil
	}
	v, reason := c.isolator.decideRequest(c.suspectRequest())
	switch {
	case !v.Quarantined:
		return nil
	case c.probe && c.attempts.Errors == 0 && reason == c.quarantinedFor:
		return nil // This is the probe.
	case v.Probe && !c.probe && c.isolator.claimProbe(ctx, reason, v):
		c.probe, c.quarantinedFor, c.crashes = true, reason, c.isolator.crashes(reason)
		return nil
	}
	return c.quarantineRefusal(v, reason)
}

// quarantineRefusal returns the refusal of a quarantined request, with its outcome so far and
// when the caller may retry.
func (c *call) quarantineRefusal(v quarantine.Decision, reason quarantine.Fingerprint) *outcome.Error {
	c.suspect, c.quarantinedFor = true, reason
	metricQuarantinedCalls.Add(1)
	return &outcome.Error{Outcome: c.attempts.Outcome(), Reason: quarantine.ReasonQuarantined, RetryAfter: v.RetryAfter}
}

// endProbe follows up a probe that has not received a complete answer.
func (c *call) endProbe() {
	if c.probe && !c.answeredByTarget {
		go c.isolator.concludeProbe(c.quarantinedFor, c.crashes)
	}
}
