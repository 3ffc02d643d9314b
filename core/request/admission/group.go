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
	// Open is false while the group has lost a rank.
	Open bool
	// Running and Queued are the requests at all its ranks, from all entries.
	Running, Queued int
	// Pass is how long its passes take; 0 if that is not known.
	Pass time.Duration
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
		g.allow()
		return
	}
	g.age(now)
}

// tell takes a load.
func (g *group) tell(l Load, now time.Time) {
	g.last, g.toldAt, g.since = l, now, 0
	g.allow()
}

// allow sets the limit by the last load.
func (g *group) allow() {
	if g.slots == 0 {
		g.allowed = 0
		return
	}
	g.allowed = queue.Allowed(queue.Engines{Slots: g.slots, Running: g.last.Running, Queued: g.last.Queued, Entries: g.last.Entries}, g.own)
}

// age sets the limit without a load when nothing has been told for a while.
func (g *group) age(now time.Time) {
	if !g.fresh(now) {
		g.allowed = queue.Untold(g.slots, g.last.Entries)
	}
}

// reopen limits the requests to a group that has just come back, until its load is told.
func (g *group) reopen(now time.Time) {
	g.allowed = queue.Reopened(g.slots, g.last.Entries)
	g.last, g.toldAt, g.since = Load{Group: g.name, Open: true, Running: g.own, Entries: g.last.Entries}, now, 0
}

// start counts a request that goes there.
func (g *group) start(now time.Time) {
	g.own++
	g.since++
	if g.gate.Closed() {
		// It is the probe; the next one comes later.
		g.gate.Pass(now)
	}
}

// lost reports whether the steward tells that the group has lost a rank.
func (g *group) lost(now time.Time) bool { return g.fresh(now) && !g.last.Open }

// works reports whether the group serves, as far as is known.
func (g *group) works(now time.Time) bool {
	return g.slots > 0 && !g.gate.Closed() && !g.lost(now) && !now.Before(g.silentUntil)
}
