package admission

import (
	"time"

	"verbenashift/core/request/allotment"
	"verbenashift/core/request/queue"
)

// loadValidity is the maximum age of a coordinator's report that still limits anything: a
// coordinator reports each 0.2 s, and one that is lost is replaced in about a second.
const loadValidity = 1500 * time.Millisecond

// Load is the load of a group as reported by its coordinator.
type Load struct {
	Group string
	// Complete is false while the group has lost a rank.
	Complete bool
	// Running and Queued are the requests at all its ranks, from all entries.
	Running, Queued int
	// Blocked is how many slots are free at targets to which this entry sends nothing.
	Blocked int
	// PassTime is how long its forward passes take; 0 means unknown.
	PassTime time.Duration
	// Entries is how many entries send requests to it; 0 means unknown.
	Entries int
}

// group is what an entry knows of one group of engines.
type group struct {
	name string
	// slots is the total of all its engines, usable how many of them may be taken without passes
	// that are too long.
	slots, usable int
	passes        passes
	// limitedByLoad reports that the limits follow from a load that is valid.
	limitedByLoad bool
	// running is how many requests of this entry run there, limit how many may. usableLimit is
	// how many of a class and those before it may; see room.
	running, limit, usableLimit int
	// byClass is running by class.
	byClass allotment.Counts
	shared  shared
	// lastLoad is the last reported load, received at loadAt; startedSince is how many requests
	// of this entry have started there since.
	lastLoad     Load
	loadAt       time.Time
	startedSince int
	gate         queue.Gate
	// firstEvent estimates how long its engines take to the first event.
	firstEvent   queue.ServiceTime
	stalledUntil time.Time
	// grown is by how much the limit exceeds that of an equal part of the entries, while no load is
	// reported and the engines accept what is sent.
	grown int
	// recovering reports that limit is that of a group that has just become available.
	recovering bool
	// unproven reports that nothing is known of the group yet; see Pool.ColdStart.
	unproven bool
	// probeAt is when it may get the next request while it is not available.
	probeAt time.Time
	// missingSince is since when its coordinator has reported a rank as missing, and acceptedAt
	// when a target there last accepted a request that was sent after that.
	missingSince, acceptedAt time.Time
}

// fresh reports whether the last load is still valid.
func (g *group) fresh(now time.Time) bool {
	return !g.loadAt.IsZero() && now.Sub(g.loadAt) <= loadValidity
}

// resize sets the number of slots.
func (g *group) resize(slots int, now time.Time) {
	if slots == g.slots {
		return
	}
	g.slots, g.usable = slots, slots
	if g.fresh(now) {
		g.updateLimit(false)
		return
	}
	g.expireLoad(now)
}

// setLoad records a load. A group that has all its ranks again is tried at once. The argument
// waiting reports whether requests wait at this entry.
func (g *group) setLoad(l Load, waiting bool, now time.Time) {
	switch {
	case l.Complete && g.missingRank(now):
		g.gate.SetNextProbe(now)
	case !l.Complete && (g.lastLoad.Complete || !g.fresh(now)):
		g.missingSince = now
	}
	g.lastLoad, g.loadAt, g.startedSince, g.limitedByLoad = l, now, 0, false
	g.unproven, g.recovering, g.grown = false, false, 0
	if g.missingRank(now) {
		g.limit = queue.RecoveryLimit(g.slots, l.Entries)
		return
	}
	g.updateLimit(waiting)
	g.limitedByLoad = true
}

// updateLimit sets the limit from the last load.
func (g *group) updateLimit(waiting bool) {
	if g.slots == 0 {
		g.limit = 0
		return
	}
	e := queue.EngineLoad{Slots: g.open(), Running: g.lastLoad.Running, Queued: g.lastLoad.Queued, Entries: g.lastLoad.Entries, Waiting: waiting}
	g.limit = queue.EntryLimit(e, g.running)
	g.usableLimit = g.limit
	if g.usable < g.slots {
		e.Slots = min(g.usable, g.open())
		g.usableLimit = queue.EntryLimit(e, g.running)
		// An entry that runs little, or knows other passes than the others, keeps an equal part:
		// by its part of all requests it would lose what it has to them.
		if e.Entries > 0 {
			g.usableLimit = max(g.usableLimit, g.usable/e.Entries)
		}
	}
}

// open returns how many slots are at targets to which this entry sends requests.
func (g *group) open() int { return max(g.slots-g.lastLoad.Blocked, 1) }

