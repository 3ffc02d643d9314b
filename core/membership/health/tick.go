package health

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minExcess is how far, in seconds, an outlier's time to the first token
	// is above the median at least: while targets idle, a short queue is many
	// times the usual wait and yet no fault.
	minExcess = 0.5
	// slowStartShare is the share a returned target begins with.
	slowStartShare = 0.1
	// shareStep is the least change of a share that is told.
	shareStep = 0.05
	// ejectJitter spreads the ends of ejections, so that entries which saw
	// the same failure do not probe at the same moment.
	ejectJitter = 0.3
	// holdFor is how long an ejected straggler's last slow step keeps it out.
	holdFor = 2 * time.Second
	// maxHold is when a target is probed whatever its steps and others say.
	maxHold = time.Minute
	// maxDoublings bounds the doubling of ejections before MaxEject does.
	maxDoublings = 6
)

// Tick judges all targets and returns what has changed. It is to be called a
// few times a second. The result is valid until the next call.
func (m *Monitor) Tick(now time.Time, rng *rand.Rand) []Change {
	m.changes = m.changes[:0]
	m.earnProbes(now)
	for _, name := range sortedKeys(m.pools) {
		p := m.pools[name]
		for _, i := range p.members {
			m.advance(&m.targets[i], now)
		}
		m.eject(p, m.judge(p, now), now, rng)
		for _, i := range p.members {
			m.tell(i, now)
		}
	}
	return m.changes
}

