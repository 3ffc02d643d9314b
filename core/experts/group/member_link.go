package group

import (
	"errors"
	"time"

	"verbenashift/core/membership/lease"
)

// link is the one operation that a member has in flight at its rank.
type link struct {
	id    uint64
	busy  bool
	order Order
	sent  time.Duration
	// readAt is when the rank was last read.
	readAt time.Duration
	fresh  bool
}

func (l *link) timedOut(now, timeout time.Duration) bool {
	return l.busy && now-l.sent >= timeout
}

func (l *link) begin(now time.Duration, o Order) uint64 {
	l.id++
	l.busy, l.order, l.sent = true, o, now
	return l.id
}

// Applied handles the rank's answer to an Apply: nil if it was applied, else the refusal. A
// lost answer is not reported; the operation times out.
func (m *Member) Applied(now time.Duration, id uint64, err error) []Action {
	if !m.link.busy || id != m.link.id {
		return nil
	}
	r := lease.Applied
	if err != nil {
		r = lease.Refused
	}
	m.endOperation(r)
	return m.advance(now)
}

// endOperation ends the operation in flight. Whatever the result of an order, the rank is read
// before the next one: the answer may have been lost after the order took effect, and votes
// are read from the rank and not from memory.
func (m *Member) endOperation(r lease.Result) {
	o := m.link.order
	m.link.busy, m.link.fresh = false, false
	if o.Kind == 0 {
		return
	}
	m.guard.Done(r)
	if r == lease.Refused && o.Kind == ArmMap && m.pendingVote != nil && m.pendingVote.sw.Number == o.Base {
		m.pendingVote.rejected = true
	}
}

// Observed handles the answer to a Read. Alive is false if the engine refused the connection;
// a reading that is only late times out.
func (m *Member) Observed(now time.Duration, id uint64, s RankState, alive bool) []Action {
	if !m.link.busy || id != m.link.id || m.link.order.Kind != 0 {
		return nil
	}
	m.link.busy, m.link.readAt = false, now
	if !alive {
		m.progress.unreachable = true
		return append(m.reportHealthChange(now), m.advance(now)...)
	}
	m.progress.observe(now, s)
	if !m.guard.SetApplied(now, s.Last) && !m.off.readBack {
		return m.advance(now)
	}
	changed := m.known && reportable(m.rank, s)
	m.rank, m.known, m.link.fresh = s, true, true
	m.updateHeld(now)
	acts := m.answerPendingVote()
	if m.coordinator != "" && changed {
		acts = append(acts, m.report(now, m.coordinator, false)...)
	}
	acts = append(acts, m.reportHealthChange(now)...)
	return append(acts, m.advance(now)...)
}

// reportable reports whether the coordinator waits for the change from a to b. Arming is not
// among these changes, because the vote shows it.
func reportable(a, b RankState) bool {
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
	if now-m.link.readAt >= m.pollInterval() {
		return m.read(now)
	}
	return nil
}

// pollInterval returns the interval of readings, which is short while the rank may come to a
// stop.
func (m *Member) pollInterval() time.Duration {
	const armedDivisor = 5
	if m.rank.Undecided() {
		return m.cfg.PollInterval / armedDivisor
	}
	return m.cfg.PollInterval
}

// begin reports whether the guard lets an order be sent. A stale order is not sent: newer
// orders have replaced its purpose, and the next report shows it.
func (m *Member) begin(o Order) bool {
	err := m.guard.Begin(o.Number)
	var wait *lease.WaitError
	unsettled := m.off.readBack && errors.As(err, &wait)
	return err == nil || m.off.fence || unsettled
}

// read reads the rank, but not while an earlier order may still arrive after the reading: it
// would show a rank that is about to change.
func (m *Member) read(now time.Duration) []Action {
	if m.guard.CanRead(now) != nil && !m.off.readBack {
		return nil
	}
	return []Action{Read{ID: m.link.begin(now, Order{})}}
}

// choose returns the order that the rank needs next: an outcome before anything else, because
// a held rank stops the whole group.
func (m *Member) choose() (Order, bool) {
	s := m.rank
	if s.Undecided() && m.outcome.Number == s.Armed.Number {
		return Order{
			Number: s.Armed.Number.Add(resolveOffset), Base: s.Armed.Number,
			Kind: ResolveMap, Epoch: s.Epoch, Commit: m.outcome.Commit,
		}, true
	}
	if o, ok := m.chooseForm(); ok {
		return o, true
	}
	// A rank with a switch under way does not take part in another one: the second would
	// overwrite what the rank has promised for the first.
	if !s.Armed.Number.IsZero() {
		return Order{}, false
	}
	if m.pendingVote != nil && s.Vote(m.pendingVote.sw) == Open && s.Epoch == m.pendingVote.sw.Epoch {
		return m.vote(m.pendingVote), true
	}
	return m.chooseLoad()
}

func (m *Member) chooseForm() (Order, bool) {
	f, s := m.form, m.rank
	if f == nil {
		return Order{}, false
	}
	stale := !s.Last.Less(f.Number.Add(mainOffset))
	if (stale || f.Incarnation != s.Incarnation) && !m.off.fence {
		m.form = nil
		return Order{}, false
	}
	if m.off.fence {
		m.form = nil
	}
	return Order{
		Number: f.Number.Add(mainOffset), Base: f.Number, Kind: FormGroup,
		Version: f.Version, Step: f.Step, Members: f.Members,
	}, true
}

func (m *Member) chooseLoad() (Order, bool) {
	p, s := m.prepare, m.rank
	if p == nil || s.Has(p.Version) || s.Loading == p.Version || !s.Ready() {
		return Order{}, false
	}
	number := p.Number.Add(loadOffset)
	if !s.Last.Less(number) {
		return Order{}, false
	}
	return Order{Number: number, Base: p.Number, Kind: LoadMap, Version: p.Version}, true
}

// vote returns the order that makes the rank's vote: arming, or a refusal that the rank
// stores. A switch of a superseded coordinator is refused.
func (m *Member) vote(b *pendingVote) Order {
	sw, s := b.sw, m.rank
	late := sw.Step < s.Next && !m.off.arm
	stale := sw.Number.Fence < m.guard.Fence() && !m.off.fence
	aborted := m.outcome.Number == sw.Number && !m.outcome.Commit
	if b.rejected || aborted || late || stale || !s.Has(sw.Version) {
		return Order{Number: sw.Number.Add(resolveOffset), Base: sw.Number, Kind: ResolveMap, Epoch: sw.Epoch}
	}
	return Order{
		Number: sw.Number.Add(mainOffset), Base: sw.Number, Kind: ArmMap,
		Epoch: sw.Epoch, Version: sw.Version, Step: sw.Step,
	}
}