// room returns how many requests of a class may start at the group, given how many slots it has
// to leave free for the classes before it. While fewer requests may run than there are slots,
// those of the last class give way first: a class has room as long as it and those before it run
// less than that.
func (g *group) room(class, reserve int) int {
	if g.shared.inForce {
		return g.shared.allotted.Room(class, g.byClass)
	}
	free := max(g.limit-g.running, 0)
	if !g.limitedByLoad {
		return free
	}
	free = max(free-min(reserve, g.limit/maxReserveDivisor), 0)
	if g.usable >= g.slots {
		return free
	}
	before := 0
	for _, n := range g.byClass[:class+1] {
		before += n
	}
	return min(free, max(g.usableLimit-before, 0))
}

// maxReserveDivisor is the fraction of its slots, one in so many, that is reserved for more urgent
// requests at most.
const maxReserveDivisor = 4

// expireLoad sets the limit without a load if none has been reported for a while.
func (g *group) expireLoad(now time.Time) {
	g.limitedByLoad = g.limitedByLoad && g.fresh(now)
	switch {
	case g.unproven:
		g.limit = queue.RecoveryLimit(g.slots, g.lastLoad.Entries)
	case !g.fresh(now):
		g.limit = min(queue.StaleLimit(g.slots, g.lastLoad.Entries)+g.grown, max(g.slots, 1))
	}
}

// growStaleLimit raises the limit of a group whose load is not reported by one, since it has accepted
// a request, and reports whether it did. Most of the callers may be at this entry.
func (g *group) growStaleLimit(now time.Time) bool {
	if g.unproven || g.recovering || g.fresh(now) || g.running < g.limit || g.limit >= g.slots {
		return false
	}
	g.grown++
	g.limit++
	return true
}

// resetAfterOutage limits the requests to a group that has just become available, until its
// load is reported.
func (g *group) resetAfterOutage(now time.Time) {
	g.limit, g.recovering = queue.RecoveryLimit(g.slots, g.lastLoad.Entries), true
	g.limitedByLoad = false
	g.lastLoad, g.loadAt, g.startedSince = Load{Group: g.name, Complete: true, Running: g.running, Entries: g.lastLoad.Entries}, now, 0
}

// start counts a request that is sent to the group.
func (g *group) start(class int, now time.Time) {
	if !g.available(now) {
		g.probed(now)
	}
	g.enter(class)
	g.startedSince++
}

// enter counts a request that runs at the group, leave one that no longer does.
func (g *group) enter(class int) {
	g.running++
	g.byClass[class]++
}

func (g *group) leave(class int) {
	g.running--
	g.byClass[class]--
}

const (
	// probeInterval is the pause between the requests to a group that is not available, as far
	// as is known, and missingRankProbeInterval that for a group whose coordinator reports a
	// missing rank. The coordinator is seldom wrong, and each such request is refused and has
	// to be sent again, from a retry budget that all entries share.
	probeInterval            = 150 * time.Millisecond
	missingRankProbeInterval = time.Second
)

// mayProbe reports whether a group that is not available may get a request all the same, to
// find out when it is back.
func (g *group) mayProbe(now time.Time) bool {
	return g.slots > 0 && !now.Before(g.probeAt) && (!g.gate.Closed() || g.gate.ProbeDue(now))
}

// probed counts a probe request to a group that is not available.
func (g *group) probed(now time.Time) {
	g.gate.Allow(now)
	g.probeAt = now.Add(probeInterval)
	if g.missingRank(now) {
		g.probeAt = now.Add(missingRankProbeInterval)
		g.gate.SetNextProbe(g.probeAt)
	}
}

// missingRank reports whether the coordinator says that the group has lost a rank, and no
// target there has shown that this is wrong: the coordinator may just be unable to read a rank.
func (g *group) missingRank(now time.Time) bool {
	return g.fresh(now) && !g.lastLoad.Complete && now.Sub(g.acceptedAt) > acceptedValidity
}

// acceptedValidity is how long an accepted request overrides the coordinator's report. All
// ranks stall at once when one is lost.
const acceptedValidity = time.Second

// accepted records that a target has accepted a request that was sent at the given time.
func (g *group) accepted(sent, now time.Time) {
	if g.fresh(now) && !g.lastLoad.Complete && !sent.Before(g.missingSince) {
		g.acceptedAt = now
	}
}

// growLimit raises the limit of a group that has just become available by one, since it has
// accepted a request, and reports whether it did. The limit would otherwise stay low until a
// coordinator reports, and none does while it is being replaced.
func (g *group) growLimit() bool {
	if !g.recovering || g.limit >= queue.StaleLimit(g.slots, g.lastLoad.Entries) {
		return false
	}
	g.limit++
	return true
}

// available reports whether the group serves requests, as far as is known.
func (g *group) available(now time.Time) bool {
	return g.slots > 0 && !g.unproven && !g.gate.Closed() && !g.missingRank(now) && !now.Before(g.stalledUntil)
}
