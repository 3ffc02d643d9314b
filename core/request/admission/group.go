package admission

import (
	"time"

	"verbenashift/core/request/queue"
)

// loadValid is how old the word of a steward may be to limit anything: a steward
// speaks each 0.2 s, and one that is lost is replaced in about a second.
const loadValid = 1500 * time.Millisecond

// Load is the load of a group as its steward tells it.
type Load struct {
	Group string
	// Complete is false while the group has lost a rank.
	Complete bool
	// Running and Queued are the requests at all its ranks, from all entries.
	Running, Queued int
	// PassTime is how long its passes take; 0 if that is not known.
	PassTime time.Duration
	// Entries is how many entries send to it; 0 if that is not known.
	Entries int
}

// group is what an entry knows of one group of engines.
type group struct {
	name string
	// slots are those of all its engines.
	slots int
	// own is how many requests of this entry run there, allowed how many may.
	own, allowed int
	// last is the last load that was told, at toldAt; since is how many requests of
	// this entry have started there since.
	last   Load
	toldAt time.Time
	since  int
	gate   queue.Gate
	// firstEvent is how long its engines take to the first event.
	firstEvent  queue.ServiceTime
	silentUntil time.Time
	// unproven says that nothing is known of it yet; see Pool.Starting.
	unproven bool
	// probeAt is when it may get the next request while it does not work.
	probeAt time.Time
	// lostAt is since when its steward tells that it lacks a rank, and provedAt when a
	// target there has last taken a request that was sent after that.
	lostAt, provedAt time.Time
}

// fresh reports whether the last load still counts.
func (g *group) fresh(now time.Time) bool {
	return !g.toldAt.IsZero() && now.Sub(g.toldAt) <= loadValid
}

// resize takes a new number of slots.
func (g *group) resize(slots int, now time.Time) {
	if slots == g.slots {
		return
	}
	g.slots = slots
	if g.fresh(now) {
		g.allow(false)
		return
	}
	g.age(now)
}

// tell takes a load. A group that has its ranks again is tried at once. Waiting says that
// requests wait at this entry.
func (g *group) tell(l Load, waiting bool, now time.Time) {
	switch {
	case l.Complete && g.lost(now):
		g.gate.SetNextProbe(now)
	case !l.Complete && (g.last.Complete || !g.fresh(now)):
		g.lostAt = now
	}
	g.last, g.toldAt, g.since = l, now, 0
	g.unproven = false
	if g.lost(now) {
		g.allowed = queue.RecoveryLimit(g.slots, l.Entries)
		return
	}
	g.allow(waiting)
}

// allow sets the limit by the last load.
func (g *group) allow(waiting bool) {
	if g.slots == 0 {
		g.allowed = 0
		return
	}
	e := queue.EngineLoad{Slots: g.slots, Running: g.last.Running, Queued: g.last.Queued, Entries: g.last.Entries, Waiting: waiting}
	g.allowed = queue.EntryLimit(e, g.own)
}

// age sets the limit without a load when nothing has been told for a while.
func (g *group) age(now time.Time) {
	switch {
	case g.unproven:
		g.allowed = queue.RecoveryLimit(g.slots, g.last.Entries)
	case !g.fresh(now):
		g.allowed = queue.StaleLimit(g.slots, g.last.Entries)
	}
}

// reopen limits the requests to a group that has just come back, until its load is told.
func (g *group) reopen(now time.Time) {
	g.allowed = queue.RecoveryLimit(g.slots, g.last.Entries)
	g.last, g.toldAt, g.since = Load{Group: g.name, Complete: true, Running: g.own, Entries: g.last.Entries}, now, 0
}

// start counts a request that goes there.
func (g *group) start(now time.Time) {
	if !g.works(now) {
		g.probed(now)
	}
	g.own++
	g.since++
}

const (
	// probeEvery is the pause between the requests that a group gets which does not work,
	// as far as is known, and lostProbe that of a group of which its steward tells that it
	// lacks a rank. The steward is seldom wrong, and each such request is refused and has
	// to be sent again, out of a budget that all entries share.
	probeEvery = 150 * time.Millisecond
	lostProbe  = time.Second
)

// mayProbe reports whether a group that does not work may get a request all the same, so
// that somebody finds out when it is back.
func (g *group) mayProbe(now time.Time) bool {
	return g.slots > 0 && !now.Before(g.probeAt) && (!g.gate.Closed() || g.gate.ProbeDue(now))
}

// probed counts a request to a group that does not work.
func (g *group) probed(now time.Time) {
	g.gate.Allow(now)
	g.probeAt = now.Add(probeEvery)
	if g.lost(now) {
		g.probeAt = now.Add(lostProbe)
		g.gate.SetNextProbe(g.probeAt)
	}
}

// lost reports whether the steward tells that the group has lost a rank, and no target there
// has shown that it is wrong: it may just be unable to read one.
func (g *group) lost(now time.Time) bool {
	return g.fresh(now) && !g.last.Complete && now.Sub(g.provedAt) > provedFor
}

// provedFor is how long a request that was taken goes before the word of the steward. All
// ranks stand still at once when one is lost.
const provedFor = time.Second

// accepted takes the word that a target has taken a request that was sent at a time.
func (g *group) accepted(sent, now time.Time) {
	if g.fresh(now) && !g.last.Complete && !sent.Before(g.lostAt) {
		g.provedAt = now
	}
}

// works reports whether the group serves, as far as is known.
func (g *group) works(now time.Time) bool {
	return g.slots > 0 && !g.unproven && !g.gate.Closed() && !g.lost(now) && !now.Before(g.silentUntil)
}
