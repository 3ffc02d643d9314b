package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"verbenashift/core/request/outcome"
)

var start = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

// fundedBudget returns a budget that allows a few retries.
func fundedBudget(key Key) *Budget {
	b := NewBudgets(Limits{})
	for range 200 {
		b.Request(key, start)
	}
	return b.For(key)
}

func TestDecide(t *testing.T) {
	soon := start.Add(time.Nanosecond)
	tests := map[string]struct {
		state    Attempts
		kinds    []Kind
		deadline time.Time
		retry    bool
		want     outcome.Outcome
		reason   string
	}{
		"not sent":                   {Attempts{MayNotRepeat: true}, []Kind{NotSent}, time.Time{}, true, 0, ""},
		"refused":                    {Attempts{MayNotRepeat: true}, []Kind{Refused}, time.Time{}, true, 0, ""},
		"repeatable broken":          {Attempts{}, []Kind{Broken}, time.Time{}, true, 0, ""},
		"repeatable failed":          {Attempts{}, []Kind{Failed}, time.Time{}, true, 0, ""},
		"booking broken":             {Attempts{MayNotRepeat: true}, []Kind{Broken}, time.Time{}, false, outcome.Unknown, ReasonMayNotRepeat},
		"booking broken, refused":    {Attempts{MayNotRepeat: true}, []Kind{Broken, Refused}, time.Time{}, false, outcome.Unknown, ReasonMayNotRepeat},
		"booking failed":             {Attempts{MayNotRepeat: true}, []Kind{Failed}, time.Time{}, false, outcome.Failed, ReasonMayNotRepeat},
		"workspace limit":            {Attempts{}, []Kind{RefusedAll}, time.Time{}, false, outcome.NotRun, ReasonRefused},
		"limit after break":          {Attempts{}, []Kind{Broken, RefusedAll}, time.Time{}, false, outcome.Unknown, ReasonRefused},
		"failed, then limit":         {Attempts{}, []Kind{Failed, RefusedAll}, time.Time{}, false, outcome.Failed, ReasonRefused},
		"failed, broken, then limit": {Attempts{}, []Kind{Failed, Broken, RefusedAll}, time.Time{}, false, outcome.Unknown, ReasonRefused},
		"four refusals":              {Attempts{}, []Kind{Refused, Refused, Refused, Refused}, time.Time{}, false, outcome.NotRun, ReasonAttempts},
		"deadline":                   {Attempts{}, []Kind{Failed}, soon, false, outcome.Failed, ReasonDeadline},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			budget, returns := fundedBudget(Key{"erie", "target"}), &ReturnScheduler{}
			var d Decision
			for _, kind := range tt.kinds {
				d = Decide(&tt.state, kind, budget, returns, tt.deadline, start, rng)
			}
			is.Equal(d.Retry, tt.retry)
			if !d.Retry {
				is.Equal(d.Err.Outcome, tt.want)
				is.Equal(d.Err.Reason, tt.reason)
				is.True(d.Err.RetryAfter >= minRetryAfter)
			}
		})
	}
}

// Guards against retries that multiply the load on targets that fail.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	budgets, returns := NewBudgets(Limits{}), &ReturnScheduler{}
	requests, calls := 0, 0
	for n := range 60_000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		key := Key{fmt.Sprint("workspace-", n%930), "target"}
		budgets.Request(key, now)
		requests++
		a := Attempts{}
		for again := true; again; {
			calls++
			again = Decide(&a, Refused, budgets.For(key), returns, time.Time{}, now, rng).Retry
		}
	}
	is.True(float64(calls) <= 1.1*float64(requests))
	is.True(calls > requests) // some are retried
}

// Guards against one workspace spending the retries of others.
func TestBudgetIsPerWorkspace(t *testing.T) {
	is := is.New(t)
	budgets := NewBudgets(Limits{})
	noisy, calm := Key{"noisy", "target"}, Key{"calm", "target"}
	for n := range 1000 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		budgets.Request(noisy, now)
		budgets.For(noisy).Take(now)
		if n%10 == 0 {
			budgets.Request(calm, now)
		}
	}
	is.True(budgets.For(calm).Take(start.Add(10 * time.Second)))
	budgets.Forget(start.Add(time.Minute))
	is.Equal(len(budgets.keys), 0)
}

// Guards against a workspace with few requests that cannot retry after a lost packet.
func TestFloorGivesQuietWorkspaceARetry(t *testing.T) {
	is := is.New(t)
	g := NewBudgets(Limits{}).For(Key{"quiet", "target"})
	is.True(g.Take(start))
	is.True(!g.Take(start.Add(time.Second)))
	is.True(g.Take(start.Add(floorInterval)))
}

// Guards against refused callers that return together and overload the targets again.
func TestReturningCallersAreSpread(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	r := &ReturnScheduler{}
	for n := range 2000 {
		r.Completed(start.Add(time.Duration(n) * 10 * time.Millisecond))
	}
	back := map[int]int{}
	for n := range 1000 {
		now := start.Add(20*time.Second + time.Duration(n)*time.Millisecond)
		at := now.Add(r.NextRetryAfter(now, rng)).Sub(start)
		back[int(at.Seconds())]++
	}
	for _, n := range back {
		is.True(n <= 35) // callers in one second; 1000 were refused in one
	}
	idle := &ReturnScheduler{} // nothing completes: spread evenly over a minute
	is.True(idle.NextRetryAfter(start, rng) != idle.NextRetryAfter(start, rng))
}

// Guards against hedging that doubles the load on slow targets.
func TestHedgeWithinBudget(t *testing.T) {
	is := is.New(t)
	key := Key{"bole", "target"}
	hedges := 0
	budget := fundedBudget(key)
	for range 100 {
		if Hedge(&Attempts{Urgent: true}, time.Second, 100*time.Millisecond, budget, start) {
			hedges++
		}
	}
	is.True(hedges > 0 && hedges <= defaultKeyBurst+1)
	is.True(!Hedge(&Attempts{Urgent: true}, 200*time.Millisecond, 100*time.Millisecond, fundedBudget(key), start))
	is.True(!Hedge(&Attempts{Urgent: true, MayNotRepeat: true}, time.Second, 100*time.Millisecond, fundedBudget(key), start))
	is.True(!Hedge(&Attempts{}, time.Second, 100*time.Millisecond, fundedBudget(key), start))
}

// Guards against a long Retry-After for the few callers of an idle entry.
func TestFewCallersComeBackSoon(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	var r ReturnScheduler
	for i := range 3 {
		wait := r.NextRetryAfter(now, rng)
		is.True(wait <= time.Duration(float64(i+1)*1.2*float64(time.Second)))
	}
}

// Guards against more retries within a time span than a deployment allows, also just after a
// start.
func TestLimitsOfADeployment(t *testing.T) {
	is := is.New(t)
	b := NewBudgets(Limits{Ratio: 0.17, KeyBurst: 4, HopBurst: 4, KeyStart: 2, HopStart: 2})
	now := time.Unix(1000, 0)
	key := Key{"pool", "pool"}
	var made []time.Time
	for range 3000 {
		b.Request(key, now)
		if b.For(key).Take(now) {
			made = append(made, now)
		}
		now = now.Add(20 * time.Millisecond)
	}
	for i, at := range made {
		n := 0
		for _, other := range made[i:] {
			if other.Sub(at) < 10*time.Second {
				n++
			}
		}
		is.True(float64(n) <= 0.17*500+4+2)
	}
}
