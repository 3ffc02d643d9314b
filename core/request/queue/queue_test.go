package queue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenashift/core/request/outcome"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func newQueue(l Limits) *Queue { return New(l, rand.New(rand.NewPCG(1, 2))) }

// Guards against a workspace that exceeds its share by long requests or idle times.
func TestServiceBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 150
		weights := []float64{1, rapid.Float64Range(0.25, 8).Draw(t, "weight"), 2}
		largest := []int64{
			rapid.Int64Range(1, 500).Draw(t, "largest"), rapid.Int64Range(1, 500).Draw(t, "largest"), 300,
		}
		errMost := rapid.Int64Range(0, 100).Draw(t, "error")
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := newQueue(Limits{Slots: slots, Items: 1 << 20, Tokens: 1 << 40})
		next := 0
		add := func(w int) {
			next++
			q.Enqueue(Item{
				ID: fmt.Sprint(next), Workspace: fmt.Sprint(w), Priority: Normal, Weight: weights[w],
				Cost: rapid.Int64Range(1, largest[w]).Draw(t, "cost"),
			}, start)
		}
		add(1)
		for range steps {
			add(0)
			add(0)
			add(1)
		}
		var running []Item
		bound := 0.0
		for w := range 2 {
			bound += (float64(largest[w]) + 2*float64(slots)*float64(errMost)) / weights[w]
		}
		service := func(w int) float64 { return q.classes[Normal].flows[fmt.Sprint(w)].counter }
		from := service(0) - service(1)
		low, high := from, from
		for range steps {
			if rapid.Bool().Draw(t, "third") {
				add(2)
			}
			if item, ok := q.Next(start); ok {
				running = append(running, item)
			}
			diff := service(0) - service(1)
			low, high = min(low, diff), max(high, diff)
			if high-low > bound+1e-6 {
				t.Fatalf("service differs by %v over an interval, bound %v", high-low, bound)
			}
			if len(running) == slots {
				i := rapid.IntRange(0, slots-1).Draw(t, "ends")
				wrong := rapid.Int64Range(-errMost, errMost).Draw(t, "wrong")
				q.Done(running[i].ID, max(0, running[i].Cost+wrong), start)
				running = append(running[:i], running[i+1:]...)
			}
		}
	})
}

// Guards against a workspace that holds every slot while the single request of another waits.
func TestReservedSlots(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 16, Reserve: 2})
	n := 0
	add := func(workspace string, count int, cost int64) {
		for range count {
			n++
			is.True(q.Enqueue(Item{ID: fmt.Sprint(n), Workspace: workspace, Priority: Normal, Cost: cost}, start) == nil)
		}
	}
	fill := func() (started []string) {
		for item, ok := q.Next(start); ok; item, ok = q.Next(start) {
			started = append(started, item.Workspace)
		}
		return started
	}
	add("home", 1, 1000)
	add("studio", 1, 10)
	add("importer", 200, 10)
	is.Equal(len(fill()), 14)
	add("home", 1, 1000) // the importer's counter is lower: it is skipped
	is.Equal(fill(), []string{"home"})
	add("arranger", 2, 10)
	is.Equal(fill(), []string{"arranger"})
	alone := newQueue(Limits{Slots: 16, Reserve: 2})
	q = alone
	add("importer", 20, 10)
	is.Equal(len(fill()), 16)
}

// Guards against a workspace that saves up service while it is idle.
func TestIdleEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 1, Items: 1 << 16, Tokens: 1 << 30, WorkspaceItems: 1 << 16})
	for i := range 400 {
		is.True(q.Enqueue(Item{ID: fmt.Sprint("a", i), Workspace: "studio", Priority: Normal, Cost: 10}, start) == nil)
	}
	serve := func(n int) map[string]int {
		had := map[string]int{}
		for range n {
			item, ok := q.Next(start)
			is.True(ok)
			had[item.Workspace]++
			q.Done(item.ID, item.Cost, start)
		}
		return had
	}
	serve(200)
	for i := range 100 {
		is.True(q.Enqueue(Item{ID: fmt.Sprint("b", i), Workspace: "seller", Priority: Normal, Cost: 10}, start) == nil)
	}
	had := serve(100)
	is.True(had["studio"] >= 49) // half of the service, less one item
}