func sortedKeys[V any](of map[string]V) []string {
	keys := make([]string, 0, len(of))
	for k := range of {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// advance follows the course of time and of probes.
func (m *Monitor) advance(t *target, now time.Time) {
	switch t.state {
	case Ejected:
		if !now.Before(t.until) && (t.cause != Silent || t.heard.After(t.since)) {
			m.enter(t, HalfOpen, now)
			// What was measured before says nothing about now.
			t.failures, t.answered = 0, false
			t.probeAt = now
			t.step, t.latency = track{}, track{}
		}
	case HalfOpen:
		if t.answered {
			m.enter(t, SlowStart, now)
		}
	case SlowStart:
		if now.Sub(t.since) >= m.opt.SlowStart {
			m.enter(t, Healthy, now)
		}
	case Healthy:
		if t.ejections > 0 && now.Sub(t.since) >= m.opt.MaxEjection {
			t.ejections = 0
		}
	}
}

func (m *Monitor) enter(t *target, s State, now time.Time) {
	t.state, t.since = s, now
	if s == Healthy || s == SlowStart {
		t.cause = NoCause
	}
}

// verdict is a unit of a pool that should be ejected.
type verdict struct {
	targets []int
	cause   Cause
	// excess is how far beyond its limit the unit is, to order equal causes.
	excess float64
}

// judge returns the units of a pool that should be ejected, the surest first.
func (m *Monitor) judge(p *pool, now time.Time) []verdict {
	var out []verdict
	latency := m.median(p.members, func(i int) float64 { return judged(m.targets[i].latency, latencySamples) })
	for _, i := range p.members {
		if v := m.judgeTarget(i, latency, now); v.cause != NoCause {
			out = append(out, v)
		}
	}
	out = append(out, m.stragglers(p)...)
	slices.SortStableFunc(out, func(a, b verdict) int {
		return cmp.Or(cmp.Compare(b.cause, a.cause), cmp.Compare(b.excess, a.excess))
	})
	return out
}

func (m *Monitor) judgeTarget(i int, latency float64, now time.Time) verdict {
	t := &m.targets[i]
	v := verdict{targets: []int{i}}
	own := judged(t.latency, latencySamples)
	switch {
	case t.failures >= m.opt.Failures:
		v.cause, v.excess = Failing, float64(t.failures)
	case t.state == HalfOpen && t.failures > 0:
		v.cause, v.excess = Failing, float64(t.failures)
	case !t.heard.IsZero() && now.Sub(t.heard) > m.opt.HeartbeatTimeout:
		v.cause, v.excess = Silent, now.Sub(t.heard).Seconds()
	case t.heardOf(now) >= toldBy && (t.state == Healthy || t.cause == PeerReported):
		v.cause, v.excess = PeerReported, float64(t.hints)
	case latency > 0 && own > latency*m.opt.LatencyFactor && own > latency+minExcess:
		v.cause, v.excess = Slow, own/latency
	}
	return v
}

// judged returns the mean of a track that has enough samples, or 0.
func judged(t track, samples int) float64 {
	if t.n < samples {
		return 0
	}
	return t.mean
}

// stragglers returns the units whose steps take much longer than those of the
// others. A unit counts once in the median however many ranks it has, and is
// as slow as its slowest rank: with lock-step that is what a request meets on
// any rank, also where ranks report only their own part of a step.
func (m *Monitor) stragglers(p *pool) []verdict {
	names := sortedKeys(p.units)
	steps := make([]float64, len(names))
	for k, name := range names {
		for _, i := range p.units[name] {
			steps[k] = max(steps[k], judged(m.targets[i].step, stepSamples))
		}
	}
	indices := make([]int, len(names))
	for k := range indices {
		indices[k] = k
	}
	median := m.median(indices, func(k int) float64 { return steps[k] })
	var out []verdict
	for k, name := range names {
		if median > 0 && steps[k] > median*m.opt.StepFactor {
			out = append(out, verdict{p.units[name], Straggler, steps[k] / median})
		}
	}
	return out
}

// median returns the lower median of the positive values of a list, or 0 if
// there are fewer than two: a single one has no peers to be compared with.
func (m *Monitor) median(indices []int, value func(int) float64) float64 {
	m.scratch = m.scratch[:0]
	for _, i := range indices {
		if v := value(i); v > 0 {
			m.scratch = append(m.scratch, v)
		}
	}
	if len(m.scratch) < 2 {
		return 0
	}
	slices.Sort(m.scratch)
	return m.scratch[(len(m.scratch)-1)/2]
}

// eject takes out the judged units, as far as the floor allows. Without the
// floor, a fault that makes all targets look bad, such as the entry's own
// network, would leave none to send to, and a fault of some would send all
// load to the few that are left. A unit that does not fit stays whole.
func (m *Monitor) eject(p *pool, verdicts []verdict, now time.Time, rng *rand.Rand) {
	room := int(float64(len(p.members))*(1-m.opt.Floor)) - m.out(p)
	for _, v := range verdicts {
		need := 0
		for _, i := range v.targets {
			if m.targets[i].in() {
				need++
			}
		}
		if need > room {
			continue
		}
		room -= need
		for _, i := range v.targets {
			m.take(&m.targets[i], v.cause, now, rng)
		}
	}
}

// out counts the targets of a pool that get no normal work.
func (m *Monitor) out(p *pool) int {
	n := 0
	for _, i := range p.members {
		if !m.targets[i].in() {
			n++
		}
	}
	return n
}

// in reports whether a target gets normal work.
func (t *target) in() bool { return t.state == Healthy || t.state == SlowStart }

func (m *Monitor) take(t *target, cause Cause, now time.Time, rng *rand.Rand) {
	if t.state == Ejected {
		// Heartbeats go on to tell the steps of a straggler, and others what
		// they find: no request is needed to learn that it is still so. An
		// idle engine may repeat its last step for ever, so that this holds
		// for a time only.
		again := cause == t.cause && (cause == Straggler || cause == PeerReported)
		if again && now.Sub(t.since) < maxHold {
			t.until = later(t.until, now.Add(holdFor))
		}
		return
	}
	d := m.opt.BaseEjection << min(t.ejections, maxDoublings)
	d = min(d, m.opt.MaxEjection)
	t.ejections++
	t.until = now.Add(d + time.Duration(ejectJitter*rng.Float64()*float64(d)))
	t.cause = cause
	m.enter(t, Ejected, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tell adds a change for target i if its standing differs from the last told.
func (m *Monitor) tell(i int, now time.Time) {
	t := &m.targets[i]
	c := Change{Target: i, State: t.state, Share: m.share(t, now), Trusted: !t.trust.lost, Cause: t.cause}
	c.Probe = t.state == HalfOpen && m.grantProbe(t, now)
	same := c.State == t.told.State && c.Trusted == t.told.Trusted && !c.Probe
	if same && math.Abs(c.Share-t.told.Share) < shareStep {
		return
	}
	t.told = c
	m.changes = append(m.changes, c)
}

const (
	// probeEvery is when a half-open target is given another probe if the
	// first has not come back.
	probeEvery = 2 * time.Second
	// probeBurst is the most probes saved up.
	probeBurst = 4
)
