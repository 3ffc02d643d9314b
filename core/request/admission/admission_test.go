package admission

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/queue"
)

var start = time.Unix(1000, 0)

const (
	objective = 400 * time.Millisecond
	cost      = 900
)

func newPool() *Pool { return New(rand.New(rand.NewPCG(1, 2))) }

func request(id string) Request { return Request{ID: id, Cost: cost, Objective: objective} }

// fill enqueues n requests and returns those that have been started, by group.
func fill(t *testing.T, p *Pool, n int, now time.Time) map[string][]string {
	t.Helper()
	for i := range n {
		// Refusals show in the counts of the callers.
		_ = p.Enqueue(request(now.Sub(start).String()+"-"+strconv.Itoa(i)), now)
	}
	return placed(p)
}

// placed returns the requests started since the last call, by group.
func placed(p *Pool) map[string][]string {
	out := map[string][]string{}
	for _, s := range p.Decisions() {
		if s.Refusal == nil {
			out[s.Group] = append(out[s.Group], s.ID)
		}
	}
	return out
}

// Guards against starting requests that can only be late, since engines under load take longer.
func TestWaitFollowsFirstEventTimes(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"": 1}, start)
	is.Equal(p.Enqueue(request("a"), start), nil)
	is.Equal(p.Enqueue(Request{ID: "b", Cost: cost, Objective: objective, Retry: true}, start), nil) // it waits
	now := start.Add(1100 * time.Millisecond)
	before := p.latestStart(request("c"), now)
	for range 100 {
		p.ObserveFirstEvent("a", 300*time.Millisecond)
	}
	after := p.latestStart(request("c"), now)
	is.True(before.Sub(after) > 100*time.Millisecond)
	for range 1000 {
		p.ObserveFirstEvent("a", time.Second)
	}
	is.Equal(p.latestStart(request("c"), now), now.Add(queue.Wait{BacklogAge: time.Minute}.Longest()))
}

// Guards against applying the load of one group to all groups, which refuses callers while
// other groups have capacity.
func TestLimitsArePerGroup(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g0": 100, "g1": 100, "g2": 100}, start)
	p.ReportLoad(Load{Group: "g0", Complete: true, Running: 100, Queued: 20}, start)
	p.ReportLoad(Load{Group: "g1", Complete: true, Running: 40}, start)
	p.ReportLoad(Load{Group: "g2", Complete: true, Running: 40}, start)
	got := fill(t, p, 200, start)
	is.Equal(len(got["g0"]), 1) // each entry may keep one request at a full group
	is.True(len(got["g1"]) >= 15 && len(got["g1"]) <= 60)
	is.True(len(got["g2"]) >= 15 && len(got["g2"]) <= 60)
}

// Guards against callers that wait for a group with a lost rank while other groups have
// capacity.
func TestGroupWithLostRankDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g0": 100, "g1": 100}, start)
	report := func(complete bool, now time.Time) {
		p.ReportLoad(Load{Group: "g0", Complete: complete, Running: 0}, now)
		p.ReportLoad(Load{Group: "g1", Complete: true, Running: 30}, now)
	}
	report(true, start)
	first := fill(t, p, 10, start)
	is.True(len(first["g0"]) >= 3)
	for _, target := range []string{"x", "y", "z"} {
		p.Refused(first["g0"][0], target, start)
	}
	for i := range 20 {
		now := start.Add(time.Duration(i+1) * 200 * time.Millisecond)
		report(false, now)
		got := fill(t, p, 2, now)
		is.Equal(len(got["g0"]), 0)
		is.Equal(len(got["g1"]), 2)
		is.True(!p.Closed())
		for _, id := range got["g1"] {
			p.Done(id, cost, now)
		}
	}
	now := start.Add(5 * time.Second)
	report(true, now)
	got := fill(t, p, 4, now)
	is.Equal(len(got["g0"]), 1) // the probe
	is.True(p.Accepted(got["g0"][0], now))
	report(true, now)
	got = fill(t, p, 20, now)
	is.True(len(got["g0"]) >= 5)
}

// Guards against sending new requests to a group whose coordinator reports a lost rank, before
// any request is refused there.
func TestGroupWithLostRankGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g0": 100, "g1": 100}, start)
	p.ReportLoad(Load{Group: "g0", Complete: false, Running: 0}, start)
	p.ReportLoad(Load{Group: "g1", Complete: true, Running: 60}, start)
	got := fill(t, p, 10, start)
	is.Equal(len(got["g1"]), 10)
	// An expired report has no effect.
	later := start.Add(loadValidity + time.Millisecond)
	is.True(len(fill(t, p, 10, later)["g0"]) > 0)
}

