package story

import (
	"strconv"
	"strings"
)

// The reasons for which a try was not on time. Each try has one; those that the log does
// not tell have a line of their own.
const (
	reasonOnTime   = "on time"
	reasonBack     = "late: came back after an earlier try"
	reasonPlace    = "late: waited for a place"
	reasonFirst    = "late: first event of a running request"
	reasonMissing  = "late: pause, a rank was missing"
	reasonSlowRank = "late: pause, a rank was slow"
	reasonUneven   = "late: pause, uneven experts"
	reasonMoved    = "late: pause, moved to another server"
	reasonFull     = "late: pause, long passes at even experts"
	reasonPause    = "late: pause, not told by the log"
	reasonLate     = "late: plain request"
	reasonLeft     = "caller left"
)

// longPass is the length of a pass, in milliseconds, from which a pause is put down to
// it: two thirds of the shortest pause that deployments allow.
const longPass = 80

// ByReason groups requests by why they were not on time. The states of their expert group
// while they ran tell the reason of a pause.
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
			return reasonLeft
		case status == "503":
			return "refused: " + plainReason(l.Field("reason"))
		case status != "200":
			return "failed: " + plainReason(l.Field("reason"))
		case l.Field("on-time") == "true":
			return reasonOnTime
		}
		return lateReason(l, states[l.Field("group")])
	}
}

// lateReason tells why a whole answer was late.
func lateReason(l Line, states []Line) string {
	switch l.Field("late-by") {
	case "return":
		return reasonBack
	case "first":
		if 2*number(l, "queued-ms") > number(l, "first-ms") {
			return reasonPlace
		}
		return reasonFirst
	case "pause":
		return pauseReason(l, states)
	}
	return reasonLate
}

// pauseReason tells why a stream had a long pause, by the worst that its group has told
// while it ran.
func pauseReason(l Line, states []Line) string {
	var missing, slow, uneven, long bool
	for _, s := range states {
		if s.At.Before(l.At.Add(-l.took())) || s.At.After(l.At.Add(after)) {
			continue
		}
		missing = missing || number(s, "known") < number(s, "ranks")
		slow = slow || number(s, "slowest-pace") > slowPace
		uneven = uneven || number(s, "skew") > unevenSkew
		long = long || number(s, "pass-ms") > longPass
	}
	switch {
	case number(l, "ran") > 1:
		return reasonMoved
	case missing:
		return reasonMissing
	case slow:
		return reasonSlowRank
	case uneven:
		return reasonUneven
	case long:
		return reasonFull
	}
	return reasonPause
}

// number returns an attribute that is a number, or 0 if the line has none.
func number(l Line, name string) float64 {
	x, err := strconv.ParseFloat(l.Field(name), 64)
	if err != nil {
		return 0
	}
	return x
}

// plainReason cuts off of a reason what differs from request to request.
func plainReason(reason string) string {
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
