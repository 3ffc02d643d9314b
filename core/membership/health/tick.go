package health

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minExcess is the least difference, in seconds, between an outlier's time to
	// the first token and the median: while targets idle, a short queue is many
	// times the normal wait and yet no fault.
	minExcess = 0.5
	// slowStartShare is the share with which a target starts to return.
	slowStartShare = 0.1
	// shareStep is the least change of a share that is reported.
	shareStep = 0.05
	// ejectJitter spreads the ends of ejections, so that entries that saw
	// the same failure do not probe at the same time.
	ejectJitter = 0.3
	// evidenceExtension is how long the last slow step of an ejected straggler, or the
	// last report of its peers, extends its ejection.
	evidenceExtension = 2 * time.Second
	// maxEvidenceExtension is the time after which a target is probed whatever its
	// steps and other entries report.
	maxEvidenceExtension = time.Minute
	// maxDoublings bounds the doubling of ejections before MaxEjection applies.
	maxDoublings = 6
)

// Tick evaluates all targets and returns the changes. It is to be called a
// few times a second. The result is valid until the next call.
func (m *Monitor) Tick(now time.Time, rng *rand.Rand) []Change {
	m.changes = m.changes[:0]
	m.refillProbes(now)
	for _, name := range sortedKeys(m.pools) {
		p := m.pools[name]
		for _, i := range p.members {
			m.advance(&m.targets[i], now)
		}
		m.eject(p, m.findOutliers(p, now), now, rng)
		for _, i := range p.members {
			m.report(i, now)
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

// advance makes the state changes that follow from time and from probes.
func (m *Monitor) advance(t *target, now time.Time) {
	switch t.state {
	case Ejected:
		if !now.Before(t.until) && (t.cause != Silent || t.lastHeard.After(t.since)) {
			m.enter(t, HalfOpen, now)
			// Measurements from before the ejection are out of date.
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

// outlier is a unit of a pool that should be ejected.
type outlier struct {
	targets []int
	cause   Cause
	// excess is how far beyond its limit the unit is; it orders equal causes.
	excess float64
}

// findOutliers returns the units of a pool that should be ejected, the most certain
// first.
func (m *Monitor) findOutliers(p *pool, now time.Time) []outlier {
	var out []outlier
	latency := m.median(p.members, func(i int) float64 { return reliableMean(m.targets[i].latency, latencySamples) })
	for _, i := range p.members {
		if v := m.checkTarget(i, latency, now); v.cause != NoCause {
			out = append(out, v)
		}
	}
	out = append(out, m.stragglers(p)...)
	slices.SortStableFunc(out, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(b.cause, a.cause), cmp.Compare(b.excess, a.excess))
	})
	return out
}

func (m *Monitor) checkTarget(i int, latency float64, now time.Time) outlier {
	t := &m.targets[i]
	v := outlier{targets: []int{i}}
	own := reliableMean(t.latency, latencySamples)
	switch {
	case t.failures >= m.opt.Failures:
		v.cause, v.excess = Failing, float64(t.failures)
	case t.state == HalfOpen && t.failures > 0:
		v.cause, v.excess = Failing, float64(t.failures)
	case !t.lastHeard.IsZero() && now.Sub(t.lastHeard) > m.opt.HeartbeatTimeout:
		v.cause, v.excess = Silent, now.Sub(t.lastHeard).Seconds()
	case t.currentPeerEjections(now) >= minPeerEjections && (t.state == Healthy || t.cause == PeerReported):
		v.cause, v.excess = PeerReported, float64(t.peerEjections)
	case latency > 0 && own > latency*m.opt.LatencyFactor && own > latency+minExcess:
		v.cause, v.excess = Slow, own/latency
	}
	return v
}

// reliableMean returns the mean of a track that has enough samples, or 0.
func reliableMean(t track, samples int) float64 {
	if t.n < samples {
		return 0
	}
	return t.mean
}

// stragglers returns the units whose steps take much longer than those of the
// others. A unit counts once in the median however many ranks it has, and is
// as slow as its slowest rank: in lock-step this is the step time of a request
// on any rank, even where ranks report only their own part of a step.
func (m *Monitor) stragglers(p *pool) []outlier {
	names := sortedKeys(p.units)
	steps := make([]float64, len(names))
	for k, name := range names {
		for _, i := range p.units[name] {
			steps[k] = max(steps[k], reliableMean(m.targets[i].step, stepSamples))
		}
	}
	indices := make([]int, len(names))
	for k := range indices {
		indices[k] = k
	}
	median := m.median(indices, func(k int) float64 { return steps[k] })
	var out []outlier
	for k, name := range names {
		if median > 0 && steps[k] > median*m.opt.StepFactor {
			out = append(out, outlier{p.units[name], Straggler, steps[k] / median})
		}
	}
	return out
}

// median returns the lower median of the positive values of a list, or 0 if
// there are fewer than two, since a single one has no peers to compare with.
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

// eject ejects the outliers as far as the floor allows. Without the floor, a
// fault that makes all targets look bad, such as one of the entry's own
// network, would leave none to send to, and a fault of some would send all
// load to the few that are left. A unit is ejected either completely or not at all.
func (m *Monitor) eject(p *pool, outliers []outlier, now time.Time, rng *rand.Rand) {
	budget := int(float64(len(p.members))*(1-m.opt.Floor)) - m.inactive(p)
	for _, v := range outliers {
		need := 0
		for _, i := range v.targets {
			if m.targets[i].active() {
				need++
			}
		}
		if need > budget {
			continue
		}
		budget -= need
		for _, i := range v.targets {
			m.ejectTarget(&m.targets[i], v.cause, now, rng)
		}
	}
}

// inactive counts the targets of a pool that get no normal work.
func (m *Monitor) inactive(p *pool) int {
	n := 0
	for _, i := range p.members {
		if !m.targets[i].active() {
			n++
		}
	}
	return n
}

// active reports whether a target gets normal work.
func (t *target) active() bool { return t.state == Healthy || t.state == SlowStart }

func (m *Monitor) ejectTarget(t *target, cause Cause, now time.Time, rng *rand.Rand) {
	if t.state == Ejected {
		// Heartbeats continue to report the steps of a straggler, and other
		// entries their findings, so that no request is needed to learn that the
		// cause persists. An idle engine may repeat its last step time forever,
		// so that this extends an ejection only for a limited time.
		again := cause == t.cause && (cause == Straggler || cause == PeerReported)
		if again && now.Sub(t.since) < maxEvidenceExtension {
			t.until = later(t.until, now.Add(evidenceExtension))
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

// report adds a change for target i if its state differs from the last one reported.
func (m *Monitor) report(i int, now time.Time) {
	t := &m.targets[i]
	c := Change{Target: i, State: t.state, Share: m.share(t, now), Trusted: !t.trust.revoked, Cause: t.cause}
	c.Probe = t.state == HalfOpen && m.grantProbe(t, now)
	same := c.State == t.reported.State && c.Trusted == t.reported.Trusted && !c.Probe
	if same && math.Abs(c.Share-t.reported.Share) < shareStep {
		return
	}
	t.reported = c
	m.changes = append(m.changes, c)
}

const (
	// probeInterval is the time after which a half-open target gets another probe if
	// the previous one was not answered.
	probeInterval = 2 * time.Second
	// probeBurst is the largest number of probes that accumulate.
	probeBurst = 4
)
