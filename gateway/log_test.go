package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/eventlog"
	"verbenashift/core/plumbing/logreader"
	"verbenashift/platform"
	"verbenashift/standin/scripted"
)

// logged gives a rig a log and returns a function that reads it.
func (r *rig) logged() func() []logreader.Line {
	var out bytes.Buffer
	log, stop := eventlog.New(&out, "gateway", "front-1", slog.LevelInfo)
	r.gateway.log, r.gateway.fleet.log = log, log
	return func() []logreader.Line {
		stop()
		if strings.Contains(out.String(), rigKey) || strings.Contains(out.String(), rigBody) {
			r.t.Error("a key or a body is in the log")
		}
		return logreader.Read(&out)
	}
}

// failureCase is a failure that a caller may report.
type failureCase struct {
	kind   deployment.RouteKind
	script func(*scripted.Exchange)
	// change modifies the call or the gateway so that the call fails.
	change func(*rig, *scripted.Call)
	// group is a log line that the coordinator has written meanwhile.
	group string
	want  logreader.Kind
}

func failures() map[string]failureCase {
	ok := func(x *scripted.Exchange) { x.Respond(200, "ok") }
	hang := func(x *scripted.Exchange) { x.WaitForClose(time.Minute) }
	group := func(known int, pace, skew float64) string {
		return fmt.Sprintf(`{"time":%q,"msg":"group state","instance":"side-1","service":"pool","ranks":16,"known":%d,"slowest-pace":%g,"skew":%g}`,
			time.Now().Format(time.RFC3339Nano), known, pace, skew)
	}
	short := func(_ *rig, c *scripted.Call) { c.Timeout = 100 * time.Millisecond }
	return map[string]failureCase{
		"served":              {kind: deployment.Safe, script: ok, want: logreader.Served},
		"no such route":       {kind: deployment.Safe, script: ok, change: func(_ *rig, c *scripted.Call) { c.Path = "/none/" }, want: logreader.NotAllowed},
		"key taken away":      {kind: deployment.Safe, script: ok, change: func(_ *rig, c *scripted.Call) { c.Key = "old" }, want: logreader.NotAllowed},
		"gateway just begun":  {kind: deployment.Safe, script: ok, change: func(r *rig, _ *scripted.Call) { r.restart(); r.gateway.startup.Unreachable() }, want: logreader.NoConfiguration},
		"failed by servers":   {kind: deployment.Unsafe, script: func(x *scripted.Exchange) { x.Respond(500, "no") }, want: logreader.ServerFailed},
		"refused by servers":  {kind: deployment.Unsafe, script: func(x *scripted.Exchange) { x.Refuse() }, want: logreader.Refused},
		"answer lost":         {kind: deployment.Unsafe, script: func(x *scripted.Exchange) { x.Close() }, want: logreader.ConnectionLost},
		"stream broken off":   {kind: deployment.Stream, script: breakOff, want: logreader.ConnectionLost},
		"server hangs":        {kind: deployment.Unsafe, script: hang, change: short, want: logreader.DeadlineExceeded},
		"a rank is gone":      {kind: deployment.Stream, script: func(x *scripted.Exchange) { x.Refuse() }, group: group(15, 1, 1.1), want: logreader.RankMissing},
		"a slow server":       {kind: deployment.Stream, script: hang, change: short, group: group(16, 4, 1.1), want: logreader.SlowServer},
		"uneven experts":      {kind: deployment.Stream, script: hang, change: short, group: group(16, 1, 3.2), want: logreader.ImbalancedExperts},
		"another group's ill": {kind: deployment.Unsafe, script: func(x *scripted.Exchange) { x.Refuse() }, group: strings.Replace(group(3, 9, 9), `"pool"`, `"other"`, 1), want: logreader.Refused},
	}
}

func breakOff(x *scripted.Exchange) {
	x.Stream()
	x.Chunk(scripted.Event(1))
	x.Close()
}

// Guards against a wrong or missing cause when only an identifier and the logs are known.
func TestCauseFromTheLogAlone(t *testing.T) {
	for name, tt := range failures() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := routeOf(tt.kind)
			route.MaxAttempts = 1
			r := newRig(t, route, scripted.Serve(t, tt.script))
			read := r.logged()
			c := r.call()
			if tt.change != nil {
				tt.change(r, &c)
			}
			c.Do(t.Context())
			lines := read()
			lines = append(lines, logreader.Read(strings.NewReader(tt.group))...)
			is.Equal(logreader.CauseOf(c.ID, logreader.RequestTrace(c.ID, lines)).Kind, tt.want)
		})
	}
}

