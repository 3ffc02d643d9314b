package main

import (
	"bytes"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/eventlog"
	"verbenashift/core/plumbing/logreader"
	"verbenashift/core/request/admission"
	"verbenashift/core/request/precedence"
	"verbenashift/standin/scripted"
)

// twoPriorities gives a rig a second route to its service, with another priority, and one slot.
func (r *rig) twoPriorities() *admitter {
	cfg := r.view.Config
	later := cfg.Routes[0]
	later.Name, later.Prefix, later.Priority = "later", "/later/", cfg.Routes[0].Priority+1
	r.view.Config = &deployment.Config{
		Version: cfg.Version + 1, Routes: append(cfg.Routes, later), Workspaces: cfg.Workspaces, Limits: cfg.Limits,
		Services: []deployment.Service{{Name: "pool", Engine: &deployment.Engine{Slots: 1}}},
	}
	r.gateway.update(&r.view)
	a := r.gateway.admitterOf("pool")
	a.log = r.gateway.log
	a.resize(map[string]int{"": 1})
	return a
}

// messages returns the lines with a message.
func messages(lines []logreader.Line, message string) []logreader.Line {
	var out []logreader.Line
	for _, l := range lines {
		if l.Message == message {
			out = append(out, l)
		}
	}
	return out
}

// Guards against an operator who cannot see which class a refused request was of, what held it,
// and which request ran meanwhile.
func TestLogNamesClassAndHold(t *testing.T) {
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
	a := r.twoPriorities()
	first := r.call()
	answer := make(chan scripted.Answer)
	go func() { answer <- first.Do(t.Context()) }()
	for len(s.Seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c := r.call()
	c.Path = "/later/item"
	c.Do(t.Context())
	close(hold)
	is.Equal((<-answer).Status, http.StatusOK)
	a.tick()
	ends := messages(read(), "request")
	is.Equal(len(ends), 2)
	is.Equal(ends[0].ID, c.ID)
	is.Equal(ends[0].Field("class"), "1")
	is.Equal(ends[0].Field("held-by"), string(admission.HeldBySlots))
	is.True(ends[0].Field("known-age-ms") != "")
	is.Equal(ends[1].Field("class"), "0")
	is.Equal(ends[1].Field("held-by"), "")
	is.Equal(metricClassRefused.Get("pool/1").String(), "1")
	is.Equal(metricClassStarted.Get("pool/0").String(), "1")
	is.Equal(metricClassRunning.Get("pool/0").String(), "0")
}

// Guards against log lines about classes in a service whose requests are not ranked.
func TestLogWithoutClasses(t *testing.T) {
	is := is.New(t)
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	read := r.logged()
	r.view.Config.Services[0].Engine = &deployment.Engine{Slots: 1}
	r.gateway.update(&r.view)
	r.call().Do(t.Context())
	ends := messages(read(), "request")
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Field("class"), "")
	is.Equal(ends[0].Field("held-by"), "")
	is.Equal(len(classAttrs(make([]admission.Tally, 1))), 0)
}

// Guards against a line about the usable slots each tick, and against none when they change.
func TestHeadroomIsLoggedWhenItChanges(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, stop := eventlog.New(&out, "gateway", "front-1", slog.LevelInfo)
	a := newAdmitter("pool", log)
	var want []string
	for _, slots := range []int{80, 90, 100} {
		a.showGroup(admission.GroupLoad{Group: "g", Slots: slots, Usable: slots})
	}
	for _, usable := range []int{100, 42, 42, 42, 60, 100, 100} {
		a.showGroup(admission.GroupLoad{Group: "g", Slots: 100, Usable: usable, Stretch: 2.0049})
	}
	a.showGroup(admission.GroupLoad{Group: "gone", Slots: 100, Usable: 10})
	a.forgetGroups([]admission.GroupLoad{{Group: "g"}})
	for _, usable := range []string{"42", "60", "100"} {
		want = append(want, usable+" of 100, 2")
	}
	want = append(want, "10 of 100, 0")
	is.Equal(len(a.usable), 0)
	stop()
	var got []string
	for _, l := range messages(logreader.Read(&out), "headroom") {
		got = append(got, fmt.Sprintf("%s of %s, %s", l.Field("usable"), l.Field("slots"), l.Field("stretch")))
	}
	is.Equal(got, want)
	is.Equal(metricUsable.Get("pool/g").(*expvar.Int).Value(), int64(100))
}

// Guards against requests that are lost, or passed on as the most urgent, because a priority is out
// of range, and against a line about it for each request.
func TestPriorityOutOfRange(t *testing.T) {
	is := is.New(t)
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	route := routeOf(deployment.Safe)
	route.Priority = deployment.NoPriority
	r := newRig(t, route, s)
	read := r.logged()
	negative, high := -7, 1000
	cfg := *r.view.Config
	cfg.Version++
	for i := range 2 * maxNames {
		other := route
		other.Name, other.Prefix, other.Priority = fmt.Sprint("extra-", i), fmt.Sprintf("/extra-%d/", i), 10+i
		cfg.Routes = append(cfg.Routes, other)
	}
	cfg.Workspaces = []deployment.Workspace{{Name: "a", Keys: []string{rigKey}, Priority: &negative}, {Name: "b", Keys: []string{"b"}, Priority: &high}}
	r.view.Config = &cfg
	for range 3 {
		r.gateway.update(&r.view)
		is.Equal(r.call().Do(t.Context()).Status, http.StatusOK)
	}
	cat := r.gateway.catalog.Load()
	is.Equal(cat.urgency("pool", &cfg.Routes[0], nil), precedence.Lowest)
	is.Equal(cat.urgency("pool", &cfg.Routes[0], &cfg.Workspaces[0]), precedence.Lowest)
	is.Equal(cat.urgency("pool", &cfg.Routes[1], &cfg.Workspaces[1]), precedence.Lowest)
	is.Equal(cat.orders["pool"].Classes(), 1) // all count as the lowest
	lines := messages(read(), "priority out of range")
	is.Equal(len(lines), 1)
	is.Equal(lines[0].Field("config"), "8")
	is.Equal(lines[0].Field("count"), "13")
	is.Equal(lines[0].Field("workspaces"), `["a","b"]`)
}
