package queue

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// overload simulates callers that arrive evenly for 20 s at engines with 20 slots, each taken
// for a second. A refused caller retries once, when its Retry-After is over.
type overload struct {
	queue   *Queue
	now     time.Time
	longest func(retry bool, backlogAge time.Duration) time.Duration
	emptyAt time.Time
	arrived map[string]time.Time
	retries []time.Time
	ends    map[string]time.Time
	next    int
	// arrivals counts callers, onTime those that started in time at their first attempt, served
	// all that started.
	arrivals, onTime, served int
}

const (
	replayStep      = 10 * time.Millisecond
	replayObjective = 500 * time.Millisecond
	replayService   = 200 * time.Millisecond
	// replayCost is the work of a request in tokens.
	replayCost = 900
)

func newOverload(share float64, longest func(retry bool, backlogAge time.Duration) time.Duration) *overload {
	q := New(Limits{Slots: 20, Rate: 20 * replayCost, UrgentShare: share}, rand.New(rand.NewPCG(1, 2)))
	return &overload{queue: q, now: start, emptyAt: start, longest: longest, arrived: map[string]time.Time{}, ends: map[string]time.Time{}}
}

func (o *overload) arrive(retry bool) {
	o.next++
	id := strconv.Itoa(o.next)
	item := Item{ID: id, Workspace: "w", Priority: Normal, Cost: replayCost, Deadline: o.now.Add(o.longest(retry, o.now.Sub(o.emptyAt)))}
	if retry {
		item.Priority = Urgent
	} else {
		o.arrivals++
		o.arrived[id] = o.now
	}
	if refusal := o.queue.Enqueue(item, o.now); refusal != nil && !retry {
		o.retries = append(o.retries, o.now.Add(refusal.RetryAfter))
	}
}

func (o *overload) step() {
	o.now = o.now.Add(replayStep)
	for id, end := range o.ends {
		if !o.now.Before(end) {
			delete(o.ends, id)
			o.queue.Done(id, replayCost, o.now)
		}
	}
	later := o.retries[:0]
	due := 0
	for _, at := range o.retries {
		if o.now.Before(at) {
			later = append(later, at)
			continue
		}
		due++
	}
	o.retries = later
	for range due {
		o.arrive(true)
	}
	o.queue.Expire(o.now)
	for item, ok := o.queue.Next(o.now); ok; item, ok = o.queue.Next(o.now) {
		o.begin(item)
	}
	if o.queue.Load().Items == 0 {
		o.emptyAt = o.now
	}
	for _, s := range o.queue.TakeShed(nil) {
		if s.Priority == Normal {
			o.retries = append(o.retries, o.now.Add(s.Refusal.RetryAfter))
		}
	}
}

func (o *overload) begin(item Item) {
	o.ends[item.ID] = o.now.Add(time.Second)
	o.served++
	if at, first := o.arrived[item.ID]; first && o.now.Sub(at) <= replayObjective-replayService {
		o.onTime++
	}
}

// run simulates 20 s in which a caller arrives every given number of steps, and returns the
// part of the callers that were on time.
func (o *overload) run(every int) float64 {
	for i := range int(20 * time.Second / replayStep) {
		o.step()
		if i%every == 0 {
			o.arrive(false)
		}
	}
	return float64(o.onTime) / float64(o.arrivals)
}

// inTime returns how long requests may wait to be on time.
func inTime(retry bool, backlogAge time.Duration) time.Duration {
	return Wait{Objective: replayObjective, Service: replayService, BacklogAge: backlogAge, Retry: retry}.Longest()
}

// Guards against an overload in which hardly any request is on time: either all wait in one
// queue, or retrying callers go first.
func TestOverload(t *testing.T) {
	is := is.New(t)
	play := func(name string, share float64, longest func(bool, time.Duration) time.Duration) (onTime float64, served int) {
		o := newOverload(share, longest)
		onTime = o.run(4) // 25 callers a second for 20 slots
		t.Logf("%s: on time %.2f, served %d of %d", name, onTime, o.served, o.arrivals)
		return onTime, o.served
	}
	limited, servedLimited := play("refused when late", 0.3, inTime)
	single, servedSingle := play("one queue", 0.3, func(bool, time.Duration) time.Duration { return Wait{Service: replayService}.CallerLimit() })
	first, servedFirst := play("retries first", 0.9, inTime)
	is.True(limited > 0.55)
	is.True(single < 0.25)
	is.True(first < 0.25)
	// The engines have as much to do in each case.
	is.True(servedLimited >= servedSingle && servedLimited >= servedFirst)
}

// Guards against refusing callers while there are slots for all.
func TestNoOverload(t *testing.T) {
	is := is.New(t)
	o := newOverload(0.3, inTime)
	is.Equal(o.run(6), 1.0)
	is.Equal(o.served, o.arrivals)
}

func TestLongestWait(t *testing.T) {
	const service = 200 * time.Millisecond
	last := defaultCallerTimeout - service - startMargin
	for _, tt := range []struct {
		name string
		w    Wait
		want time.Duration
	}{
		{"a moment", Wait{Objective: 500 * time.Millisecond, Service: service, BacklogAge: ShortBacklog}, last},
		{"in time", Wait{Objective: 500 * time.Millisecond, Service: service, BacklogAge: ShortBacklog + 1}, 300 * time.Millisecond},
		{"slow engines", Wait{Objective: 500 * time.Millisecond, Service: 450 * time.Millisecond, BacklogAge: 2 * time.Second}, minWait},
		{"no objective", Wait{Service: service, BacklogAge: 2 * time.Second}, minWait},
		{"all refuse", Wait{Objective: 500 * time.Millisecond, Service: service, BacklogAge: 2 * time.Second, Closed: true}, maxClosedWait},
		{"comes back", Wait{Objective: 500 * time.Millisecond, Service: service, BacklogAge: 2 * time.Second, Retry: true, Closed: true}, last},
		{"long timeout", Wait{Service: service, CallerTimeout: 5 * time.Second}, 5*time.Second - service - startMargin},
		{"short timeout", Wait{Objective: 500 * time.Millisecond, Service: service, CallerTimeout: 250 * time.Millisecond, BacklogAge: 2 * time.Second}, minWait},
	} {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(tt.w.Longest(), tt.want) })
	}
}
