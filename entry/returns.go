package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/retry"
)

// hopTarget names the step of the path whose retries are budgeted.
const hopTarget = "target"

// The bounds of the budgets of workspaces that have gone quiet.
const (
	budgetLife  = 10 * time.Minute
	budgetSweep = time.Minute
)

// returns holds the retry budgets, and the times at which callers whose
// requests were given up come back.
type returns struct {
	mu      sync.Mutex
	budgets *retry.Budgets
	returns retry.ReturnScheduler
	losses  retry.TargetCrashes
	rng     *rand.Rand
	swept   time.Time
}

func newReturns() *returns {
	return &returns{budgets: retry.NewBudgets(retry.Limits{}), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// request notes a new request, which earns its workspace part of a retry.
func (r *returns) request(workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.budgets.Request(retry.Key{Workspace: workspace, Hop: hopTarget}, now)
	if now.Sub(r.swept) > budgetSweep {
		r.swept = now
		r.budgets.Forget(now.Add(-budgetLife))
	}
}

// retry spends one retry of a workspace and reports whether it had one. A
// storm of retries would double the load just when targets fail.
func (r *returns) retry(workspace string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.For(retry.Key{Workspace: workspace, Hop: hopTarget}).Take(time.Now())
}

// lost notes an attempt that broke at a target, and reports whether its retry is
// free of the budget.
func (r *returns) lost(target string, started time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.losses.AttemptBroke(target, started, time.Now())
}

// end notes how a request ended, and spreads the return of a caller whose
// request was given up.
func (r *returns) end(err *outcome.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if err == nil {
		r.returns.Completed(now)
		return
	}
	if err.Outcome == outcome.NotRun && err.Status == 0 {
		err.RetryAfter = max(err.RetryAfter, r.returns.NextRetryAfter(now, r.rng))
	}
}
