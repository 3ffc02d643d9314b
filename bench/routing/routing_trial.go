package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"verbenashift/core/membership/health"
	"verbenashift/core/request/retry"
	"verbenashift/core/request/route"
)

// settings describe one trial.
type settings struct {
	policy   policy
	seed     uint64
	targets  int
	entries  int
	choices  int
	load     float64 // part of the capacity offered
	prefixes int     // how many there are; 0 means none
	bookings float64 // part of requests that may not be repeated
	length   time.Duration
	// lag is the age of load reports when they arrive; heartbeats are the
	// first-hand loads that arrive without requests, if any.
	lag        time.Duration
	heartbeats bool
	eject      bool
	hints      bool
	health     health.Options
	// naive retries three times at once, whatever the request.
	naive bool
	// comeBack makes refused callers return; fixedReturn after one second.
	comeBack    bool
	fixedReturn bool
	noSlowStart bool
	// events change targets at their times.
	events map[time.Duration]func(*trial)
}

// The periods of the trial's recurring messages.
const (
	reportEvery    = 500 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	tickEvery      = 250 * time.Millisecond
	hintEvery      = 500 * time.Millisecond
	hintDelay      = time.Second
	naiveTries     = 3
)

// sample is one request that got its answer.
type sample struct {
	arrived time.Duration
	wait    time.Duration // until it was in the batch
	total   time.Duration // until its last token
	target  int
}

// sending is one call to a target.
type sending struct {
	at     time.Duration
	target int
}

// trial is one run of the model.
type trial struct {
	*clock
	set      settings
	targets  []*target
	entries  []*entry
	samples  []sample
	sent     []sending
	requests int
	calls    int
	refusals int
	doubles  int // requests that may not be repeated and ran twice
	// offered counts the requests of each second, callers' returns included.
	offered map[int]int
}

func run(set settings) *trial {
	t := &trial{
		clock:   &clock{random: rand.New(rand.NewPCG(set.seed, 99))},
		set:     set,
		offered: map[int]int{},
	}
	for range set.targets {
		t.targets = append(t.targets, &target{clock: t.clock, slow: 1, incarnate: 1})
	}
	for i := range set.entries {
		t.entries = append(t.entries, newEntry(t, i))
	}
	t.every(reportEvery, t.report)
	if set.heartbeats {
		// Each entry has its own phase: peers are not in step.
		for i, e := range t.entries {
			t.after(heartbeatEvery*time.Duration(i)/time.Duration(set.entries), func() {
				t.every(heartbeatEvery, e.heartbeat)
			})
		}
	}
	if set.eject {
		t.every(tickEvery, func() {
			for _, e := range t.entries {
				e.applyHealth()
			}
		})
	}
	if set.hints {
		t.every(hintEvery, t.hint)
	}
	for at, do := range set.events {
		t.after(at, func() { do(t) })
	}
	t.arrive()
	t.clock.run(set.length)
	return t
}

// report sends the loads of all targets to all entries, late.
func (t *trial) report() {
	taken := t.time()
	loads := make([]route.Load, len(t.targets))
	for i, g := range t.targets {
		loads[i] = g.load()
	}
	t.after(t.set.lag, func() {
		for _, e := range t.entries {
			for i, load := range loads {
				e.reported[i] = load.Queued
				e.table.Report(i, load, taken)
			}
		}
	})
}

// hint tells each entry, a second late, how many others have ejected a target.
func (t *trial) hint() {
	counts := make([]int, len(t.targets))
	for _, e := range t.entries {
		for i := range counts {
			if e.monitor.OwnEvidence(i) {
				counts[i]++
			}
		}
	}
	t.after(hintDelay, func() {
		for _, e := range t.entries {
			for i, n := range counts {
				if e.monitor.OwnEvidence(i) {
					n--
				}
				e.monitor.RecordPeerEjections(i, max(0, n), t.time())
			}
		}
	})
}

func (e *entry) heartbeat() {
	for i, g := range e.targets {
		if g.condition == refusing {
			continue
		}
		e.table.Observe(i, g.load(), e.time())
		e.monitor.Heartbeat(i, e.time())
		e.monitor.RecordStep(i, g.load().StepMs, e.time())
	}
}

