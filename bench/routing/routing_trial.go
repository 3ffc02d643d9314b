package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"verbenashift/core/membership/health"
	"verbenashift/core/request/retry"
	"verbenashift/core/request/route"
)

// settings configures one trial.
type settings struct {
	policy            policy
	seed              uint64
	targets           int
	entries           int
	choices           int
	load              float64 // offered load as a fraction of the capacity
	prefixes          int     // number of distinct prefixes; 0 means none
	mayNotRepeatShare float64 // fraction of requests that may not be repeated
	length            time.Duration
	// lag is the age of load reports when they arrive. heartbeats enables
	// current loads and step times that arrive independently of requests.
	lag        time.Duration
	heartbeats bool
	eject      bool
	hints      bool
	health     health.Options
	// naive makes up to three attempts without delay for any request, instead of
	// using the package retry.
	naive bool
	// callersRetry makes refused callers send their request again after the
	// Retry-After time, or after one second with fixedCallerDelay.
	callersRetry     bool
	fixedCallerDelay bool
	noSlowStart      bool
	// events are the functions that change targets, by time.
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

// sample is one completed request.
type sample struct {
	arrived time.Duration
	wait    time.Duration // until it was in the batch
	total   time.Duration // until its last token
	target  int
}

// sentCall is one call to a target.
type sentCall struct {
	at     time.Duration
	target int
}

// trial is one run of the model.
type trial struct {
	*clock
	set        settings
	targets    []*target
	entries    []*entry
	samples    []sample
	sent       []sentCall
	requests   int
	calls      int
	refusals   int
	doubleRuns int // requests that may not be repeated and ran twice
	// offered counts the requests in each second, including retries by callers.
	offered map[int]int
}

func run(set settings) *trial {
	t := &trial{
		clock:   &clock{random: rand.New(rand.NewPCG(set.seed, 99))},
		set:     set,
		offered: map[int]int{},
	}
	for range set.targets {
		t.targets = append(t.targets, &target{clock: t.clock, slow: 1, incarnation: 1})
	}
	for i := range set.entries {
		t.entries = append(t.entries, newEntry(t, i))
	}
	t.every(reportEvery, t.report)
	if set.heartbeats {
		// Each entry has its own phase: the heartbeats of peers are not
		// synchronized.
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

// report sends the loads of all targets to all entries, where they arrive after
// the lag.
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

// hint reports to each entry, with a delay of one second, how many others have
// ejected each target.
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
		arrived:      t.now,
		cost:         meanCost * (0.25 + 0.75*t.random.ExpFloat64()),
		mayNotRepeat: t.random.Float64() < t.set.mayNotRepeatShare,
	}
	if t.set.prefixes > 0 {
		// Popularity falls with the rank of a prefix: the first is many times
		// as frequent as the mean.
		u := t.random.Float64()
		j.prefix = 1 + uint64(float64(t.set.prefixes)*u*u*u)
		j.prefix *= 0x9e3779b97f4a7c15
	}
	e := t.entries[t.random.IntN(len(t.entries))]
	e.budgets.Request(budgetKey, t.time())
	e.send(j, &retry.Attempts{MayNotRepeat: j.mayNotRepeat})
}

var budgetKey = retry.Key{Workspace: "workspace", Hop: "target"}

// send makes one attempt.
func (e *entry) send(j *job, a *retry.Attempts) {
	i, ok := e.pick(j)
	if !ok {
		e.abandon(e.returns.NextRetryAfter(e.time(), e.rng))
		return
	}
	began := e.time()
	e.calls++
	e.sent = append(e.sent, sentCall{e.now, i})
	e.inFlight[i]++
	e.table.Start(i, j.cost, began)
	j.done = func(started time.Duration, end attemptOutcome) {
		e.inFlight[i]--
		e.table.End(i, j.cost, began)
		e.finish(j, a, i, started, end)
	}
	e.targets[i].submit(j)
}

func (e *entry) finish(j *job, a *retry.Attempts, i int, started time.Duration, end attemptOutcome) {
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
	case broken:
		e.monitor.Fail(i, health.Soft, now)
		e.failed(j, a, i, retry.Broken)
	}
	if end != refused && j.mayNotRepeat && j.runs == 2 {
		e.doubleRuns++
	}
}

// failed handles a failed attempt: it makes another one or abandons the request.
func (e *entry) failed(j *job, a *retry.Attempts, i int, kind retry.Kind) {
	j.excluded.Add(i)
	if e.set.naive {
		j.naiveAttempts++
		if j.naiveAttempts < naiveTries {
			e.send(j, a)
			return
		}
		e.abandon(time.Second)
		return
	}
	d := retry.Decide(a, kind, e.budgets.For(budgetKey), &e.returns, time.Time{}, e.time(), e.rng)
	if d.Retry {
		e.after(d.At.Sub(e.time()), func() { e.send(j, a) })
		return
	}
	e.abandon(d.Err.RetryAfter)
}

func (t *trial) abandon(retryAfter time.Duration) {
	t.refusals++
	if !t.set.callersRetry {
		return
	}
	if t.set.fixedCallerDelay {
		retryAfter = time.Second
	}
	t.after(retryAfter, t.request)
}

// wait and total return a time of a sample, for quantile.
func wait(s sample) time.Duration  { return s.wait }
func total(s sample) time.Duration { return s.total }

// quantile returns the q-quantile, in milliseconds, of a time of the requests
// that arrived from from until before to.
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
