package story

import (
	"fmt"
	"strconv"
	"strings"

	"verbenashift/core/request/permit"
	"verbenashift/core/request/quarantine"
	"verbenashift/core/request/queue"
)

// Kind says why a request has not been served.
type Kind string

// The kinds of causes.
const (
	// Served is no failure.
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
	// ConnectionLost: the server's connection broke after the request had left.
	ConnectionLost Kind = "connection to the server lost"
	// ServerSilent: the server said nothing more while others went on.
	ServerSilent Kind = "server silent"
	// GroupSilent: all servers of an expert group said nothing more while other
	// groups went on.
	GroupSilent Kind = "group silent"
	// RankMissing: a rank of the expert group did not answer, and its group makes
	// no passes without it.
	RankMissing Kind = "rank of the group missing"
	// SlowServer: a server was slow, and its group with it.
	SlowServer Kind = "slow server"
	// ImbalancedExperts: the experts' load was uneven, and the group slow by it.
	ImbalancedExperts Kind = "uneven expert load"
	// Overload: more requests came than the targets could take in time.
	Overload Kind = "more requests than the targets take"
	// Refused: the servers that were asked refused it.
	Refused Kind = "refused by servers"
	// Quarantined: targets have crashed under requests with its content, and it is not sent.
	Quarantined Kind = "held back, crashes targets"
	// DeadlineExceeded: the request's own time was over.
	DeadlineExceeded Kind = "time over"
	// Unknown: the log does not tell.
	Unknown Kind = "not told by the log"
)

// Cause is why a request ended as it did.
type Cause struct {
	Kind Kind
	// Detail is the words of the line that tells it.
	Detail string
}

// String returns the cause for people.
func (c Cause) String() string {
	if c.Detail == "" {
		return string(c.Kind)
	}
	return fmt.Sprintf("%s (%s)", c.Kind, c.Detail)
}

const (
	// slowPace is the pace over which a server is taken for the cause of long
	// passes, unevenSkew the ratio of the most loaded rank to the mean: at a
	// fifth more either lengthens passes beyond the pauses that callers see on a
	// calm day.
	slowPace   = 1.25
	unevenSkew = 1.5
)

// CauseOf works out the cause from the story of a request.
func CauseOf(id string, own []Line) Cause {
	end, found := lastOwn(id, own)
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
		return lost(own, end)
	case status >= 200 && status < 300:
		return Cause{Kind: Served}
	case status == 401 || status == 404 || status == 413:
		return Cause{NotAllowed, strings.Trim(reason, `"`) + ", version " + end.Field("config")}
	case status == 500 || reason == "":
		return Cause{ServerFailed, "status " + end.Field("status")}
	case status == 503 && strings.Contains(reason, "no configuration"):
		return Cause{Kind: NoConfiguration}
	case status == 503 || status == 429:
		return refused(own, end)
	}
	return lost(own, end)
}

// lastOwn returns the line that says how a request ended.
func lastOwn(id string, own []Line) (Line, bool) {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].ID == id && own[i].Message == "request" {
			return own[i], true
		}
	}
	return Line{}, false
}

// lost tells why an answer did not come, or not whole.
func lost(own []Line, end Line) Cause {
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
	return refused(own, end)
}

// refused tells why nobody took a request.
func refused(own []Line, end Line) Cause {
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
		return Cause{Overload, queueOf(own)}
	}
	return Cause{Unknown, strings.Trim(reason, `"`)}
}

// queueOf returns the last state of the gateway's queue.
func queueOf(own []Line) string {
	for i := len(own) - 1; i >= 0; i-- {
		if l := own[i]; l.Message == "queue" {
			return fmt.Sprintf("%s waiting, %s running of %s", l.Field("waiting"), l.Field("running"), l.Field("limit"))
		}
	}
	return ""
}

// groupCause tells what kept the request's expert group from its work, by the last
// word of its steward. A request that has got no place had to wait for all groups of its
// service; any of them may tell why.
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
		case number(l, "skew") > unevenSkew:
			return Cause{ImbalancedExperts, inGroup(l, "skew "+l.Field("skew"))}, true
		}
		return Cause{}, false
	}
	return Cause{}, false
}

// inGroup puts the name of a line's group before what it tells.
func inGroup(l Line, what string) string {
	if group := l.Field("group"); group != "" {
		return "group " + group + ": " + what
	}
	return what
}
