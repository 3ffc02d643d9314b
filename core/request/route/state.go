package route

import (
	"math"
	"slices"
	"time"
)

// state is what the entry knows of one target.
type state struct {
	// queued is the work waiting when the load was taken, in tokens; own is
	// this entry's work started since.
	queued float64
	own    float64
	rate   float64
	// busy is the time to finish all work known, in seconds.
	busy float64
	// at is when the load was taken.
	at       int64
	distance float64
	crowd    int
	group    int
	inFlight int
	// sent is this entry's work of the last while, decaying since sentAt.
	sent   float64
	sentAt int64
	// share is the part of its normal work that the target may get: 0 when
	// ejected, between 0 and 1 in slow start.
	share float64

	incarnation uint64
	// drainedAt is when the agent last said that it is draining.
	drainedAt  int64
	configured bool
	known      bool
	draining   bool
	leaving    bool
	distrusted bool
	// avoided targets are taken only if no other may be, held ones never.
	avoided bool
	held    bool
}

const (
	// initialRate stands in until the rate of any target of the crowd is
	// known, in tokens a second. All targets get the same, so that the choice
	// does not depend on it.
	initialRate = 1000
	// crowdGain is the weight of one sample in the moving means of a crowd.
	crowdGain = 0.05
	// runningLeft is the part of its cost that a request in the batch still
	// has to do on average.
	runningLeft = 0.5
	// sentMemory is the time constant in which sent work is forgotten: long
	// enough that an entry sends a target several requests in it.
	sentMemory = 30 * time.Second
	// drainHold is how long an agent's word that it drains outlasts loads
	// that say otherwise.
	drainHold = 2 * time.Second
)

// nanos returns now on the table's own line of time.
func (t *Table) nanos(now time.Time) int64 {
	if t.epoch.IsZero() {
		// The first moments of the table must not look like an age of zero.
		t.epoch = now.Add(-time.Hour)
	}
	return int64(now.Sub(t.epoch))
}

// Start records that a request of the given cost in tokens goes to target i.
// It uses up the single request of a half-open target.
func (t *Table) Start(i int, cost float64, now time.Time) {
	s := &t.states[i]
	at := t.nanos(now)
	s.inFlight++
	t.setProbing(i, false)
	c := &t.crowds[s.crowd]
	c.cost = moving(c.cost, cost)
	s.sent, s.sentAt = decayed(s.sent, s.sentAt, at)+cost, at
	c.sent, c.sentAt = decayed(c.sent, c.sentAt, at)+cost, at
	t.recents[i].add(at, cost)
	t.addOwn(i, cost)
}

// End records that a request started at the given time has ended, whatever its
// outcome. The agent's load, if the end brought one, goes to Observe next.
func (t *Table) End(i int, cost float64, started time.Time) {
	s := &t.states[i]
	at := t.nanos(started)
	s.inFlight = max(0, s.inFlight-1)
	t.recents[i].remove(at, cost)
	if at >= s.at {
		t.addOwn(i, -min(cost, s.own))
	}
}

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

func (t *Table) addOwn(i int, work float64) {
	s := &t.states[i]
	s.own += work
	busy := max(0, s.busy+work/t.rateOf(s))
	if s.known && s.configured {
		t.crowds[s.crowd].busy += busy - s.busy
	}
	s.busy = busy
}

func (t *Table) rateOf(s *state) float64 {
	if s.rate > 0 {
		return s.rate
	}
	if r := t.crowds[s.crowd].rate; r > 0 {
		return r
	}
	return initialRate
}

// Observe takes the load that the agent of target i measured just now. A load
// of an older incarnation than the last is dropped; a newer one starts afresh.
func (t *Table) Observe(i int, load Load, now time.Time) {
	s := &t.states[i]
	at := t.nanos(now)
	if load.Incarnation < s.incarnation {
		return
	}
	t.renew(i, load.Incarnation)
	switch {
	case load.Draining:
		s.draining, s.drainedAt = true, at
	case at-s.drainedAt > int64(drainHold):
		// Ends of several streams overtake each other. A load taken before
		// the drain began would reopen the target, and every request sent
		// there would be refused: the drain holds until such loads are past.
		s.draining = false
	}
	t.learn(i, load, at, 0)
}

// Report takes a lagging load of target i that was taken at a time on this
// entry's clock. A report older than what is known is dropped, and so is one
// of a distrusted reporter.
func (t *Table) Report(i int, load Load, taken time.Time) {
	s := &t.states[i]
	at := t.nanos(taken)
	if s.distrusted || load.Incarnation < s.incarnation || s.known && at <= s.at {
		return
	}
	t.renew(i, load.Incarnation)
	if load.Draining {
		s.draining, s.drainedAt = true, at
	}
	t.learn(i, load, at, t.recents[i].since(at))
}

// renew forgets what was known of the earlier life of an agent.
func (t *Table) renew(i int, incarnation uint64) {
	s := &t.states[i]
	if incarnation == s.incarnation {
		return
	}
	s.incarnation = incarnation
	s.draining, s.drainedAt = false, 0
	t.recents[i] = recent{}
}

// learn replaces what is known of target i; own is this entry's work that the
// load does not contain yet.
func (t *Table) learn(i int, load Load, at int64, own float64) {
	s := &t.states[i]
	c := &t.crowds[s.crowd]
	if load.Rate > 0 {
		s.rate = load.Rate
		c.rate = moving(c.rate, load.Rate)
	}
	work := load.Queued + float64(load.Running)*c.cost*runningLeft + own
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
	s.known, s.at = true, at
	s.queued, s.own, s.busy = load.Queued, own, busy
}

func moving(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + crowdGain*(sample-mean)
}

// Restarted forgets what was decided on an earlier incarnation of target i: that it was
// ejected, avoided, or said to leave.
func (t *Table) Restarted(i int) {
	s := &t.states[i]
	s.share, s.leaving, s.avoided, s.held, s.draining = 1, false, false, false, false
	t.setProbing(i, false)
}

// SetLeaving records what the platform's instance list says of target i.
func (t *Table) SetLeaving(i int, leaving bool) { t.states[i].leaving = leaving }

// SetHealth sets the share of its normal work that target i may get: 0 ejects
// it, 1 is normal. With probe set, one request that is neither urgent nor
// unrepeatable may go there all the same.
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

// SetTrust says whether the lagging reports of target i are believed.
func (t *Table) SetTrust(i int, trusted bool) { t.states[i].distrusted = !trusted }

// PenaliseGroup adds a cost to the expected time of every target of a group
// until a time, for instance while the group switches its expert map.
func (t *Table) PenaliseGroup(group string, cost time.Duration, until time.Time) {
	g, ok := t.byGroup[group]
	if !ok || g == 0 {
		return
	}
	t.groups[g] = slowdown{cost.Seconds(), t.nanos(until)}
}

// decayed returns what is left of a sum of sent work.
func decayed(sum float64, since, now int64) float64 {
	return sum * math.Exp(-float64(now-since)/float64(sentMemory))
}
