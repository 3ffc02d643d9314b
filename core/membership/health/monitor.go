package health

import "time"

// Monitor watches the targets of one entry.
type Monitor struct {
	opt     Options
	members []Member
	targets []target
	pools   map[string]*pool
	changes []Change
	scratch []float64
	// probes are those earned and not yet granted.
	probes float64
	ticked time.Time
}

// target is what the monitor knows of one target.
type target struct {
	state    State
	cause    Cause
	failures int
	latency  track
	step     track
	heard    time.Time
	// until ends an ejection, since begins the present state.
	until, since time.Time
	// ejections counts those in a row.
	ejections int
	// probeAt is when a half-open target may be given its next probe.
	probeAt time.Time
	// answered says that a half-open target answered its probe.
	answered bool
	// hints is how many other entries have ejected the target, as told at
	// the time hinted.
	hints  int
	hinted time.Time
	trust  trust
	told   Change
}

// track is a moving mean with the number of its samples.
type track struct {
	mean float64
	n    int
}

const (
	// trackGain is the weight of one sample: a few suffice to see a factor of
	// three, and one alone does not.
	trackGain = 0.3
	// stepSamples and latencySamples are the fewest that are judged.
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

// pool is the targets that can stand in for each other.
type pool struct {
	members []int
	// units are the groups, and each target without one.
	units map[string][]int
}

// New returns a Monitor without targets.
func New(opt Options) *Monitor {
	return &Monitor{opt: opt.withDefaults(), probes: probeBurst}
}

// Update sets the targets to watch. A target that stays at its index keeps its
// state.
func (m *Monitor) Update(members []Member) {
	targets := make([]target, len(members))
	m.pools = map[string]*pool{}
	for i, mem := range members {
		targets[i].told.Share = 1
		targets[i].told.Trusted = true
		if i < len(m.members) && m.members[i].Name == mem.Name {
			targets[i] = m.targets[i]
		}
		if mem.Name != "" {
			m.join(i, mem)
		}
	}
	m.members, m.targets = append([]Member(nil), members...), targets
}

func (m *Monitor) join(i int, mem Member) {
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

// State returns where target i stands.
func (m *Monitor) State(i int) State { return m.targets[i].state }

// Succeed records an answer of target i and its time to the first token.
func (m *Monitor) Succeed(i int, latency time.Duration, now time.Time) {
	t := &m.targets[i]
	if t.state == HalfOpen && !t.answered {
		// A probe that is answered has cost nobody anything: after a large
		// fault all its targets come back at the pace of their answers.
		m.probes++
	}
	t.failures = 0
	t.answered = true
	t.latency.add(latency.Seconds())
	t.hear(now)
}

// Fail records a failure of target i. Truthful refusals, and failures that the
// request itself caused, are none.
func (m *Monitor) Fail(i int, severity Severity, now time.Time) {
	t := &m.targets[i]
	t.failures += int(severity)
	if t.heardOf(now) > 0 {
		t.failures = max(t.failures, m.opt.Failures)
	}
}

const (
	// hintFor is how long a hint holds.
	hintFor = 3 * time.Second
	// toldBy is how many entries must agree to eject a target by their word.
	toldBy = 3
)

// RecordPeerEjections records how many other entries have ejected target i on evidence of
// their own, that is with a Cause other than Told. An entry of a large fleet
// sends a target a request in a minute; all of its callers together would meet
// each failing target hundreds of times before every entry had found it out.
// One other entry's word makes a single failure enough; three are believed
// without any, so that one mistaken entry cannot empty everybody's pool. An
// ejection by word is no evidence for others, or it would keep itself alive.
func (m *Monitor) RecordPeerEjections(i, entries int, now time.Time) {
	t := &m.targets[i]
	t.hints = entries
	t.hinted = now
}

// heardOf returns how many entries vouch for an ejection now.
func (t *target) heardOf(now time.Time) int {
	if t.hinted.IsZero() || now.Sub(t.hinted) > hintFor {
		return 0
	}
	return t.hints
}

// OwnEvidence reports whether target i is kept out on evidence of this entry's
// own, which is what it tells others.
func (m *Monitor) OwnEvidence(i int) bool {
	t := &m.targets[i]
	return !t.in() && t.cause != PeerReported
}

// RecordStep records the recent step time of target i as its agent tells it.
func (m *Monitor) RecordStep(i int, stepMs float64, now time.Time) {
	t := &m.targets[i]
	t.hear(now)
	if stepMs > 0 {
		t.step.add(stepMs)
	}
}

// Heartbeat records a heartbeat of target i. From the first one on more are
// expected; a zero time ends that, for a target whose heartbeats now go to
// others. Answers alone expect nothing: an entry may rightly send a target one
// request in a minute.
func (m *Monitor) Heartbeat(i int, now time.Time) {
	t := &m.targets[i]
	if t.heard.IsZero() || now.IsZero() {
		t.heard = now
	}
	t.hear(now)
}

// resumeAfter is the gap in heartbeats that shows that a target was away.
const resumeAfter = 2 * time.Second

// hear takes any other sign of life for a heartbeat.
func (t *target) hear(now time.Time) {
	if t.heard.IsZero() {
		return
	}
	if t.state == Ejected && now.Sub(t.heard) > resumeAfter {
		// The target was away and is back: waiting for the end of an
		// ejection that has doubled would keep work off it for no reason.
		t.until = now
	}
	t.heard = now
}