// Guards against sending new requests to a group that makes no forward passes although nothing
// fails and its slots look free.
func TestStalledGroupGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g0": 100, "g1": 100}, start)
	p.ReportLoad(Load{Group: "g0", Complete: true, Running: 10}, start)
	p.ReportLoad(Load{Group: "g1", Complete: true, Running: 60}, start)
	got := fill(t, p, 10, start)
	is.True(len(got["g0"]) > 0)
	id := got["g0"][0]
	p.MarkStalled("g0", start.Add(time.Second))
	now := start.Add(100 * time.Millisecond)
	is.Equal(len(fill(t, p, 5, now)["g0"]), 0)
	group, moved := p.Move(id, now)
	is.True(moved)
	is.Equal(group, "g1")
	group, moved = p.Move(id, now)
	is.True(!moved)
	is.Equal(group, "g1")
	later := start.Add(1100 * time.Millisecond)
	is.True(len(fill(t, p, 10, later)["g0"]) > 0)
}

// Guards against moving a request away from a group that refuses when no other group is
// available either.
func TestAllGroupsRefuse(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g0": 200, "g1": 200}, start)
	got := fill(t, p, 10, start)
	for _, ids := range got {
		for _, target := range []string{"x", "y", "z"} {
			p.Refused(ids[0], target, start)
		}
	}
	is.True(p.Closed())
	group, moved := p.Move(got["g0"][0], start)
	is.True(!moved)
	is.Equal(group, "g0")
	is.Equal(len(fill(t, p, 3, start.Add(10*time.Millisecond))), 0)
	is.True(p.Accepted(got["g1"][0], start.Add(20*time.Millisecond)))
	is.Equal(len(placed(p)["g1"]), 3)
	wait, down := p.RetryAfter(0, 8*time.Second, start.Add(20*time.Millisecond))
	is.True(!down && wait == 0)
}

// Guards against filling a slow group as much as a fast one, and against sending everything to
// the fast one.
func TestFasterGroupsGetMore(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"slow": 10000, "fast": 10000}, start)
	p.ReportLoad(Load{Group: "slow", Complete: true, Running: 4000, PassTime: 120 * time.Millisecond}, start)
	p.ReportLoad(Load{Group: "fast", Complete: true, Running: 4000, PassTime: 60 * time.Millisecond}, start)
	got := fill(t, p, 200, start)
	for i := range 4 {
		for group, ids := range fill(t, p, 200, start.Add(time.Duration(i+1)*time.Millisecond)) {
			got[group] = append(got[group], ids...)
		}
	}
	is.True(len(got["fast"]) >= 620 && len(got["fast"]) <= 710) // two of three of 1,000
	is.Equal(len(got["fast"])+len(got["slow"]), 1000)
}

// Guards against losing track of the requests of a group that was formed again under another
// name.
func TestRequestsOfARenamedGroup(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"old": 10}, start)
	got := fill(t, p, 3, start)
	p.SetGroups(map[string]int{"new": 10}, start)
	is.Equal(len(p.Groups(start)), 2)
	is.Equal(len(fill(t, p, 2, start.Add(time.Millisecond))["new"]), 2)
	for _, id := range got["old"] {
		p.Done(id, cost, start)
	}
	is.Equal(len(p.Groups(start)), 1)
	is.Equal(p.Load().Running, 2)
}

// Guards against a renamed field that changes the keys of the log line.
func TestGroupLoadKeepsItsKeys(t *testing.T) {
	is := is.New(t)
	line, err := json.Marshal(GroupLoad{Group: "g0", Running: 6, Limit: 6, Available: true})
	is.NoErr(err)
	is.Equal(string(line), `{"Group":"g0","Running":6,"Limit":6,"Usable":0,"Works":true}`)
}

// Some targets of a group fail, and get no requests. The entries fill the slots of these all the
// same, and the requests wait at the other targets, which are full.
func TestBlockedSlotsAreNotFilled(t *testing.T) {
	is := is.New(t)
	limit := func(slots, blocked int) int {
		p := newPool()
		p.SetGroups(map[string]int{"g0": slots}, start)
		p.ReportLoad(Load{Group: "g0", Complete: true, Running: 480, Blocked: blocked, Entries: 16}, start)
		return p.Groups(start)[0].Limit
	}
	is.Equal(limit(630, 40), limit(590, 0))
	is.True(limit(630, 40) < limit(630, 0))
	is.Equal(limit(630, 630), 1) // one request finds out
}
