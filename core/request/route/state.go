package route

import (
	"math"
	"slices"
	"time"
)

// state is the current knowledge of one target.
type state struct {
	// queued is the work that was waiting when the load was measured, in tokens; ownWork is
	// this entry's work started since.
	queued  float64
	ownWork float64
	rate    float64
	// busy is the time to finish all known work, in seconds.
	busy float64
	// at is when the load was measured.
	at        int64
	distance  float64
	aggregate int
	group     int
	inFlight  int
	// sent is this entry's recent work, decaying since sentAt.
	sent   float64
	sentAt int64
	// share is the fraction of its normal work that the target may get: 0 when ejected,
	// between 0 and 1 in slow start.
	share float64

	incarnation uint64
	// drainedAt is when the agent last reported that it is draining.
	drainedAt int64
	// occupied is the Occupied of the last load; started and ended are when the entry's last
	// requests did.
	occupied       int
	started, ended recentTimes

	configured bool
	known      bool
	draining   bool
	leaving    bool
	distrusted bool
	// avoided targets are chosen only if no other can take a request, paused ones never.
	avoided bool
	paused  bool
}

const (
	// initialRate, in tokens a second, is used until the rate of any target of the aggregate
	// is known. It is the same for all targets, so that the choice does not depend on it.
	initialRate = 1000
	// meanGain is the weight of one sample in the moving means of an aggregate.
	meanGain = 0.05
	// remainingFraction is the fraction of its cost that a request in the batch still has to
	// do on average.
	remainingFraction = 0.5
	// sentDecay is the time constant with which sent work is forgotten: long enough that an
	// entry sends a target several requests in it.
	sentDecay = 30 * time.Second
	// drainHoldTime is how long an agent's report that it is draining overrides loads that
	// contradict it.
	drainHoldTime = 2 * time.Second
)

// nanos returns now as nanoseconds since the table's epoch.
func (t *Table) nanos(now time.Time) int64 {
	if t.epoch.IsZero() {
		// The epoch is in the past so that a zero timestamp, which stands for unset, is old
		// from the start.
		t.epoch = now.Add(-time.Hour)
	}
	return int64(now.Sub(t.epoch))
}

// Start records that a request with the given cost in tokens is sent to target i. It uses up
// the single request of a half-open target.
func (t *Table) Start(i int, cost float64, now time.Time) {
	s := &t.states[i]
	at := t.nanos(now)
	s.inFlight++
	t.setProbing(i, false)
	c := &t.aggregates[s.aggregate]
	c.cost = movingMean(c.cost, cost)
	s.sent, s.sentAt = decayed(s.sent, s.sentAt, at)+cost, at
	c.sent, c.sentAt = decayed(c.sent, c.sentAt, at)+cost, at
	t.recents[i].add(at, cost)
	s.started.add(at)
	t.addOwnWork(i, cost)
}

// End records that a request started at the given time has ended, whatever its outcome. The
// agent's load, if the response contained one, goes to Observe next.
func (t *Table) End(i int, cost float64, started time.Time) {
	s := &t.states[i]
	at := t.nanos(started)
	s.inFlight = max(0, s.inFlight-1)
	t.recents[i].remove(at, cost)
	if at >= s.at {
		t.addOwnWork(i, -min(cost, s.ownWork))
	}
}

// Left records that a request of this entry has left target i: its slot is free.
func (t *Table) Left(i int, now time.Time) { t.states[i].ended.add(t.nanos(now)) }

// LoadAge returns how old the last load of target i is, or a negative time if
// none is known.
func (t *Table) LoadAge(i int, now time.Time) time.Duration {
	if s := &t.states[i]; s.known {
		return time.Duration(t.nanos(now) - s.at)
	}
	return -time.Millisecond
}

// InFlight returns the entry's requests in progress at target i.
func (t *Table) InFlight(i int) int { return t.states[i].inFlight }

func (t *Table) addOwnWork(i int, work float64) {
	s := &t.states[i]
	s.ownWork += work
	busy := max(0, s.busy+work/t.rateOf(s))
	if s.known && s.configured {
		t.aggregates[s.aggregate].busy += busy - s.busy
	}
	s.busy = busy
}

func (t *Table) rateOf(s *state) float64 {
	if s.rate > 0 {
		return s.rate
	}
	if r := t.aggregates[s.aggregate].rate; r > 0 {
		return r
	}
	return initialRate
}

