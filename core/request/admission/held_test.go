package admission

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/headroom"
)

// twoClasses returns a pool with one group and a load by which it may start as many requests as
// are free.
func twoClasses(slots, running int, now time.Time) *Pool {
	p := newPool()
	p.SetClasses(2, now)
	p.SetGroups(map[string]int{"g": slots}, now)
	p.ReportLoad(Load{Group: "g", Complete: true, Running: running, Entries: 1}, now)
	return p
}

// hold enqueues a request of a class and returns what holds it, or nothing if it starts.
func hold(p *Pool, id string, class int, now time.Time) Hold {
	r := request(id)
	r.Class, r.Retry = class, true // it waits, whatever the wait
	if p.Enqueue(r, now) != nil {
		return p.Hold(class, now)
	}
	for _, d := range p.Decisions() {
		if d.ID == id {
			return d.Hold
		}
	}
	return p.Hold(class, now)
}

// Guards against a request that waits, or is refused, for a cause that no line of the log tells.
func TestHoldNamesTheCause(t *testing.T) {
	const age = 200 * time.Millisecond
	later := start.Add(age)
	for name, tt := range map[string]struct {
		prepare func() *Pool
		class   int
		want    Hold
	}{
		"free slots": {prepare: func() *Pool { return twoClasses(10, 0, start) }},
		"no slot": {
			prepare: func() *Pool { p := twoClasses(1, 0, start); hold(p, "a", 0, start); return p },
			want:    Hold{Cause: HeldBySlots, LoadAge: age},
		},
		"a class before it": {
			prepare: func() *Pool {
				p := twoClasses(1, 0, start)
				hold(p, "a", 0, start)
				hold(p, "b", 0, start)
				return p
			},
			class: 1, want: Hold{Cause: HeldByClass, LoadAge: age},
		},
		"long passes": {prepare: func() *Pool { return longPasses(start) }, class: 1, want: Hold{Cause: HeldByPasses, LoadAge: age}},
		"no group": {
			prepare: func() *Pool {
				p := twoClasses(10, 0, start)
				p.MarkStalled("g", later.Add(time.Second))
				p.groups["g"].probeAt = later.Add(time.Second)
				return p
			},
			want: Hold{Cause: HeldByOutage, LoadAge: age},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(hold(tt.prepare(), "x", tt.class, later), tt.want)
		})
	}
}

// longPasses returns a pool with a group whose passes were too long with all slots taken, so that
// its last class has no room although slots are free.
func longPasses(now time.Time) *Pool {
	p := newPool()
	p.SetClasses(2, now)
	p.SetPassCost(headroom.Cost{Base: 40 * time.Millisecond, PerRequest: 4 * time.Millisecond}, 10, 120*time.Millisecond)
	p.SetGroups(map[string]int{"g": 100}, now)
	g := p.groups["g"]
	g.passes.streamTime = 2 * time.Second
	g.passes.limit.Observe(160*time.Millisecond, 100, now)
	for i := range 60 {
		g.enter(i % 2)
	}
	p.ReportLoad(Load{Group: "g", Complete: true, Running: 60, Entries: 1}, now)
	return p
}

// Guards against telling that a request was held by others when it started at once.
func TestHoldOfARequestThatWaited(t *testing.T) {
	is := is.New(t)
	p := twoClasses(1, 0, start)
	is.Equal(hold(p, "a", 0, start).Cause, Cause(""))
	is.Equal(hold(p, "patient", 1, start).Cause, HeldBySlots)
	is.Equal(hold(p, "urgent", 0, start).Cause, HeldBySlots)
	is.Equal(p.WaitingByClass(), []int{1, 1})
	p.Done("a", cost, start)
	p.ReportLoad(Load{Group: "g", Complete: true, Entries: 1}, start)
	is.Equal(p.Decisions(), []Decision{{ID: "urgent", Group: "g", Hold: Hold{Cause: HeldBySlots}}})
	p.Done("urgent", cost, start)
	p.ReportLoad(Load{Group: "g", Complete: true, Entries: 1}, start)
	is.Equal(p.Decisions(), []Decision{{ID: "patient", Group: "g", Hold: Hold{Cause: HeldByClass}}})
	got := p.Tallies()
	is.Equal(got[0], Tally{Started: 2})
	is.Equal(got[1], Tally{Running: 1, Started: 1, GaveWay: 1})
}

// Guards against requests that are lost, decided twice or not counted when the priorities change
// while they wait, and when a class is out of range.
func TestEachRequestIsDecidedOnceWhileClassesChange(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 3))
		p := New(rng)
		p.SetGroups(map[string]int{"g": 4}, start)
		accepted, running, refused := map[string]bool{}, []string{}, 0
		now := start
		collect := func() {
			for _, d := range p.Decisions() {
				is.True(accepted[d.ID])
				delete(accepted, d.ID)
				if d.Refusal == nil {
					running = append(running, d.ID)
				} else {
					refused++
				}
			}
		}
		for i := range 600 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			switch rng.IntN(8) {
			case 0:
				p.SetClasses(rng.IntN(12)-1, now)
			case 1, 2:
				if len(running) > 0 {
					p.Done(running[0], cost, now)
					running = running[1:]
				}
			case 3:
				p.ReportLoad(Load{Group: "g", Complete: true, Running: len(running), Entries: 1}, now)
			default:
				r := request(strconv.Itoa(i))
				r.Class = rng.IntN(14) - 2
				accepted[r.ID] = true
				if p.Enqueue(r, now) != nil {
					delete(accepted, r.ID)
					refused++
				}
			}
			collect()
			is.True(p.waiting() <= len(accepted)) // those that have expired are told later
		}
		p.Tick(now.Add(time.Minute))
		collect()
		is.Equal(len(accepted), 0)
		is.Equal(len(p.waitingSince), 0)
		counted := 0
		for _, tally := range p.Tallies() {
			is.True(tally.GaveWay <= tally.Started+tally.Refused)
			is.Equal(tally.Waiting, 0)
			counted += int(tally.Refused)
		}
		is.Equal(counted, refused)
	}
}
