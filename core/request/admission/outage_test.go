package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/queue"
)

// Guards against the loss of requests at an entry that is back before the engines: each request
// sent to probe them is refused, and few retries are available for all of them.
func TestStartingEntrySendsOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.ColdStart()
	p.SetGroups(map[string]int{"g0": 200, "g1": 200}, start)
	tried := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		for group, ids := range fill(t, p, 1, start.Add(at)) {
			tried += len(ids)
			is.True(p.Down(start.Add(at)))
			p.Refused(ids[0], group+"-x", start.Add(at))
			p.Done(ids[0], cost, start.Add(at))
		}
	}
	is.True(tried >= 2 && tried <= 2*int(time.Second/probeInterval+1))
	now := start.Add(time.Second)
	p.ReportLoad(Load{Group: "g1", Complete: true, Running: 5, Entries: 12}, now)
	is.True(!p.Down(now))
	is.True(len(placed(p)["g1"]) > 0)
}

// Guards against a starting entry that waits for a coordinator that does not report: a target
// that accepts a request proves that its group is available.
func TestAcceptedRequestProvesItsGroup(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.ColdStart()
	p.SetGroups(map[string]int{"g0": 200}, start)
	got := fill(t, p, 5, start)
	is.Equal(len(got["g0"]), 1)
	p.Accepted(got["g0"][0], start.Add(time.Millisecond))
	is.Equal(len(placed(p)["g0"]), 4)
}

// Guards against sending requests that are refused while the coordinator reports a missing
// rank, and against waiting any longer than that.
func TestGroupWithLostRankIsProbedSeldom(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g0": 200}, start)
	tried := 0
	for i := range 15 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		p.ReportLoad(Load{Group: "g0", Complete: false}, now)
		got := fill(t, p, 1, now)["g0"]
		tried += len(got)
		for _, id := range got {
			p.Refused(id, fmt.Sprint("x", i%3), now)
			p.Done(id, cost, now)
		}
	}
	is.True(tried <= int(3*time.Second/missingRankProbeInterval)+1)
	now := start.Add(3 * time.Second)
	p.ReportLoad(Load{Group: "g0", Complete: true}, now)
	is.True(len(placed(p)["g0"]) >= 1)
}

// recovery simulates the callers of an entry whose engines are down for two seconds: a new one
// arrives each 20 ms, and after one second those return whose attempts failed at the outage.
type recovery struct {
	pool *Pool
	now  time.Time
	next int
	// lost and served count the retrying callers.
	lost, served int
}

func (r *recovery) arrive(retry bool) {
	r.next++
	id := fmt.Sprintf("%t-%d", retry, r.next)
	q := Request{ID: id, Workspace: fmt.Sprint("w", r.next%8), Cost: cost, Objective: objective, CallerTimeout: 2 * time.Second, Retry: retry}
	if refusal := r.pool.Enqueue(q, r.now); refusal != nil && retry {
		r.lost++
	}
}

func (r *recovery) collect(running map[string]time.Time) {
	for _, s := range r.pool.Decisions() {
		retry := s.ID[0] == 't'
		switch {
		case s.Refusal == nil:
			running[s.ID] = r.now.Add(time.Second)
			if retry {
				r.served++
			}
		case retry:
			r.lost++
		}
	}
}

// Guards against the loss of callers that have no other attempt left: when engines return after
// a power loss, retrying callers go first, and no request is refused because of an estimated
// wait.
func TestReturningCallersGoFirstAfterAnOutage(t *testing.T) {
	is := is.New(t)
	r := &recovery{pool: newPool(), now: start}
	r.pool.SetGroups(map[string]int{"g0": 100}, start)
	running := map[string]time.Time{}
	const step, back, open = 20 * time.Millisecond, time.Second, 2 * time.Second
	for at := time.Duration(0); at < 6*time.Second; at += step {
		r.now = start.Add(at)
		for id, end := range running {
			if !r.now.Before(end) {
				delete(running, id)
				r.pool.Done(id, cost, r.now)
			}
		}
		if at%(200*time.Millisecond) == 0 {
			r.pool.ReportLoad(Load{Group: "g0", Complete: at >= open, Running: len(running), Entries: 1}, r.now)
		}
		r.arrive(false)
		for range 4 {
			if at >= back && at < back+500*time.Millisecond {
				r.arrive(true)
			}
		}
		r.pool.Tick(r.now)
		r.collect(running)
	}
	t.Logf("served %d, lost %d", r.served, r.lost)
	is.Equal(r.lost, 0)
}

