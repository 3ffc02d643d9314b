package group

import (
	"slices"
	"time"

	"verbenashift/core/membership/lease"
)

// MemberConfig is the setting of a Member. Zero values take the defaults.
type MemberConfig struct {
	Name  string
	Habit lease.FencingSupport
	// Lifetime bounds how long an order can take to reach the rank.
	Lifetime time.Duration
	// Timeout is how long to wait for the rank's answer.
	Timeout time.Duration
	// PollInterval is the interval between readings of the rank, when nothing is going
	// on; during a switch the reading follows each order.
	PollInterval time.Duration
	// OutcomeTimeout is how long a held rank waits for the steward before its agent
	// counts the votes itself; Stagger is added for each place in the group, so
	// that usually one agent counts.
	OutcomeTimeout time.Duration
	Stagger        time.Duration
	// StallAfter is how long a rank may stay at a step before it is stalled.
	StallAfter time.Duration
	// DeadAfter is how long an engine may leave readings without an answer. One
	// that refuses the connection is dead at once.
	DeadAfter time.Duration
	// OrphanTimeout is how long a stalled or held rank waits to hear from a steward
	// before its agent should take over the duty.
	OrphanTimeout time.Duration
}

// The defaults of MemberConfig, for steps of a few milliseconds.
const (
	defaultLifetime   = time.Second
	defaultTimeout    = 500 * time.Millisecond
	defaultPoll       = 50 * time.Millisecond
	defaultPatience   = 30 * time.Millisecond
	defaultStagger    = 10 * time.Millisecond
	defaultStallAfter = 500 * time.Millisecond
	defaultDeadAfter  = 3 * time.Second
	defaultOrphan     = 2 * time.Second
)

func (c MemberConfig) withDefaults() MemberConfig {
	for _, f := range []struct {
		field *time.Duration
		def   time.Duration
	}{
		{&c.Lifetime, defaultLifetime},
		{&c.Timeout, defaultTimeout},
		{&c.PollInterval, defaultPoll},
		{&c.OutcomeTimeout, defaultPatience},
		{&c.Stagger, defaultStagger},
		{&c.StallAfter, defaultStallAfter},
		{&c.DeadAfter, defaultDeadAfter},
		{&c.OrphanTimeout, defaultOrphan},
	} {
		if *f.field <= 0 {
			*f.field = f.def
		}
	}
	return c
}

// Member is the rank's side of a group, in the agent beside the rank. What it
// must not forget is in the rank and read back; what it holds itself may be
// lost with the agent at any time.
type Member struct {
	cfg   MemberConfig
	guard *lease.Guard
	link  link
	pulse pulse

	rank  RankState
	known bool

	steward string
	heard   time.Duration
	vacant  bool
	sentAs  Health
	reports uint64

	incarnation uint64

	ballot  *ballot
	prepare *Prepare
	form    *Form
	outcome Outcome

	heldSince time.Duration
	held      bool
	count     *VoteCount
	askAt     time.Duration
	askPause  time.Duration

	off guardsOff
}

// ballot is a vote that others wait for.
type ballot struct {
	sw     Switch
	askers []string
	// rejected says that the rank refused to arm.
	rejected bool
}

// NewMember returns the member of an agent that starts at now and knows
// nothing. Incarnation must grow with every start of the agent.
func NewMember(cfg MemberConfig, incarnation uint64, now time.Duration) *Member {
	cfg = cfg.withDefaults()
	return &Member{
		cfg:         cfg,
		guard:       lease.NewGuard(cfg.Habit, cfg.Lifetime),
		incarnation: incarnation,
		pulse:       pulse{lastAnswer: now},
		heard:       now,
	}
}

// Rank returns the rank's state as last read, and whether it is known.
func (m *Member) Rank() (RankState, bool) {
	return m.rank, m.known
}

// Health returns the agent's view of its rank.
func (m *Member) Health(now time.Duration) Health {
	return m.pulse.health(now, m.rank, m.cfg)
}

// Fence returns the highest fencing number the agent has heard of.
func (m *Member) Fence() uint64 {
	return m.guard.Fence()
}

// LastReceived returns when a steward was last heard.
func (m *Member) LastReceived() time.Duration {
	return m.heard
}

// Orphaned reports whether a candidate should take the duty without waiting for
// the steward's usual silence: the steward has handed it over, or the rank stands
// still and no steward has been heard for a while.
func (m *Member) Orphaned(now time.Duration) bool {
	if m.vacant {
		return true
	}
	if now-m.heard < m.cfg.OrphanTimeout {
		return false
	}
	switch m.Health(now) {
	case Held, Waiting, Stalled, Dead:
		return true
	default:
		return false
	}
}

