package logreader

import (
	"fmt"
	"strconv"
	"strings"

	"verbenashift/core/request/permit"
	"verbenashift/core/request/quarantine"
	"verbenashift/core/request/queue"
)

// Kind classifies why a request was not served.
type Kind string

// The kinds of causes.
const (
	// Served: the request succeeded.
	Served Kind = "served"
	// CallerDisconnected: the caller has closed its connection.
	CallerDisconnected Kind = "caller left"
	// NotAllowed: the configuration has no such route or key.
	NotAllowed Kind = "not allowed"
	// NoConfiguration: the gateway had just started and the store had not
	// answered yet.
	NoConfiguration Kind = "gateway without configuration"
	// ServerFailed: the server ran the request and failed it.
	ServerFailed Kind = "failed by the server"
	// ConnectionLost: the connection to the server broke after the request was sent.
	ConnectionLost Kind = "connection to the server lost"
	// ServerSilent: the server sent nothing more while others did.
	ServerSilent Kind = "server silent"
	// GroupSilent: all servers of an expert group sent nothing more while other
	// groups did.
	GroupSilent Kind = "group silent"
	// RankMissing: a rank of the expert group did not answer, and the group can't
	// run forward passes without it.
	RankMissing Kind = "rank of the group missing"
	// SlowServer: a server was slow and slowed down its group.
	SlowServer Kind = "slow server"
	// ImbalancedExperts: the load of the experts was imbalanced, which slowed down the group.
	ImbalancedExperts Kind = "uneven expert load"
	// Overload: more requests arrived than the targets could run in time.
	Overload Kind = "more requests than the targets take"
	// Refused: the servers that it was sent to refused it.
	Refused Kind = "refused by servers"
	// Quarantined: requests with the same content have crashed targets, so it is not sent.
	Quarantined Kind = "held back, crashes targets"
	// DeadlineExceeded: the deadline of the request passed.
	DeadlineExceeded Kind = "time over"
	// Unknown: the log does not show the cause.
	Unknown Kind = "not told by the log"
)

// Cause is why a request ended as it did.
type Cause struct {
	Kind Kind
	// Detail is the part of the log line that shows the cause.
	Detail string
}

// String returns the cause in readable form.
func (c Cause) String() string {
	if c.Detail == "" {
		return string(c.Kind)
	}
	return fmt.Sprintf("%s (%s)", c.Kind, c.Detail)
}

const (
	// slowPace is the pace above which a server is considered the cause of long
	// passes, imbalancedSkew the same for the ratio of the most loaded rank to the mean:
	// at a fifth more, either makes passes longer than the pauses that callers see under
	// normal load.
	slowPace       = 1.25
	imbalancedSkew = 1.5
)

// CauseOf determines why a request ended as it did from its RequestTrace.
func CauseOf(id string, own []Line) Cause {
	end, found := endLine(id, own)
	if !found {
		return Cause{Unknown, "no line says how it ended"}
	}
	reason := end.Field("reason")
	switch status, _ := strconv.Atoi(end.Field("status")); {
	case end.Field("outcome") == "caller-left":
		return Cause{CallerDisconnected, strings.TrimSpace("after " + end.Field("ms") + " ms")}
	case reason == quarantine.ReasonQuarantined:
		return Cause{Quarantined, "print " + end.Field("print")}
	case end.Field("outcome") == "broken-off":
		return incompleteCause(own, end)
	case status >= 200 && status < 300:
		return Cause{Kind: Served}
	case status == 401 || status == 404 || status == 413:
		return Cause{NotAllowed, strings.Trim(reason, `"`) + ", version " + end.Field("config")}
	case status == 500 || reason == "":
		return Cause{ServerFailed, "status " + end.Field("status")}
	case status == 503 && strings.Contains(reason, "no configuration"):
		return Cause{Kind: NoConfiguration}
	case status == 503 || status == 429:
		return refusalCause(own, end)
	}
	return incompleteCause(own, end)
}

