package logreader

import (
	"strconv"
	"strings"
)

// The reasons why a try was not on time. Each try has one; tries whose reason the log does
// not show have a reason of their own.
const (
	reasonOnTime       = "on time"
	reasonReturning    = "late: came back after an earlier try"
	reasonQueued       = "late: waited for a place"
	reasonFirstEvent   = "late: first event of a running request"
	reasonMissingRank  = "late: pause, a rank was missing"
	reasonSlowRank     = "late: pause, a rank was slow"
	reasonImbalanced   = "late: pause, uneven experts"
	reasonMoved        = "late: pause, moved to another server"
	reasonLongPasses   = "late: pause, long passes at even experts"
	reasonUnknownPause = "late: pause, not told by the log"
	reasonPlain        = "late: plain request"
	reasonDisconnected = "caller left"
)

// longPass is the duration of a forward pass, in milliseconds, above which a pause is
// attributed to it: two thirds of the shortest pause limit that deployments have.
const longPass = 80

// ByReason groups requests by the reason why they were not on time. The reason of a pause
// comes from the states of the request's expert group while it ran.
func ByReason(lines []Line) func(Line) string {
	states := map[string][]Line{}
	for _, l := range lines {
		if l.Message == "group state" {
			states[l.Field("group")] = append(states[l.Field("group")], l)
		}
	}
	return func(l Line) string {
		switch status := l.Field("status"); {
		case l.Field("outcome") == "caller-left":
			return reasonDisconnected
		case status == "503":
			return "refused: " + reasonClass(l.Field("reason"))
		case status != "200":
			return "failed: " + reasonClass(l.Field("reason"))
		case l.Field("on-time") == "true":
			return reasonOnTime
		}
		return lateReason(l, states[l.Field("group")])
	}
}

// lateReason returns why a complete answer was late.
func lateReason(l Line, states []Line) string {
	switch l.Field("late-by") {
	case "return":
		return reasonReturning
	case "first":
		if 2*number(l, "queued-ms") > number(l, "first-ms") {
			return reasonQueued
		}
		return reasonFirstEvent
	case "pause":
		return pauseReason(l, states)
	}
	return reasonPlain
}

// pauseReason returns why a stream had a long pause, by the worst state that its group
// logged while it ran.
func pauseReason(l Line, states []Line) string {
	var missing, slow, imbalanced, long bool
	for _, s := range states {
		if s.At.Before(l.At.Add(-l.elapsed())) || s.At.After(l.At.Add(after)) {
			continue
		}
		missing = missing || number(s, "known") < number(s, "ranks")
		slow = slow || number(s, "slowest-pace") > slowPace
		imbalanced = imbalanced || number(s, "skew") > imbalancedSkew
		long = long || number(s, "pass-ms") > longPass
	}
	switch {
	case number(l, "ran") > 1:
		return reasonMoved
	case missing:
		return reasonMissingRank
	case slow:
		return reasonSlowRank
	case imbalanced:
		return reasonImbalanced
	case long:
		return reasonLongPasses
	}
	return reasonUnknownPause
}

// number returns an attribute that is a number, or 0 if the line has none.
func number(l Line, name string) float64 {
	x, err := strconv.ParseFloat(l.Field(name), 64)
	if err != nil {
		return 0
	}
	return x
}

// reasonClass removes the part of a reason that differs between requests.
func reasonClass(reason string) string {
	reason = strings.Trim(reason, `"`)
	for _, class := range []string{"refused by", "failed by", "request not sent", "answer broken"} {
		if strings.HasPrefix(reason, class) {
			return class
		}
	}
	if reason == "" {
		return "by the server"
	}
	return reason
}
