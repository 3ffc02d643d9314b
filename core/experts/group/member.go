package group

import (
	"slices"
	"time"

	"verbenashift/core/membership/lease"
)

// MemberConfig configures a Member. Zero values take the defaults.
type MemberConfig struct {
	Name    string
	Fencing lease.FencingSupport
	// Lifetime bounds how long an order can take to reach the rank.
	Lifetime time.Duration
	// Timeout is how long to wait for the rank's answer.
	Timeout time.Duration
	// PollInterval is the interval between readings of the rank while nothing is under way;
	// during a switch a reading follows each order.
	PollInterval time.Duration
	// OutcomeTimeout is how long a held rank waits for the coordinator before its agent counts
	// the votes itself. Stagger is added for each earlier member of the group, so that usually
	// one agent counts.
	OutcomeTimeout time.Duration
	Stagger        time.Duration
	// StallAfter is how long a rank may stay at a step before it is stalled.
	StallAfter time.Duration
	// DeadAfter is how long an engine may leave readings unanswered. One that refuses the
	// connection is dead at once.
	DeadAfter time.Duration
	// OrphanTimeout is how long a stalled or held rank waits for a message from a coordinator
	// before its agent should take over the role.
	OrphanTimeout time.Duration
}

// The defaults of MemberConfig, for steps of a few milliseconds.
const (
	defaultLifetime       = time.Second
	defaultTimeout        = 500 * time.Millisecond
	defaultPollInterval   = 50 * time.Millisecond
	defaultOutcomeTimeout = 30 * time.Millisecond
	defaultStagger        = 10 * time.Millisecond
	defaultStallAfter     = 500 * time.Millisecond
	defaultDeadAfter      = 3 * time.Second
	defaultOrphanTimeout  = 2 * time.Second
)

func (c MemberConfig) withDefaults() MemberConfig {
	for _, f := range []struct {
		field *time.Duration
		def   time.Duration
	}{
		{&c.Lifetime, defaultLifetime},
		{&c.Timeout, defaultTimeout},
		{&c.PollInterval, defaultPollInterval},
		{&c.OutcomeTimeout, defaultOutcomeTimeout},
		{&c.Stagger, defaultStagger},
		{&c.StallAfter, defaultStallAfter},
		{&c.DeadAfter, defaultDeadAfter},
		{&c.OrphanTimeout, defaultOrphanTimeout},
	} {
		if *f.field <= 0 {
			*f.field = f.def
		}
	}
	return c
}

// Member is the rank's side of a group, in the agent beside the rank. State that must survive
// is stored in the rank and read back; the Member's own state may be lost with the agent at
// any time.
type Member struct {
	cfg      MemberConfig
	guard    *lease.Guard
	link     link
	progress progress

	rank  RankState
	known bool

	coordinator    string
	lastReceived   time.Duration
	handedOver     bool
	reportedHealth Health
	reports        uint64

	incarnation uint64

	pendingVote *pendingVote
	prepare     *Prepare
	form        *Form
	outcome     Outcome

	heldSince     time.Duration
	held          bool
	count         *VoteCount
	nextQuery     time.Duration
	queryInterval time.Duration

	off guardsOff
}

// pendingVote is a vote that other agents have requested.
type pendingVote struct {
	sw         Switch
	requesters []string
	// rejected says that the rank refused to arm.
	rejected bool
}

// NewMember returns the member of an agent that starts at now with no state. Incarnation must
// grow with every start of the agent.
func NewMember(cfg MemberConfig, incarnation uint64, now time.Duration) *Member {
	cfg = cfg.withDefaults()
	return &Member{
		cfg:          cfg,
		guard:        lease.NewGuard(cfg.Fencing, cfg.Lifetime),
		incarnation:  incarnation,
		progress:     progress{lastAnswer: now},
		lastReceived: now,
	}
}

// Rank returns the rank's state as last read, and whether it is known.
func (m *Member) Rank() (RankState, bool) {
	return m.rank, m.known
}

// Health returns the agent's observation of its rank.
func (m *Member) Health(now time.Duration) Health {
	return m.progress.health(now, m.rank, m.cfg)
}

// Fence returns the highest fencing token that the agent has received.
func (m *Member) Fence() uint64 {
	return m.guard.Fence()
}

// LastReceived returns when a message from a coordinator was last received.
func (m *Member) LastReceived() time.Duration {
	return m.lastReceived
}

// Orphaned reports whether a candidate should take over the role without waiting for the
// coordinator's normal silence: the coordinator has handed it over, or the rank has stopped and
// no message from a coordinator has been received for a while.
func (m *Member) Orphaned(now time.Duration) bool {
	if m.handedOver {
		return true
	}
	if now-m.lastReceived < m.cfg.OrphanTimeout {
		return false
	}
	switch m.Health(now) {
	case Held, Waiting, Stalled, Dead:
		return true
	default:
		return false
	}
}

