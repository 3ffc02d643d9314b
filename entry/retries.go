package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/retry"
)

// hopTarget is the hop whose retries are budgeted.
const hopTarget = "target"

// How long the budget of an idle workspace is retained, and how often idle ones
// are looked for.
const (
	budgetTTL        = 10 * time.Minute
	budgetScanPeriod = time.Minute
)

// retries holds the retry budgets of the workspaces and schedules the retries
// of callers whose requests were refused.
type retries struct {
	mu       sync.Mutex
	budgets  *retry.Budgets
	schedule retry.ReturnScheduler
	crashes  retry.TargetCrashes
	rng      *rand.Rand
	lastScan time.Time
}

func newRetries() *retries {
	return &retries{budgets: retry.NewBudgets(retry.Limits{}), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// recordRequest records a new request, which adds a fraction of a retry to its
// workspace's budget.
func (r *retries) recordRequest(workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.budgets.Request(retry.Key{Workspace: workspace, Hop: hopTarget}, now)
	if now.Sub(r.lastScan) > budgetScanPeriod {
		r.lastScan = now
		r.budgets.Forget(now.Add(-budgetTTL))
	}
}

// retry takes one retry from a workspace's budget and reports whether there was
// one. Without the budget a storm of retries would double the load just when
// targets fail.
func (r *retries) retry(workspace string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.For(retry.Key{Workspace: workspace, Hop: hopTarget}).Take(time.Now())
}

// attemptBroke records an attempt that broke at a target, and reports whether its
// retry is exempt from the budget.
func (r *retries) attemptBroke(target string, started time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.AttemptBroke(target, started, time.Now())
}

// recordEnd records the outcome of a request. For one that was refused it sets a
// Retry-After that spreads the callers' retries over time.
func (r *retries) recordEnd(err *outcome.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if err == nil {
		r.schedule.Completed(now)
		return
	}
	if err.Outcome == outcome.NotRun && err.Status == 0 {
		err.RetryAfter = max(err.RetryAfter, r.schedule.NextRetryAfter(now, r.rng))
	}
}