// Guards against attributing a disconnected caller to the gateway.
func TestCauseOfACallerThatLeft(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(t.Context())
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		leave()
		x.WaitForClose(time.Minute)
	})
	r := newRig(t, routeOf(deployment.Unsafe), s)
	read := r.logged()
	c := r.call()
	c.Do(ctx)
	<-s.Disconnects()
	time.Sleep(20 * time.Millisecond) // The line is written after the connection is closed.
	is.Equal(logreader.CauseOf(c.ID, logreader.RequestTrace(c.ID, read())).Kind, logreader.CallerDisconnected)
}

// Guards against a refusal that does not name its queue.
func TestCauseOfOverload(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		<-hold
		x.Respond(200, "ok")
	})
	route := routeOf(deployment.Safe)
	route.Objective = time.Millisecond // too short to wait for a slot
	r := newRig(t, route, s)
	read := r.logged()
	r.view.Config.Services[0].Engine = &deployment.Engine{Slots: 1}
	r.gateway.update(&r.view)
	a := r.gateway.admitterOf("pool")
	a.log = r.gateway.log
	a.resize(map[string]int{"": 1})
	first := r.call()
	answer := make(chan scripted.Answer)
	go func() { answer <- first.Do(t.Context()) }()
	for len(s.Seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c := r.call()
	got := c.Do(t.Context())
	is.Equal(got.Status, platform.StatusNotRun)
	close(hold)
	is.Equal((<-answer).Status, http.StatusOK)
	is.Equal(logreader.CauseOf(c.ID, logreader.RequestTrace(c.ID, read())).Kind, logreader.Overload)
}

// Guards against a request history that lacks the reason why a stream was moved.
func TestHistoryOfAMovedStream(t *testing.T) {
	is := is.New(t)
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Stream), s)
	read := r.logged()
	now := time.Now()
	at, ok := r.gateway.fleet.table.Lookup("t0")
	is.True(ok)
	r.gateway.fleet.mu.Lock()
	st := &activeStream{activeAttempt: activeAttempt{index: at, target: r.gateway.fleet.targetStates["t0"]}, id: "r1", service: "pool", begun: true, mayMove: true, lastEventAt: now.Add(-time.Second), end: func(error) {}}
	r.gateway.fleet.streams.open[st] = struct{}{}
	r.gateway.fleet.streams.groups[groupKey{service: "pool"}] = now
	r.gateway.fleet.watchSilence(now)
	r.gateway.fleet.mu.Unlock()
	c := &call{gateway: r.gateway, request: request{req: platform.Request{ID: "r1"}, arrived: now}}
	c.logOutcome("outcome", "broken-off", "reason", "answer broken in body: i/o timeout")
	own := logreader.RequestTrace("r1", read())
	is.Equal(own[0].Message, "target silent")
	is.Equal(logreader.CauseOf("r1", own).Kind, logreader.ServerSilent)
}

// Guards against log lines without the age of the load report by which a target was picked.
func TestLogLineHasTheAgeOfTheLoad(t *testing.T) {
	is := is.New(t)
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	read := r.logged()
	r.gateway.digest(&rankpeer.Digest{Targets: []string{"t0"}, Running: []uint16{1}, Queued: []uint16{0}, Pace: []uint16{10}}, time.Now().Add(-700*time.Millisecond))
	c, _ := r.send()
	for _, l := range logreader.RequestTrace(c.ID, read()) {
		if l.Message != "request" {
			continue
		}
		is.Equal(l.Field("target"), "t0")
		is.Equal(l.Field("config"), "7")
		is.True(len(l.Field("load-age-ms")) >= 3) // 700 and more
		return
	}
	t.Error("no line of the request")
}

// Guards against log lines as long as the identifiers that callers choose.
func TestLongIdentifiersAreCutInTheLog(t *testing.T) {
	is := is.New(t)
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	read := r.logged()
	c := r.call()
	c.ID = strings.Repeat("x", 10*maxLoggedID)
	got := c.Do(t.Context())
	is.Equal(got.Status, http.StatusOK) // targets get it whole
	lines := read()
	is.True(len(lines) > 0)
	for _, l := range lines {
		is.True(len(fmt.Sprint(l)) < 10*maxLoggedID)
	}
	is.Equal(len(logreader.RequestTrace(c.ID[:maxLoggedID], lines)), 1)
}
