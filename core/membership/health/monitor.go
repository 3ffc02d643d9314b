package health

import "time"

// Monitor monitors the targets of one entry.
type Monitor struct {
	opt     Options
	members []Member
	targets []target
	pools   map[string]*pool
	changes []Change
	scratch []float64
	// probes is the number of probes available, as in a token bucket.
	probes float64
	ticked time.Time
}

// target is the state of one target.
type target struct {
	state     State
	cause     Cause
	failures  int
	latency   track
	step      track
	lastHeard time.Time
	// until ends an ejection, since begins the current state.
	until, since time.Time
	// ejections counts consecutive ejections.
	ejections int
	// probeAt is when a half-open target may be given its next probe.
	probeAt time.Time
	// answered reports that a half-open target answered its probe.
	answered bool
	// peerEjections is how many other entries have ejected the target, as reported at
	// the time peerEjectionsAt.
	peerEjections   int
	peerEjectionsAt time.Time
	trust           trust
	reported        Change
}

// track is a moving mean with the number of its samples.
type track struct {
	mean float64
	n    int
}

const (
	// trackGain is the weight of one sample: a few suffice to detect a factor of
	// three, and one alone does not.
	trackGain = 0.3
	// stepSamples and latencySamples are the fewest samples that are evaluated.
	stepSamples    = 2
	latencySamples = 5
)

func (t *track) add(sample float64) {
	t.n++
	if t.n == 1 {
		t.mean = sample
		return
	}
	t.mean += trackGain * (sample - t.mean)
}

// pool is the set of targets that can replace each other.
type pool struct {
	members []int
	// units are the groups, and each target without a group.
	units map[string][]int
}

// New returns a Monitor without targets.
func New(opt Options) *Monitor {
	return &Monitor{opt: opt.withDefaults(), probes: probeBurst}
}

// Update sets the targets to monitor. A target that stays at its index keeps its
// state.
func (m *Monitor) Update(members []Member) {
	targets := make([]target, len(members))
	m.pools = map[string]*pool{}
	for i, mem := range members {
		targets[i].reported.Share = 1
		targets[i].reported.Trusted = true
		if i < len(m.members) && m.members[i].Name == mem.Name {
			targets[i] = m.targets[i]
		}
		if mem.Name != "" {
			m.addToPool(i, mem)
		}
	}
	m.members, m.targets = append([]Member(nil), members...), targets
}

func (m *Monitor) addToPool(i int, mem Member) {
	p := m.pools[mem.Pool]
	if p == nil {
		p = &pool{units: map[string][]int{}}
		m.pools[mem.Pool] = p
	}
	p.members = append(p.members, i)
	unit := "group/" + mem.Group
	if mem.Group == "" {
		unit = "target/" + mem.Name
	}
	p.units[unit] = append(p.units[unit], i)
}

// State returns the state of target i.
func (m *Monitor) State(i int) State { return m.targets[i].state }

// Succeed records an answer of target i and its time to the first token.
func (m *Monitor) Succeed(i int, latency time.Duration, now time.Time) {
	t := &m.targets[i]
	if t.state == HalfOpen && !t.answered {
		// An answered probe has cost nobody anything: after a large fault all its
		// targets return as fast as they answer.
		m.probes++
	}
	t.failures = 0
	t.answered = true
	t.latency.add(latency.Seconds())
	t.recordActivity(now)
}

// Fail records a failure of target i. Justified refusals, and failures that the
// request itself caused, do not count.
func (m *Monitor) Fail(i int, severity Severity, now time.Time) {
	t := &m.targets[i]
	t.failures += int(severity)
	if t.currentPeerEjections(now) > 0 {
		t.failures = max(t.failures, m.opt.Failures)
	}
}

const (
	// peerEjectionsValid is how long a report of peer ejections is valid.
	peerEjectionsValid = 3 * time.Second
	// minPeerEjections is how many entries must agree to eject a target without a failure
	// seen here.
	minPeerEjections = 3
)

// RecordPeerEjections records how many other entries have ejected target i on their own
// evidence, that is with a Cause other than PeerReported. An entry of a large fleet
// sends a target a request in a minute; all of its callers together would meet
// each failing target hundreds of times before every entry had detected it.
// The report of one other entry makes a single failure enough; three are believed
// without any, so that one mistaken entry cannot empty everybody's pool. An
// ejection that relies on reports is no evidence for others, or it would sustain itself.
func (m *Monitor) RecordPeerEjections(i, entries int, now time.Time) {
	t := &m.targets[i]
	t.peerEjections = entries
	t.peerEjectionsAt = now
}

// currentPeerEjections returns how many other entries currently eject the target.
func (t *target) currentPeerEjections(now time.Time) int {
	if t.peerEjectionsAt.IsZero() || now.Sub(t.peerEjectionsAt) > peerEjectionsValid {
		return 0
	}
	return t.peerEjections
}

// OwnEvidence reports whether target i is kept out on this entry's own evidence,
// which is what it reports to other entries.
func (m *Monitor) OwnEvidence(i int) bool {
	t := &m.targets[i]
	return !t.active() && t.cause != PeerReported
}

// RecordStep records the recent step time of target i as reported by its agent.
func (m *Monitor) RecordStep(i int, stepMs float64, now time.Time) {
	t := &m.targets[i]
	t.recordActivity(now)
	if stepMs > 0 {
		t.step.add(stepMs)
	}
}

// Heartbeat records a heartbeat of target i. From the first one on further ones are
// expected; a zero time ends that, for a target whose heartbeats now go to
// other entries. Answers alone do not start this: an entry may legitimately send a
// target one request in a minute.
func (m *Monitor) Heartbeat(i int, now time.Time) {
	t := &m.targets[i]
	if t.lastHeard.IsZero() || now.IsZero() {
		t.lastHeard = now
	}
	t.recordActivity(now)
}

// absenceGap is the gap in heartbeats that shows that a target was unreachable.
const absenceGap = 2 * time.Second

// recordActivity treats any other sign of activity as a heartbeat.
func (t *target) recordActivity(now time.Time) {
	if t.lastHeard.IsZero() {
		return
	}
	if t.state == Ejected && now.Sub(t.lastHeard) > absenceGap {
		// The target was unreachable and has returned: waiting for the end of an
		// ejection that has doubled would withhold work from it for no reason.
		t.until = now
	}
	t.lastHeard = now
}
