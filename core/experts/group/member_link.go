package group

import (
	"errors"
	"time"

	"verbenashift/core/membership/lease"
)

// link is the one operation that a member has out at its rank.
type link struct {
	id    uint64
	busy  bool
	order Order
	sent  time.Duration
	// readAt is when the rank was last read.
	readAt time.Duration
	fresh  bool
}

func (l *link) late(now, timeout time.Duration) bool {
	return l.busy && now-l.sent >= timeout
}

func (l *link) begin(now time.Duration, o Order) uint64 {
	l.id++
	l.busy, l.order, l.sent = true, o, now
	return l.id
}

// Applied takes the rank's answer to an Apply: nil if it was applied, else the
// refusal. A lost answer is not told; it is noticed by its timeout.
func (m *Member) Applied(now time.Duration, id uint64, err error) []Action {
	if !m.link.busy || id != m.link.id {
		return nil
	}
	r := lease.Applied
	if err != nil {
		r = lease.Refused
	}
	m.settle(r)
	return m.advance(now)
}

// settle ends the operation that is out. Whatever became of an order, the rank
// is read before the next one: the answer may have been lost after the order
// took effect, and votes are read from the rank and not from memory.
func (m *Member) settle(r lease.Result) {
	o := m.link.order
	m.link.busy, m.link.fresh = false, false
	if o.Kind == 0 {
		return
	}
	m.guard.Done(r)
	if r == lease.Refused && o.Kind == ArmMap && m.ballot != nil && m.ballot.sw.Number == o.Base {
		m.ballot.rejected = true
	}
}

// Observed takes the answer to a Read. Alive is false if the engine refused the
// connection; a reading that is only late is noticed by its timeout.
func (m *Member) Observed(now time.Duration, id uint64, s RankState, alive bool) []Action {
	if !m.link.busy || id != m.link.id || m.link.order.Kind != 0 {
		return nil
	}
	m.link.busy, m.link.readAt = false, now
	if !alive {
		m.pulse.refused = true
		return append(m.tellHealth(now), m.advance(now)...)
	}
	m.pulse.observe(now, s)
	if !m.guard.SetApplied(now, s.Last) && !m.off.settle {
		return m.advance(now)
	}
	news := m.known && newsworthy(m.rank, s)
	m.rank, m.known, m.link.fresh = s, true, true
	m.noteHeld(now)
	acts := m.answerBallot()
	if m.steward != "" && news {
		acts = append(acts, m.report(now, m.steward, false)...)
	}
	acts = append(acts, m.tellHealth(now)...)
	return append(acts, m.advance(now)...)
}

// newsworthy reports whether the steward waits for the change from a to b.
// Arming is not among them, because the vote tells it.
func newsworthy(a, b RankState) bool {
	disarmed := !a.Armed.Number.IsZero() && b.Armed.Number.IsZero()
	return disarmed || a.Epoch != b.Epoch || a.Since != b.Since || a.Loaded != b.Loaded ||
		a.Incarnation != b.Incarnation
}

// advance starts the next operation at the rank, if one is due.
func (m *Member) advance(now time.Duration) []Action {
	if m.link.busy {
		return nil
	}
	if !m.link.fresh {
		return m.read(now)
	}
	if o, ok := m.choose(); ok {
		if m.begin(o) {
			return []Action{Apply{ID: m.link.begin(now, o), Order: o}}
		}
	}
	if now-m.link.readAt >= m.poll() {
		return m.read(now)
	}
	return nil
}

// poll returns the interval of readings, which is short while the rank may come
// to stand still.
func (m *Member) poll() time.Duration {
	const armedDivisor = 5
	if m.rank.Undecided() {
		return m.cfg.PollInterval / armedDivisor
	}
	return m.cfg.PollInterval
}

// begin asks the guard. A stale order is not sent; what it was for has been
// overtaken and the next report shows it.
func (m *Member) begin(o Order) bool {
	err := m.guard.Begin(o.Number)
	var wait *lease.WaitError
	unsettled := m.off.settle && errors.As(err, &wait)
	return err == nil || m.off.fence || unsettled
}

// read reads the rank, but not while an earlier order may still arrive after
// the reading: it would show a rank that is about to change.
func (m *Member) read(now time.Duration) []Action {
	if m.guard.CanRead(now) != nil && !m.off.settle {
		return nil
	}
	return []Action{Read{ID: m.link.begin(now, Order{})}}
}

// choose returns the order that the rank needs next: an outcome before
// anything else, because a held rank holds the whole group.
func (m *Member) choose() (Order, bool) {
	s := m.rank
	if s.Undecided() && m.outcome.Number == s.Armed.Number {
		return Order{
			Number: s.Armed.Number.Add(resolvePlace), Base: s.Armed.Number,
			Kind: ResolveMap, Epoch: s.Epoch, Commit: m.outcome.Commit,
		}, true
	}
	if o, ok := m.chooseForm(); ok {
		return o, true
	}
	// A rank with a switch under way takes no part in another one: the second
	// would overwrite what the rank has promised for the first.
	if !s.Armed.Number.IsZero() {
		return Order{}, false
	}
	if m.ballot != nil && s.Vote(m.ballot.sw) == Open && s.Epoch == m.ballot.sw.Epoch {
		return m.vote(m.ballot), true
	}
	return m.chooseLoad()
}

func (m *Member) chooseForm() (Order, bool) {
	f, s := m.form, m.rank
	if f == nil {
		return Order{}, false
	}
	overtaken := !s.Last.Less(f.Number.Add(mainPlace))
	if (overtaken || f.Incarnation != s.Incarnation) && !m.off.fence {
		m.form = nil
		return Order{}, false
	}
	if m.off.fence {
		m.form = nil
	}
	return Order{
		Number: f.Number.Add(mainPlace), Base: f.Number, Kind: FormGroup,
		Version: f.Version, Step: f.Step, Members: f.Members,
	}, true
}

func (m *Member) chooseLoad() (Order, bool) {
	p, s := m.prepare, m.rank
	if p == nil || s.Has(p.Version) || s.Loading == p.Version || !s.Ready() {
		return Order{}, false
	}
	number := p.Number.Add(loadPlace)
	if !s.Last.Less(number) {
		return Order{}, false
	}
	return Order{Number: number, Base: p.Number, Kind: LoadMap, Version: p.Version}, true
}

// vote returns the order that makes the rank's vote: arming, or a refusal that
// the rank remembers. A switch of a steward that has been overtaken is refused.
func (m *Member) vote(b *ballot) Order {
	sw, s := b.sw, m.rank
	late := sw.Step < s.Next && !m.off.arm
	stale := sw.Number.Fence < m.guard.Fence() && !m.off.fence
	aborted := m.outcome.Number == sw.Number && !m.outcome.Commit
	if b.rejected || aborted || late || stale || !s.Has(sw.Version) {
		return Order{Number: sw.Number.Add(resolvePlace), Base: sw.Number, Kind: ResolveMap, Epoch: sw.Epoch}
	}
	return Order{
		Number: sw.Number.Add(mainPlace), Base: sw.Number, Kind: ArmMap,
		Epoch: sw.Epoch, Version: sw.Version, Step: sw.Step,
	}
}