// Guards against giving back estimates from before an idle time, and against responses that are
// longer than charged.
func TestWrongEstimates(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 5, Items: 1 << 16, Tokens: 1 << 30, WorkspaceItems: 1 << 16})
	add := func(workspace, id string, n int, cost int64) {
		for i := range n {
			is.True(q.Enqueue(Item{ID: fmt.Sprint(id, i), Workspace: workspace, Priority: Normal, Cost: cost}, start) == nil)
		}
	}
	serve := func(n int, actual int64) (studio int) {
		for range n {
			item, ok := q.Next(start)
			is.True(ok)
			if item.Workspace == "studio" {
				studio++
			}
			q.Served(item.ID, actual/2, start)
			q.Done(item.ID, actual, start)
		}
		return studio
	}
	add("seller", "big", 4, 1000)
	for range 4 {
		q.Next(start)
	}
	add("studio", "s", 1000, 10)
	serve(400, 10)
	add("seller", "b", 200, 10)
	for i := range 4 {
		q.Done(fmt.Sprint("big", i), 1, start)
	}
	is.True(serve(100, 10) >= 49)
	item, _ := q.Next(start)
	before := q.classes[Normal].flows[item.Workspace].counter
	q.Served(item.ID, 50, start) // 10 tokens were charged at the start
	is.Equal(q.classes[Normal].flows[item.Workspace].counter, before+40)
	q.Done(item.ID, 50, start)
	before = q.classes[Normal].flows["studio"].counter
	studio := serve(100, 100)
	is.Equal(q.classes[Normal].flows["studio"].counter, before+float64(studio)*100)
}

// Guards against urgent requests that stop all other work.
func TestUrgentFloodIsBounded(t *testing.T) {
	is := is.New(t)
	const cost, burst = 10, 200
	q := newQueue(Limits{Slots: 1, Items: 400, Tokens: 4000, Burst: burst, UrgentShare: 0.6})
	var urgent, normal, refused int
	for i := range 6000 {
		for w := range 8 {
			q.Enqueue(Item{ID: fmt.Sprintf("u%d.%d", i, w), Workspace: fmt.Sprint("u", w), Cost: cost}, start)
		}
		if q.Enqueue(Item{ID: fmt.Sprint("n", i), Workspace: "home", Priority: Normal, Cost: cost}, start) != nil {
			refused++
		}
		item, _ := q.Next(start)
		if item.Priority == Urgent {
			urgent += cost
		} else {
			normal += cost
		}
		q.Done(item.ID, cost, start)
	}
	is.True(normal > 0)
	is.True(float64(urgent) <= burst+cost+1.5*float64(normal)) // 0.6/0.4 = 1.5
	for _, s := range q.TakeShed(nil) {
		is.Equal(s.Priority, Urgent) // no normal request was shed for an urgent one
	}
	is.True(refused < 6000*7/10) // the workspace of normal requests sends 2.5 times what it gets
}

// Guards against a queue that one workspace fills.
func TestOneWorkspaceCannotFillTheQueue(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 1, Items: 100, Tokens: 1000, WorkspaceItems: 100, WorkspaceTokens: 1000, NormalShare: 0.9})
	for i := range 500 {
		q.Enqueue(Item{ID: fmt.Sprint("a", i), Workspace: "importer", Priority: Normal, Cost: 10}, start)
	}
	is.Equal(q.Load().Items, 90)
	refusal := q.Enqueue(Item{ID: "b", Workspace: "home", Priority: Normal, Cost: 10}, start)
	is.True(refusal == nil)
	shed := q.TakeShed(nil)
	is.Equal(len(shed), 1)
	is.Equal(shed[0].Workspace, "importer")
	is.Equal(shed[0].Refusal.Outcome, outcome.NotRun)

	small := newQueue(Limits{Slots: 1, Items: 100, Tokens: 1000})
	for i := range 26 {
		refusal = small.Enqueue(Item{ID: fmt.Sprint(i), Workspace: "importer", Priority: Normal, Cost: 10}, start)
	}
	is.Equal(refusal.Reason, ReasonWorkspaceFull)
	is.True(refusal.RetryAfter > 0)
}

// Guards against keeping a request that cannot start in time until its deadline.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 1, Rate: 100})
	later := start.Add(time.Minute)
	is.True(q.Enqueue(Item{ID: "runs", Workspace: "a", Cost: 200, Deadline: later}, start) == nil)
	_, ok := q.Next(start)
	is.True(ok)
	is.True(q.Enqueue(Item{ID: "waits", Workspace: "a", Cost: 100, Deadline: start.Add(2500 * time.Millisecond)}, start) == nil)
	refusal := q.Enqueue(Item{ID: "late", Workspace: "a", Cost: 1, Deadline: start.Add(time.Second)}, start)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(refusal.Reason, ReasonDeadline)
	at, ok := q.NextDeadline()
	is.True(ok)
	q.Done("runs", 200, at)
	_, ok = q.Next(at)
	is.True(!ok)
	shed := q.TakeShed(nil)
	is.Equal(len(shed), 1)
	is.Equal(shed[0].ID, "waits")
	is.Equal(shed[0].Refusal.Reason, ReasonExpired)
}

// Guards against best-effort callers that wait only to be refused.
func TestBestEffortIsRefusedFirst(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 1, Rate: 100, Burst: 50})
	for i := range 6 {
		is.True(q.Enqueue(Item{ID: fmt.Sprint(i), Workspace: "a", Priority: Normal, Cost: 100}, start) == nil)
	}
	deadline := start.Add(15 * time.Second)
	is.True(q.Enqueue(Item{ID: "b", Workspace: "b", Priority: BestEffort, Cost: 100}, start) == nil)
	is.True(q.Enqueue(Item{ID: "n", Workspace: "b", Priority: Normal, Cost: 100, Deadline: deadline}, start) == nil)
	refusal := q.Enqueue(Item{ID: "e", Workspace: "b", Priority: BestEffort, Cost: 100, Deadline: deadline}, start)
	is.True(refusal != nil && refusal.Reason == ReasonDeadline)
}

