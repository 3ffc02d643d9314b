package main

import (
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/request/quarantine"
)

// maxLoggedID is how many bytes of a request's identifier are logged: callers choose it.
const maxLoggedID = 128

// loggedID returns the part of a request's identifier that is logged.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// logOutcome logs how the request has ended, with what its routing was based on: the
// version of the configuration, and the last target with the age of the load report by
// which it was picked.
func (c *call) logOutcome(attrs ...any) {
	line := append(make([]any, 0, 48), "id", loggedID(c.req.ID), "service", c.service, "config", c.version,
		"ms", time.Since(c.arrived).Milliseconds(), "queued-ms", c.queued.Milliseconds(), "errors", c.attempts.Errors,
		"patience-ms", c.req.Timeout.Milliseconds(), "workspace", c.workspaceName(), "route", c.routeName())
	if n := c.req.PromptTokens + c.req.AnswerTokens; n > 0 {
		line = append(line, "tokens", n)
	}
	if held := c.startupWait.Milliseconds(); held > 0 {
		line = append(line, "held-ms", held)
	}
	line = append(line, c.classAttrs()...)
	line = append(line, c.targetAttrs()...)
	line = append(line, c.streamAttrs()...)
	line = append(line, c.fingerprintAttrs()...)
	c.log.Info("request", append(line, attrs...)...)
}

// classAttrs returns the class of the request where its service has several, and what kept it from
// getting a slot at once, with the age of the load that this followed from.
func (c *call) classAttrs() []any {
	var line []any
	if c.classes > 1 {
		line = append(line, "class", c.class)
	}
	if c.hold.Cause != "" {
		line = append(line, "held-by", c.hold.Cause, "known-age-ms", c.hold.LoadAge.Milliseconds())
	}
	return line
}

// The reasons for which an answer is late, as they appear in the log.
const (
	lateReturn   = "return" // the caller is repeating an attempt, and is late in any case
	lateComplete = "whole"
	lateFirst    = "first"
	latePause    = "pause"
)

// lateBy returns why an answer that ends now has missed the objective of its route, or ""
// if it has met it.
func (c *call) lateBy(now time.Time) string {
	switch {
	case c.returning:
		return lateReturn
	case c.route.Kind != deployment.Stream && now.Sub(c.arrived) > c.route.Objective:
		return lateComplete
	case c.route.Kind != deployment.Stream:
		return ""
	case c.firstAfter > c.route.Objective:
		return lateFirst
	case c.route.MaxEventGap > 0 && c.longestPause > c.route.MaxEventGap:
		return latePause
	}
	return ""
}

// streamAttrs returns the time to the first event of a stream and its longest pause, which
// decide whether it was on time, and whether its caller is returning. It returns nil before
// the first event.
func (c *call) streamAttrs() []any {
	if c.eventAt.IsZero() {
		return nil
	}
	return []any{"first-ms", c.firstAfter.Milliseconds(), "longest-pause-ms", c.longestPause.Milliseconds(), "returning", c.returning}
}

// targetAttrs returns the last target with the age of the load report by which it was
// picked, and how many servers may have run the request. It returns nil if no target was
// picked.
func (c *call) targetAttrs() []any {
	if c.last.target == nil {
		return nil
	}
	return []any{"target", c.last.target.id, "group", c.slot.group, "load-age-ms", c.last.loadAge.Milliseconds(), "ran", c.ran}
}

// fingerprintAttrs returns what identifies calls with the same content. It returns nil for
// a call during which no target may have crashed.
func (c *call) fingerprintAttrs() []any {
	if !c.suspect {
		return nil
	}
	line := []any{"print", c.fingerprint().Short(), "parts", c.suspectRequest().ShortParts(), "begun", c.begun}
	if c.quarantinedFor != (quarantine.Fingerprint{}) {
		line = append(line, "held-for", c.quarantinedFor.Short())
	}
	return line
}

// logRetry logs an attempt that is followed by another one, with its target.
func (c *call) logRetry(reason string) {
	line := append(make([]any, 0, 24), "id", loggedID(c.req.ID), "service", c.service, "config", c.version,
		"reason", reason, "errors", c.attempts.Errors, "budget-left", int(c.retriesLeft(c.service)))
	line = append(line, c.targetAttrs()...)
	c.log.Info("retry", append(line, c.fingerprintAttrs()...)...)
}

// routeName returns the name of the request's route, or "" before it is known.
func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// workspaceName returns the name of the caller's workspace, or "".
func (c *call) workspaceName() string {
	if c.callerWorkspace == nil {
		return ""
	}
	return c.callerWorkspace.Name
}