// endLine returns the line that records how a request ended.
func endLine(id string, own []Line) (Line, bool) {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].ID == id && own[i].Message == "request" {
			return own[i], true
		}
	}
	return Line{}, false
}

// incompleteCause determines why an answer was missing or incomplete.
func incompleteCause(own []Line, end Line) Cause {
	reason := end.Field("reason")
	for _, l := range own {
		switch {
		case l.ID != end.ID:
		case l.Message == "target silent", l.Message == "target answers nothing":
			return Cause{ServerSilent, l.Field("target")}
		case l.Message == "group silent":
			return Cause{GroupSilent, l.Field("group")}
		}
	}
	switch {
	case strings.Contains(reason, "time of the request is over"), strings.Contains(reason, "i/o timeout"), reason == "deadline":
		if c, ok := groupCause(own, end); ok {
			return c
		}
		return Cause{DeadlineExceeded, strings.Trim(reason, `"`)}
	case strings.Contains(reason, "answer broken"):
		return Cause{ConnectionLost, strings.Trim(reason, `"`)}
	}
	return refusalCause(own, end)
}

// refusalCause determines why no server accepted a request.
func refusalCause(own []Line, end Line) Cause {
	reason := end.Field("reason")
	if c, ok := groupCause(own, end); ok {
		return c
	}
	switch {
	case strings.HasPrefix(strings.Trim(reason, `"`), "refused by"):
		return Cause{Refused, strings.Trim(reason, `"`)}
	case strings.Contains(reason, "not sent"):
		return Cause{ConnectionLost, strings.Trim(reason, `"`)}
	case strings.Contains(reason, queue.ReasonAllTargetsRefuse):
		return Cause{Refused, "all targets have refused for long"}
	case strings.Contains(reason, permit.ReasonThrottled):
		return Cause{Refused, "all targets that could take it have asked for less"}
	case strings.Contains(reason, "no target"):
		return Cause{Refused, "no target is left"}
	case strings.Contains(reason, "deadline"), strings.Contains(reason, "full"), strings.Contains(reason, "displaced"):
		return Cause{Overload, queueState(own)}
	}
	return Cause{Unknown, strings.Trim(reason, `"`)}
}

// queueState returns the last logged state of the gateway's queue.
func queueState(own []Line) string {
	for i := len(own) - 1; i >= 0; i-- {
		if l := own[i]; l.Message == "queue" {
			return fmt.Sprintf("%s waiting, %s running of %s", l.Field("waiting"), l.Field("running"), l.Field("limit"))
		}
	}
	return ""
}

// groupCause determines what impeded the request's expert group, from the last state that
// its coordinator logged. A request that was not assigned to a group waited for all groups
// of its service, so the state of any of them may show the cause.
func groupCause(own []Line, end Line) (Cause, bool) {
	service, group := end.Field("service"), end.Field("group")
	for i := len(own) - 1; i >= 0; i-- {
		l := own[i]
		if of := l.Field("service"); l.Message != "group state" || of != "" && of != service {
			continue
		}
		if of := l.Field("group"); group != "" && of != "" && of != group {
			continue
		}
		switch {
		case number(l, "known") < number(l, "ranks"):
			return Cause{RankMissing, inGroup(l, fmt.Sprintf("%s of %s known", l.Field("known"), l.Field("ranks")))}, true
		case number(l, "slowest-pace") > slowPace:
			return Cause{SlowServer, inGroup(l, "pace "+l.Field("slowest-pace"))}, true
		case number(l, "skew") > imbalancedSkew:
			return Cause{ImbalancedExperts, inGroup(l, "skew "+l.Field("skew"))}, true
		}
		return Cause{}, false
	}
	return Cause{}, false
}

// inGroup prefixes a detail with the name of the line's group.
func inGroup(l Line, detail string) string {
	if group := l.Field("group"); group != "" {
		return "group " + group + ": " + detail
	}
	return detail
}
