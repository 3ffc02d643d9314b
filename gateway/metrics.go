package main

import (
	"expvar"

	"verbenashift/core/plumbing/histogram"
)

// The metrics of a gateway in addition to those of package mirror; docs/OPERATIONS.md has the table with units.
var (
	metricRequests = expvar.NewMap("requests-by-status")
	metricRefusals = expvar.NewMap("refusals-by-reason")
	metricAttempts = expvar.NewInt("attempts")
	metricRetries  = expvar.NewInt("retries")
	metricNoRetry  = expvar.NewMap("no-retry-by-reason")
	metricBudget   = expvar.NewMap("retry-budget-left")
	// metricServiceRetries counts retries by service, metricRetryPart is this gateway's part of the
	// retries of all gateways.
	metricServiceRetries = expvar.NewMap("retries-by-service")
	metricRetryPart      = expvar.NewMap("retry-part")
	// metricUnanswered counts plain requests whose target did not answer while others did.
	metricUnanswered = expvar.NewInt("requests-unanswered-by-targets")
	// metricSuspicions counts suspected targets by cause; the cause "told" counts reports of
	// other gateways.
	metricSuspicions = expvar.NewMap("target-doubts-by-cause")
	// metricRateLimits counts how often targets have set or changed a limit.
	metricRateLimits = expvar.NewInt("target-rate-limits-set")
	// metricPauses counts refusals that request a pause.
	metricPauses = expvar.NewInt("target-pauses-requested")
	// metricShutdowns counts targets that have announced their shutdown in an answer.
	metricShutdowns = expvar.NewInt("targets-shutting-down")
	// metricPermits counts changes of permits by kind.
	metricPermits = expvar.NewMap("permit-changes")
	// metricThrottledWaits counts requests that have waited for a throttled target.
	metricThrottledWaits = expvar.NewInt("requests-waited-for-throttled-targets")
	// metricTooLong counts answers with a part over its limit, by part.
	metricTooLong = expvar.NewMap("answers-over-limit")
	// metricRoom is the room for bodies that is in use, metricReclaimed how many answers have lost theirs.
	metricRoom      = expvar.NewMap("body-room-bytes")
	metricReclaimed = expvar.NewMap("bodies-reclaimed")
	metricSilent    = expvar.NewInt("streams-moved-from-silent-targets")
	metricSlow      = expvar.NewInt("streams-moved-from-slow-targets")
	// metricStalled counts callers that have stopped reading their answer or sending their body.
	metricStalled    = expvar.NewInt("callers-stalled")
	metricAborted    = expvar.NewInt("streams-broken-off")
	metricResumed    = expvar.NewInt("streams-resumed")
	metricWait       = histogram.New("queue-wait-ms")
	metricFirst      = histogram.New("first-event-ms")
	metricGap        = histogram.New("event-gap-ms")
	metricAnswerTime = histogram.New("answer-ms")
	metricWaiting    = expvar.NewMap("queue-waiting")
	metricRunning    = expvar.NewMap("running")
	metricLimit      = expvar.NewMap("running-limit")
	metricAvailable  = expvar.NewMap("group-works")
	// metricUsable is the number of slots that may be taken without passes that are too long.
	metricUsable = expvar.NewMap("group-usable-slots")
	// The metrics by class have keys of service and class, and only for services with several.
	metricClassWaiting = expvar.NewMap("class-waiting")
	metricClassRunning = expvar.NewMap("class-running")
	metricClassStarted = expvar.NewMap("class-started")
	metricClassRefused = expvar.NewMap("class-refused")
	metricClassGaveWay = expvar.NewMap("class-gave-way")
	metricCoordinators = expvar.NewMap("group-steward")
	metricSkew         = expvar.NewMap("group-skew")
	metricPass         = expvar.NewMap("group-pass-ms")
)