// Receive takes a message from another agent.
func (m *Member) Receive(now time.Duration, from string, msg Message) []Action {
	var acts []Action
	switch msg := msg.(type) {
	case Probe:
		acts = m.probed(now, from, msg)
	case Prepare:
		acts = m.prepared(now, from, msg)
	case Arm:
		acts = m.voteOn(now, from, msg.Switch)
	case Form:
		acts = m.formed(now, from, msg)
	case VoteResponse:
		acts = m.voted(from, msg)
	case Outcome:
		m.learned(msg)
	case Handover:
		m.vacant = m.vacant || msg.Fence >= m.guard.Fence()
	}
	return append(acts, m.advance(now)...)
}

// follow reports whether a steward's message may be acted on. A steward that
// was paused past its lease is told of the newer fence by the report.
func (m *Member) follow(now time.Duration, from string, fence uint64) bool {
	if m.guard.ObserveFence(fence) != nil && !m.off.fence {
		return false
	}
	m.steward, m.heard, m.vacant = from, now, false
	return true
}

func (m *Member) probed(now time.Duration, from string, p Probe) []Action {
	m.follow(now, from, p.Fence)
	return m.report(now, from, p.Known != m.rank.Epoch)
}

func (m *Member) prepared(now time.Duration, from string, p Prepare) []Action {
	if m.follow(now, from, p.Number.Fence) {
		m.prepare = &p
	}
	if m.rank.Has(p.Version) || m.rank.Loading == p.Version {
		return m.report(now, from, false)
	}
	return nil
}

func (m *Member) formed(now time.Duration, from string, f Form) []Action {
	if !m.follow(now, from, f.Number.Fence) {
		return m.report(now, from, false)
	}
	// A repeated order of an epoch that has been joined or left must not put
	// the rank back to the epoch's first map.
	if m.known && !m.rank.Epoch.Less(f.Number) && !m.off.fence {
		return m.report(now, from, false)
	}
	if m.form == nil || m.form.Number.Less(f.Number) || m.off.fence {
		m.form = &f
	}
	return nil
}

func (m *Member) voteOn(now time.Duration, from string, sw Switch) []Action {
	_ = m.guard.ObserveFence(sw.Number.Fence) // a lower one is refused in the vote
	if m.known {
		// A vote once said stays true, so that the last reading will do.
		if m.count == nil && sw == m.rank.Armed {
			// Someone is counting already.
			m.heldSince = now
		}
		if v := m.rank.Vote(sw); v != Open {
			return []Action{Send{To: from, Message: VoteResponse{Number: sw.Number, Vote: v}}}
		}
		if sw.Epoch != m.rank.Epoch {
			return m.report(now, from, false)
		}
	}
	b := m.ballot
	if b == nil || b.sw.Number.Less(sw.Number) || m.known && b.sw.Epoch != m.rank.Epoch {
		m.ballot = &ballot{sw: sw, askers: []string{from}}
		return nil
	}
	if b.sw.Number == sw.Number && !slices.Contains(b.askers, from) {
		b.askers = append(b.askers, from)
	}
	return nil
}

// learned notes an outcome. It may come before the order to arm, which is then
// refused: the rank would only stop for an outcome that is long known.
func (m *Member) learned(o Outcome) {
	if m.known && o.Epoch == m.rank.Epoch && m.outcome.Number.Less(o.Number) {
		m.outcome = o
	}
}

// Tick lets time pass.
func (m *Member) Tick(now time.Duration) []Action {
	var acts []Action
	if m.link.late(now, m.cfg.Timeout) {
		m.settle(lease.Lost)
	}
	acts = append(acts, m.tellHealth(now)...)
	acts = append(acts, m.countVotes(now)...)
	return append(acts, m.advance(now)...)
}

// tellHealth tells the steward when the rank's health changes, so that it need
// not ask often.
func (m *Member) tellHealth(now time.Duration) []Action {
	if m.steward == "" || m.Health(now) == m.sentAs {
		return nil
	}
	return m.report(now, m.steward, false)
}

// report says nothing before the rank has been read: an empty report would look
// like a rank that has lost its epoch.
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
	if to == m.steward {
		m.sentAs = health
	}
	return []Action{Send{To: to, Message: Report{
		Incarnation: m.incarnation, Sequence: m.reports, Fence: m.guard.Fence(), Health: health, Rank: s, StepTime: m.pulse.perStep,
	}}}
}
