package admission

import "time"

// Cause is what kept a request from starting.
type Cause string

// The causes. The first that applies counts.
const (
	// HeldByOutage: no group is available.
	HeldByOutage Cause = "outage"
	// HeldByShift: the passes of the groups that have room are long now, and it can wait.
	HeldByShift Cause = "shift"
	// HeldByGateways: slots are free, but requests at other entries go before it.
	HeldByGateways Cause = "gateways"
	// HeldByPasses: slots are free, but more running requests would make passes too long.
	HeldByPasses Cause = "passes"
	// HeldByClass: requests of a class before its own wait, were started while it waited, or are
	// expected so soon that the free slots are reserved for them.
	HeldByClass Cause = "class"
	// HeldBySlots: this entry has no free slot.
	HeldBySlots Cause = "slots"
)

// Hold is what kept a request from starting when the Pool last decided.
type Hold struct {
	// Cause is empty for a request that has started at once.
	Cause Cause
	// LoadAge is the age of the oldest load that the limits followed from; 0 if they followed
	// from none.
	LoadAge time.Duration
}

// gaveWay reports whether the request waited for others although it could have run.
func (h Hold) gaveWay() bool {
	return h.Cause != "" && h.Cause != HeldByOutage && h.Cause != HeldBySlots
}

// Tally counts the requests of one class at this entry.
type Tally struct {
	// Waiting and Running are the present numbers.
	Waiting, Running int
	// Started and Refused are the totals of requests that have left the queue. GaveWay counts those
	// of them that were held by a class before their own, or by the length of passes.
	Started, Refused, GaveWay int64
}

// countStart counts a request that has left the queue to run.
func (l *line) countStart(h Hold) {
	l.tally.Started++
	l.count(h)
}

// countRefusal counts a request that was refused.
func (l *line) countRefusal(h Hold) {
	l.tally.Refused++
	l.count(h)
}

func (l *line) count(h Hold) {
	if h.gaveWay() {
		l.tally.GaveWay++
	}
}

// Tallies returns the counts of each class.
func (p *Pool) Tallies() []Tally {
	out := make([]Tally, len(p.lines))
	for i, l := range p.lines {
		load := l.queue.Load()
		out[i] = l.tally
		out[i].Waiting, out[i].Running = load.Items, load.Running
	}
	return out
}

// Hold returns what keeps requests of a class from starting now.
func (p *Pool) Hold(class int, now time.Time) Hold {
	class = p.classOf(class)
	h := Hold{Cause: HeldBySlots, LoadAge: p.loadAge(now)}
	switch withheld := p.withheld(class, now); {
	case p.Down(now):
		h.Cause = HeldByOutage
	case withheld != "":
		h.Cause = withheld
	case p.waitingBefore(class) > 0:
		h.Cause = HeldByClass
	}
	return h
}

// arrived records that a request has arrived, and counts the requests that have.
func (p *Pool) arrived(id string) {
	p.enqueued++
	p.waitingSince[id] = p.enqueued
	p.arriving = id
}

// left returns what has kept a request of a class from starting that leaves its queue: nothing if it
// has just arrived.
func (p *Pool) left(id string, class int) Hold {
	since := p.waitingSince[id]
	delete(p.waitingSince, id)
	if id == p.arriving {
		return Hold{}
	}
	l := p.lines[class]
	h := l.hold
	if h.Cause == HeldBySlots && l.passedAt >= since {
		h.Cause = HeldByClass
	}
	return h
}

// updateHolds records what keeps the waiting requests from starting, for the decisions to come.
func (p *Pool) updateHolds(now time.Time) {
	for class, l := range p.lines {
		l.hold = Hold{}
		if l.queue.Load().Items > 0 {
			l.hold = p.Hold(class, now)
		}
	}
}

// markPassed records that a request of a class has started before the waiting ones behind it.
func (p *Pool) markPassed(class int) {
	for _, l := range p.lines[class+1:] {
		l.passedAt = p.enqueued
	}
}

// withheld returns why a class gets none of the slots that this entry has free at available groups,
// or "" if it has none or the class gets some.
func (p *Pool) withheld(class int, now time.Time) (cause Cause) {
	reserve, slack := p.reserve(class, now), p.slack(class)
	for _, name := range p.names {
		g := p.groups[name]
		if !g.available(now) || g.sharedLimit() <= g.running {
			continue
		}
		switch {
		case g.room(class, reserve) > 0 && !g.passes.deferral.Defers(slack, now):
			return ""
		case g.room(class, reserve) > 0:
			cause = HeldByShift
		case g.shared.inForce:
			cause = HeldByGateways
		case g.limitedByLoad && g.usable < g.slots:
			cause = HeldByPasses
		default:
			cause = HeldByClass // the slots are reserved
		}
	}
	return cause
}

// waitingBefore returns how many requests of the classes before one wait.
func (p *Pool) waitingBefore(class int) int {
	n := 0
	for _, l := range p.lines[:class] {
		n += l.queue.Load().Items
	}
	return n
}

// loadAge returns the age of the oldest load that limits anything, or 0.
func (p *Pool) loadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, g := range p.groups {
		if g.fresh(now) {
			oldest = max(oldest, now.Sub(g.loadAt))
		}
	}
	return oldest
}
