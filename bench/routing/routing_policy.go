package routing

import (
	"fmt"
	"math/rand/v2"

	"verbenashift/core/membership/health"
	"verbenashift/core/request/retry"
	"verbenashift/core/request/route"
)

// policy is a load-balancing policy.
type policy string

// The policies. chosen is the one that the product uses; the others are
// baselines.
const (
	chosen        policy = "chosen"
	noAffinity    policy = "chosen without affinity"
	unbounded     policy = "chosen with unbounded affinity"
	atRandom      policy = "random"
	roundRobin    policy = "round robin"
	leastReported policy = "least of all by report"
	twoReported   policy = "least of two by report"
	twoInFlight   policy = "least of two by own in flight"
)

// entry routes the requests of its callers.
type entry struct {
	*trial
	table      *route.Table
	monitor    *health.Monitor
	budgets    *retry.Budgets
	returns    retry.ReturnScheduler
	rng        *rand.Rand
	reported   []float64 // tokens queued, from late reports
	inFlight   []int
	nextTarget int
}

func newEntry(t *trial, index int) *entry {
	n := t.set.targets
	bound := 0.0
	if t.set.policy == unbounded {
		bound = 1e9
	}
	e := &entry{
		trial: t,
		table: route.New(route.Options{
			Entry: fmt.Sprint("entry-", index), Zone: fmt.Sprint("zone-", index%3),
			Index: index, Entries: t.set.entries, Choices: t.set.choices,
			LoadBound: bound,
		}),
		monitor:    health.New(t.set.health),
		budgets:    retry.NewBudgets(retry.Limits{}),
		rng:        rand.New(rand.NewPCG(t.set.seed, uint64(index))),
		reported:   make([]float64, n),
		inFlight:   make([]int, n),
		nextTarget: index * 7,
	}
	e.table.Update(fleet(n))
	members := make([]health.Member, n)
	for i := range members {
		members[i] = health.Member{Name: fmt.Sprint("target-", i), Pool: model}
	}
	e.monitor.Update(members)
	return e
}

// pick returns the target for a request, or false to refuse it.
func (e *entry) pick(j *job) (int, bool) {
	n := len(e.targets)
	switch e.set.policy {
	case atRandom:
		return e.rng.IntN(n), true
	case roundRobin:
		e.nextTarget++
		return e.nextTarget % n, true
	case leastReported:
		return e.least(n, func(k int) int { return k }, func(i int) float64 { return e.reported[i] }), true
	case twoReported:
		return e.least(2, e.any, func(i int) float64 { return e.reported[i] }), true
	case twoInFlight:
		return e.least(2, e.any, func(i int) float64 { return float64(e.inFlight[i]) }), true
	default:
		return e.table.Pick(e.query(j), e.time(), e.rng)
	}
}

func (e *entry) any(int) int { return e.rng.IntN(len(e.targets)) }

// least returns the candidate with the lowest score out of n, at random among
// equal ones.
func (e *entry) least(n int, candidate func(int) int, score func(int) float64) int {
	best, same := candidate(0), 1
	for k := 1; k < n; k++ {
		i := candidate(k)
		switch {
		case score(i) < score(best):
			best, same = i, 1
		case score(i) == score(best):
			same++
			if e.rng.IntN(same) == 0 {
				best = i
			}
		}
	}
	return best
}

func (e *entry) query(j *job) *route.Query {
	q := &route.Query{Model: model, Cost: j.cost, MayNotRepeat: j.mayNotRepeat, Exclude: j.excluded}
	if e.set.policy != noAffinity {
		q.Prefix, q.CacheSavings = j.prefix, j.cost*cacheSavings
	}
	return q
}

// applyHealth applies the health changes of the monitor to the table.
func (e *entry) applyHealth() {
	for _, c := range e.monitor.Tick(e.time(), e.rng) {
		if e.set.noSlowStart && c.State == health.SlowStart {
			c.Share = 1
		}
		e.table.SetHealth(c.Target, c.Share, c.Probe)
	}
}