// Receive handles a message from another agent.
func (m *Member) Receive(now time.Duration, from string, msg Message) []Action {
	var acts []Action
	switch msg := msg.(type) {
	case Probe:
		acts = m.handleProbe(now, from, msg)
	case Prepare:
		acts = m.handlePrepare(now, from, msg)
	case Arm:
		acts = m.handleArm(now, from, msg.Switch)
	case Form:
		acts = m.handleForm(now, from, msg)
	case VoteResponse:
		acts = m.handleVote(from, msg)
	case Outcome:
		m.handleOutcome(msg)
	case Handover:
		m.handedOver = m.handedOver || msg.Fence >= m.guard.Fence()
	}
	return append(acts, m.advance(now)...)
}

// follow reports whether a coordinator's message may be acted on. A coordinator that was
// paused past its lease learns of the newer fencing token from the report.
func (m *Member) follow(now time.Duration, from string, fence uint64) bool {
	if m.guard.ObserveFence(fence) != nil && !m.off.fence {
		return false
	}
	m.coordinator, m.lastReceived, m.handedOver = from, now, false
	return true
}

func (m *Member) handleProbe(now time.Duration, from string, p Probe) []Action {
	m.follow(now, from, p.Fence)
	return m.report(now, from, p.Known != m.rank.Epoch)
}

func (m *Member) handlePrepare(now time.Duration, from string, p Prepare) []Action {
	if m.follow(now, from, p.Number.Fence) {
		m.prepare = &p
	}
	if m.rank.Has(p.Version) || m.rank.Loading == p.Version {
		return m.report(now, from, false)
	}
	return nil
}

func (m *Member) handleForm(now time.Duration, from string, f Form) []Action {
	if !m.follow(now, from, f.Number.Fence) {
		return m.report(now, from, false)
	}
	// A repeated order of an epoch that has been joined or left must not put the rank back to
	// the epoch's first map.
	if m.known && !m.rank.Epoch.Less(f.Number) && !m.off.fence {
		return m.report(now, from, false)
	}
	if m.form == nil || m.form.Number.Less(f.Number) || m.off.fence {
		m.form = &f
	}
	return nil
}

func (m *Member) handleArm(now time.Duration, from string, sw Switch) []Action {
	_ = m.guard.ObserveFence(sw.Number.Fence) // a lower one is refused in the vote
	if m.known {
		// A vote never changes once sent, so that the last reading is sufficient.
		if m.count == nil && sw == m.rank.Armed {
			// Another member is already counting the votes.
			m.heldSince = now
		}
		if v := m.rank.Vote(sw); v != Open {
			return []Action{Send{To: from, Message: VoteResponse{Number: sw.Number, Vote: v}}}
		}
		if sw.Epoch != m.rank.Epoch {
			return m.report(now, from, false)
		}
	}
	b := m.pendingVote
	if b == nil || b.sw.Number.Less(sw.Number) || m.known && b.sw.Epoch != m.rank.Epoch {
		m.pendingVote = &pendingVote{sw: sw, requesters: []string{from}}
		return nil
	}
	if b.sw.Number == sw.Number && !slices.Contains(b.requesters, from) {
		b.requesters = append(b.requesters, from)
	}
	return nil
}

// handleOutcome records an outcome. It may arrive before the order to arm, which is then
// refused: the rank would only stop for an outcome that is already known.
func (m *Member) handleOutcome(o Outcome) {
	if m.known && o.Epoch == m.rank.Epoch && m.outcome.Number.Less(o.Number) {
		m.outcome = o
	}
}

// Tick handles the passing of time.
func (m *Member) Tick(now time.Duration) []Action {
	var acts []Action
	if m.link.timedOut(now, m.cfg.Timeout) {
		m.endOperation(lease.Lost)
	}
	acts = append(acts, m.reportHealthChange(now)...)
	acts = append(acts, m.countVotes(now)...)
	return append(acts, m.advance(now)...)
}

// reportHealthChange sends the coordinator a report when the rank's health changes, so that it
// need not probe often.
func (m *Member) reportHealthChange(now time.Duration) []Action {
	if m.coordinator == "" || m.Health(now) == m.reportedHealth {
		return nil
	}
	return m.report(now, m.coordinator, false)
}

// report sends nothing before the rank has been read: an empty report would look like a rank
// that has lost its epoch.
func (m *Member) report(now time.Duration, to string, members bool) []Action {
	health := m.Health(now)
	if !m.known && health != Dead {
		return nil
	}
	m.reports++
	s := m.rank
	if !members {
		s.Members = nil
	}
	if to == m.coordinator {
		m.reportedHealth = health
	}
	return []Action{Send{To: to, Message: Report{
		Incarnation: m.incarnation, Sequence: m.reports, Fence: m.guard.Fence(), Health: health, Rank: s, StepTime: m.progress.perStep,
	}}}
}
