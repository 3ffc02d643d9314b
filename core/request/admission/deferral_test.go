package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/headroom"
)

// shiftStart is when the passes of a shift begin to be long in these tests.
var shiftStart = start.Add(time.Second)

// shifting returns a Pool of two classes with four requests that run, and a func that reports a pass.
func shifting(t *testing.T) (p *Pool, pass func(took time.Duration, now time.Time)) {
	t.Helper()
	p = newPool()
	p.SetClasses(2, start)
	cost := headroom.Cost{Base: 35 * time.Millisecond, PerRequest: 3 * time.Millisecond, Reading: 14 * time.Millisecond}
	p.SetPassCost(cost, 10, 120*time.Millisecond)
	p.SetGroups(map[string]int{"g0": 630}, start)
	p.ReportLoad(Load{Group: "g0", Complete: true, Running: 300}, start)
	running := fill(t, p, 4, start)["g0"]
	pass = func(took time.Duration, now time.Time) {
		for _, id := range running {
			p.ObservePause(id, took, now)
		}
	}
	pass(60*time.Millisecond, shiftStart.Add(-100*time.Millisecond))
	p.ReportLoad(Load{Group: "g0", Complete: true, Running: 300}, shiftStart)
	pass(115*time.Millisecond, shiftStart)
	pass(115*time.Millisecond, shiftStart.Add(115*time.Millisecond)) // the first long pass is complete
	return p, pass
}

// arrive enqueues a request of a class and returns whether it has started at once.
func arrive(t *testing.T, p *Pool, class int, objective time.Duration, now time.Time) bool {
	t.Helper()
	r := Request{ID: now.String(), Class: class, Cost: cost, Objective: objective}
	if refusal := p.Enqueue(r, now); refusal != nil {
		t.Fatal(refusal)
	}
	return len(placed(p)["g0"]) == 1
}

// Guards against prompts that are read in the passes of a shift, which makes them longer for all
// streams that run.
func TestArrivalsWaitOutLongPasses(t *testing.T) {
	is := is.New(t)
	p, pass := shifting(t)
	now := shiftStart.Add(120 * time.Millisecond)
	is.True(!arrive(t, p, 1, time.Second, now))
	is.True(!arrive(t, p, 0, 400*time.Millisecond, now.Add(time.Millisecond)))
	pass(60*time.Millisecond, now.Add(100*time.Millisecond))
	is.Equal(len(placed(p)["g0"]), 0)
	pass(60*time.Millisecond, now.Add(160*time.Millisecond)) // the short pass is complete
	started := placed(p)["g0"]
	is.Equal(len(started), 2)
	is.Equal(started[0], now.Add(time.Millisecond).String()) // the first class
}

// Guards against a deferral that makes its requests late, or that lasts when no pass is measured any more.
func TestDeferralEndsWithinTheObjective(t *testing.T) {
	is := is.New(t)
	p, _ := shifting(t)
	now := shiftStart.Add(120 * time.Millisecond)
	is.True(!arrive(t, p, 0, 400*time.Millisecond, now))
	p.Tick(shiftStart.Add(115*time.Millisecond + 400*time.Millisecond - p.fastestFirstEvent()))
	is.Equal(len(placed(p)["g0"]), 1)
	is.True(arrive(t, p, 0, p.fastestFirstEvent(), now.Add(time.Second))) // it cannot wait
}

// Guards against a deferral where no class could give way.
func TestOneClassIsNotDeferred(t *testing.T) {
	is := is.New(t)
	one := newPool()
	one.SetGroups(map[string]int{"g0": 630}, start)
	one.SetPassCost(headroom.Cost{Base: 35 * time.Millisecond, PerRequest: 3 * time.Millisecond}, 10, 120*time.Millisecond)
	one.ReportLoad(Load{Group: "g0", Complete: true, Running: 300}, start)
	running := fill(t, one, 4, start)["g0"]
	for k := range 4 {
		for _, id := range running {
			one.ObservePause(id, 115*time.Millisecond, start.Add(time.Duration(k)*115*time.Millisecond))
		}
	}
	is.True(arrive(t, one, 0, 400*time.Millisecond, start.Add(500*time.Millisecond)))
}

// Guards against a caller of the last class that is back at once while the classes before it take
// all the room: it would only wait again.
func TestLastClassComesBackLater(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetClasses(2, start)
	p.SetGroups(map[string]int{"g0": 1}, start)
	is.Equal(p.Enqueue(Request{ID: "runs", Cost: cost, Objective: objective}, start), nil)
	is.Equal(p.Enqueue(Request{ID: "waits", Cost: cost, Objective: objective, Class: 1, Retry: true, CallerTimeout: time.Minute}, start), nil)
	p.Tick(start)
	_, later := p.RetryAfter(1, 8*time.Second, start.Add(500*time.Millisecond))
	is.True(!later) // a short backlog
	now := start.Add(1500 * time.Millisecond)
	wait, later := p.RetryAfter(1, 8*time.Second, now)
	is.True(later)
	is.True(wait > 1500*time.Millisecond && wait < 8*time.Second/3)
	_, later = p.RetryAfter(0, 8*time.Second, now)
	is.True(!later) // nothing of the first class waits
}