// arrive schedules the next request and all after it.
func (t *trial) arrive() {
	rate := t.set.load * float64(t.set.targets) * targetRate / meanCost
	t.after(t.exponential(1/rate), func() {
		t.request()
		t.arrive()
	})
}

func (t *trial) request() {
	t.requests++
	t.offered[int(t.now/time.Second)]++
	j := &job{
		arrived: t.now,
		cost:    meanCost * (0.25 + 0.75*t.random.ExpFloat64()),
		booking: t.random.Float64() < t.set.bookings,
	}
	if t.set.prefixes > 0 {
		// Popularity falls with the rank: the first prefix has many times
		// the mean.
		u := t.random.Float64()
		j.prefix = 1 + uint64(float64(t.set.prefixes)*u*u*u)
		j.prefix *= 0x9e3779b97f4a7c15
	}
	e := t.entries[t.random.IntN(len(t.entries))]
	e.budgets.Request(budgetKey, t.time())
	e.send(j, &retry.Attempts{MayNotRepeat: j.booking})
}

var budgetKey = retry.Key{Workspace: "workspace", Hop: "target"}

// send makes one attempt.
func (e *entry) send(j *job, a *retry.Attempts) {
	i, ok := e.pick(j)
	if !ok {
		e.giveUp(e.returns.NextRetryAfter(e.time(), e.rng))
		return
	}
	began := e.time()
	e.calls++
	e.sent = append(e.sent, sending{e.now, i})
	e.inFlight[i]++
	e.table.Start(i, j.cost, began)
	j.done = func(started time.Duration, end ending) {
		e.inFlight[i]--
		e.table.End(i, j.cost, began)
		e.finish(j, a, i, started, end)
	}
	e.targets[i].submit(j)
}

func (e *entry) finish(j *job, a *retry.Attempts, i int, started time.Duration, end ending) {
	g, now := e.targets[i], e.time()
	switch end {
	case completed:
		e.table.Observe(i, g.load(), now)
		e.monitor.RecordStep(i, g.load().StepMs, now)
		e.monitor.Succeed(i, started-j.arrived, now)
		e.returns.Completed(now)
		e.samples = append(e.samples, sample{j.arrived, started - j.arrived, e.now - j.arrived, i})
	case refused:
		e.table.Observe(i, g.load(), now)
		e.failed(j, a, i, retry.Refused)
	case notSent:
		e.monitor.Fail(i, health.Hard, now)
		e.failed(j, a, i, retry.NotSent)
	case broke:
		e.monitor.Fail(i, health.Soft, now)
		e.failed(j, a, i, retry.Broken)
	}
	if end != refused && j.booking && j.runs == 2 {
		e.doubles++
	}
}

// failed decides on another attempt.
func (e *entry) failed(j *job, a *retry.Attempts, i int, kind retry.Kind) {
	j.tried.Add(i)
	if e.set.naive {
		j.tries++
		if j.tries < naiveTries {
			e.send(j, a)
			return
		}
		e.giveUp(time.Second)
		return
	}
	d := retry.Decide(a, kind, e.budgets.For(budgetKey), &e.returns, time.Time{}, e.time(), e.rng)
	if d.Retry {
		e.after(d.At.Sub(e.time()), func() { e.send(j, a) })
		return
	}
	e.giveUp(d.Err.RetryAfter)
}

func (t *trial) giveUp(back time.Duration) {
	t.refusals++
	if !t.set.comeBack {
		return
	}
	if t.set.fixedReturn {
		back = time.Second
	}
	t.after(back, t.request)
}

// wait and total select a time of a sample.
func wait(s sample) time.Duration  { return s.wait }
func total(s sample) time.Duration { return s.total }

// quantile returns a quantile, in milliseconds, of a time of the requests that
// arrived in a span.
func (t *trial) quantile(q float64, of func(sample) time.Duration, from, to time.Duration) float64 {
	var all []time.Duration
	for _, s := range t.samples {
		if s.arrived >= from && s.arrived < to {
			all = append(all, of(s))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[min(len(all)-1, int(q*float64(len(all))))].Microseconds()) / 1000
}