// Observe records the load that the agent of target i measured just now. A load of an older
// incarnation than the last is dropped; a newer one resets the state.
func (t *Table) Observe(i int, load Load, now time.Time) {
	s := &t.states[i]
	at := t.nanos(now)
	if load.Incarnation < s.incarnation {
		return
	}
	t.startIncarnation(i, load.Incarnation)
	switch {
	case load.Draining:
		s.draining, s.drainedAt = true, at
	case at-s.drainedAt > int64(drainHoldTime):
		// The last frames of several streams overtake each other. A load measured before the
		// drain began would reopen the target, and every request sent there would be refused:
		// the drain stays in effect until such loads have arrived.
		s.draining = false
	}
	t.applyLoad(i, load, at, 0)
}

// Report records a lagging load of target i that was measured at a time on this entry's clock.
// A report older than the current knowledge is dropped, and so is one of a distrusted
// reporter.
func (t *Table) Report(i int, load Load, taken time.Time) {
	s := &t.states[i]
	at := t.nanos(taken)
	if s.distrusted || load.Incarnation < s.incarnation || s.known && at <= s.at {
		return
	}
	t.startIncarnation(i, load.Incarnation)
	if load.Draining {
		s.draining, s.drainedAt = true, at
	}
	t.applyLoad(i, load, at, t.recents[i].since(at))
}

// startIncarnation resets what depends on an earlier process of the agent.
func (t *Table) startIncarnation(i int, incarnation uint64) {
	s := &t.states[i]
	if incarnation == s.incarnation {
		return
	}
	s.incarnation = incarnation
	s.draining, s.drainedAt = false, 0
	s.started, s.ended = recentTimes{}, recentTimes{}
	t.recents[i] = recent{}
}

// applyLoad replaces the known load of target i; ownWork is this entry's work that the load does
// not contain yet.
func (t *Table) applyLoad(i int, load Load, at int64, ownWork float64) {
	s := &t.states[i]
	c := &t.aggregates[s.aggregate]
	if load.Rate > 0 {
		s.rate = load.Rate
		c.rate = movingMean(c.rate, load.Rate)
	}
	work := load.Queued + float64(load.Running)*c.cost*remainingFraction + ownWork
	busy := work / t.rateOf(s)
	if s.configured {
		if !s.known {
			c.add(0, s.busy)
			c.busy -= s.busy
			s.busy, s.queued = 0, 0
		}
		c.queued += load.Queued - s.queued
		c.busy += busy - s.busy
	}
	s.known, s.at, s.occupied = true, at, load.Occupied
	s.queued, s.ownWork, s.busy = load.Queued, ownWork, busy
}

func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + meanGain*(sample-mean)
}

// Restarted resets what was decided on an earlier incarnation of target i: that it was
// ejected, avoided, paused, draining or leaving.
func (t *Table) Restarted(i int) {
	s := &t.states[i]
	s.share, s.leaving, s.avoided, s.paused, s.draining = 1, false, false, false, false
	s.started, s.ended = recentTimes{}, recentTimes{}
	t.setProbing(i, false)
}

// SetLeaving records whether the platform's instance list says that target i is shutting down.
func (t *Table) SetLeaving(i int, leaving bool) { t.states[i].leaving = leaving }

// SetHealth sets the fraction of its normal work that target i may get: 0 ejects it, 1 is
// normal. With probe set, one request that is neither urgent nor unrepeatable may go there all
// the same.
func (t *Table) SetHealth(i int, share float64, probe bool) {
	t.states[i].share = share
	t.setProbing(i, probe)
}

func (t *Table) setProbing(i int, on bool) {
	at := slices.Index(t.probing, uint16(i))
	switch {
	case on && at < 0:
		t.probing = append(t.probing, uint16(i))
	case !on && at >= 0:
		t.probing = slices.Delete(t.probing, at, at+1)
	}
}

// SetTrust sets whether the lagging reports of target i are used.
func (t *Table) SetTrust(i int, trusted bool) { t.states[i].distrusted = !trusted }

// PenaliseGroup adds a cost to the expected time of every target of a group until a time, for
// instance while the group changes its expert map.
func (t *Table) PenaliseGroup(group string, cost time.Duration, until time.Time) {
	g, ok := t.byGroup[group]
	if !ok || g == 0 {
		return
	}
	t.groups[g] = groupPenalty{cost.Seconds(), t.nanos(until)}
}

// decayed returns what remains of a sum of sent work.
func decayed(sum float64, since, now int64) float64 {
	return sum * math.Exp(-float64(now-since)/float64(sentDecay))
}