// Guards against entries that together take the free slots of one moment several times over, so
// that their requests wait at the engines until the callers give up.
func TestWaitingEntriesShareFreeSlots(t *testing.T) {
	is := is.New(t)
	const slots, entries = 240, 12
	for _, running := range []int{0, 6, 60, 200} {
		e := queue.EngineLoad{Slots: slots, Running: running, Entries: entries, Waiting: true}
		sum := 0
		for i := range entries {
			own := running / entries
			if i < running%entries {
				own++
			}
			sum += queue.EntryLimit(e, own) - own
		}
		is.True(sum <= slots-running+entries)
		is.True(sum >= (slots-running)*9/10)
	}
}

// Guards against pointless waits at a service whose groups have lacked a rank for long: all
// requests but the probes are refused at once.
func TestServiceDownForLongRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.ColdStart()
	p.SetGroups(map[string]int{"g0": 200}, start)
	waited := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if i%2 == 0 {
			p.ReportLoad(Load{Group: "g0", Complete: false}, now)
		}
		refusal := p.Enqueue(request(fmt.Sprint("r", i)), now)
		p.Tick(now)
		for _, s := range p.Decisions() {
			if s.Refusal == nil {
				p.Refused(s.ID, fmt.Sprint("x", i%3), now)
				p.Done(s.ID, cost, now)
			}
		}
		if now.Sub(start) > 12*time.Second && refusal == nil {
			waited++
		}
	}
	is.True(waited <= 9) // one a second, of ten
}

// Guards against refusing callers of a working group whose coordinator cannot read one of the
// ranks and reports the group as incomplete.
func TestWrongCoordinatorReportStopsNoRequests(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g0": 200}, start)
	const first = 140 * time.Millisecond // to the first event
	refused, served := 0, 0
	begun := map[string]time.Time{}
	for i := range 300 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if i%20 == 0 {
			p.ReportLoad(Load{Group: "g0", Complete: i < 20, Running: 10}, now)
		}
		for id, at := range begun {
			if now.Sub(at) >= first {
				p.Accepted(id, now)
				p.Done(id, cost, now)
				delete(begun, id)
				served++
			}
		}
		if refusal := p.Enqueue(request(fmt.Sprint("r", i)), now); refusal != nil {
			refused++
		}
		p.Tick(now)
		for _, s := range p.Decisions() {
			if s.Refusal != nil {
				refused++
				continue
			}
			begun[s.ID] = now
		}
	}
	is.Equal(refused, 0)
	is.True(served >= 270)
}

// Guards against refused requests at a group that has just become available while no coordinator
// reports its load: the limit has to grow as the group accepts requests.
func TestLimitGrowsWithoutACoordinator(t *testing.T) {
	is := is.New(t)
	const slots, entries = 48, 2
	p := newPool()
	p.ColdStart()
	p.SetGroups(map[string]int{"g0": slots}, start)
	p.ReportLoad(Load{Group: "g0", Complete: false, Entries: entries}, start)
	sent := fill(t, p, slots, start)["g0"]
	is.Equal(len(sent), 1)
	now := start
	for range 5 {
		now = now.Add(60 * time.Millisecond)
		for _, id := range sent {
			p.Accepted(id, now)
		}
		sent = placed(p)["g0"]
	}
	is.True(p.Load().Running > slots/2)
	is.True(p.Load().Running <= queue.StaleLimit(slots, entries))
}