// Guards against reporting "not run" for a request whose identifier already waits.
func TestDuplicateIsUnknown(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{})
	is.True(q.Enqueue(Item{ID: "x"}, start) == nil)
	is.Equal(q.Enqueue(Item{ID: "x"}, start).Outcome, outcome.Unknown)
}

// Guards against refused callers that retry all at once.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 1, Items: 1, Rate: 100})
	q.Enqueue(Item{ID: "x", Workspace: "a", Cost: 1000}, start)
	seconds := map[int]int{}
	for i := range 1000 {
		refusal := q.Enqueue(Item{ID: fmt.Sprint(i), Workspace: "b", Cost: 1000}, start)
		seconds[int(refusal.RetryAfter/time.Second)]++
	}
	for _, n := range seconds {
		is.True(n < 200) // drain time is 10 s: spread over 5 to 15 s
	}
}

// Guards against accepted requests that are lost or end twice.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(Limits{Slots: 3, Items: 20, Tokens: 400, Rate: 50})
		now, open, running := start, map[string]bool{}, map[string]bool{}
		end := func(id string) {
			if !open[id] {
				t.Fatalf("request %s ended twice or never began", id)
			}
			delete(open, id)
		}
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				item := Item{ID: fmt.Sprint(i), Workspace: fmt.Sprint(i % 5), Cost: rapid.Int64Range(0, 60).Draw(t, "cost")}
				item.Priority = Priority(rapid.IntRange(0, 3).Draw(t, "priority"))
				item.Weight = rapid.SampledFrom([]float64{0, 1, 3, math.NaN()}).Draw(t, "weight")
				if rapid.Bool().Draw(t, "deadline") {
					item.Deadline = now.Add(2 * time.Second)
				}
				if refusal := q.Enqueue(item, now); refusal == nil {
					open[item.ID] = true
				} else if refusal.Outcome != outcome.NotRun {
					t.Fatalf("refusal %v", refusal)
				}
			case 2:
				if item, ok := q.Next(now); ok {
					end(item.ID)
					running[item.ID] = true
				}
			case 3:
				for id := range running {
					q.Served(id, 5, now)
					q.Done(id, rapid.Int64Range(0, 90).Draw(t, "tokens"), now)
					delete(running, id)
					break
				}
			case 4:
				if _, ok := q.Remove(fmt.Sprint(i - 3)); ok {
					end(fmt.Sprint(i - 3))
				}
			}
			for _, s := range q.TakeShed(nil) {
				end(s.ID)
			}
			for p := range q.classes {
				c := &q.classes[p]
				waiting, active := 0.0, 0.0
				for _, f := range c.flows {
					if f.items > 0 {
						waiting += f.weight
					}
					if f.items+f.running > 0 {
						active += f.weight
					}
				}
				if math.Abs(waiting-c.waitingWeight)+math.Abs(active-c.activeWeight) > 1e-6 {
					t.Fatalf("weights %v and %v, want %v and %v", c.waitingWeight, c.activeWeight, waiting, active)
				}
			}
			if l := q.Load(); l.Items != len(open) || l.Running != len(running) || l.Items > 20 || q.remaining < 0 {
				t.Fatalf("load %+v with %d open, %d running, remaining %d", l, len(open), len(running), q.remaining)
			}
		}
	})
}

// Guards against an idle hour that makes the target look slow.
func TestRateIsLearnedWhenBusy(t *testing.T) {
	is := is.New(t)
	m := meter{rate: 100}
	now := start
	feed := func(tokens int64, saturated bool, n int) {
		for range n {
			now = now.Add(250 * time.Millisecond)
			m.observe(tokens, saturated, now)
		}
	}
	feed(5, false, 100)
	is.Equal(m.rate, 100.0)
	feed(100, true, 100)
	is.True(math.Abs(m.rate-400) < 1)
	feed(50, true, 100)
	is.True(math.Abs(m.rate-200) < 1)
}

func TestSteadyStateAllocatesNothing(t *testing.T) {
	is := is.New(t)
	q := newQueue(Limits{Slots: 8})
	ids := make([]string, 512)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	deadline, n := start.Add(time.Hour), 0
	cycle := func() {
		for i, id := range ids {
			q.Enqueue(Item{ID: id, Workspace: ids[i%40], Priority: Priority(i % 3), Cost: 20, Deadline: deadline}, start)
		}
		for item, ok := q.Next(start); ok; item, ok = q.Next(start) {
			q.Served(item.ID, 7, start)
			q.Done(item.ID, 19, start)
			n++
		}
	}
	cycle()
	is.Equal(testing.AllocsPerRun(20, cycle), 0.0)
	is.Equal(n, 512*22)
}
