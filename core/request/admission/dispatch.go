package admission

import (
	"time"

	"verbenashift/core/request/allotment"
	"verbenashift/core/request/precedence"
	"verbenashift/core/request/queue"
)

// Tick advances the time: requests that can no longer start in time are refused, and loads that
// are too old stop limiting anything.
func (p *Pool) Tick(now time.Time) {
	for _, g := range p.groups {
		g.expireLoad(now)
	}
	p.dispatch(now)
}

// Decisions returns the decisions since the last call. The slice is valid until the next call.
func (p *Pool) Decisions() []Decision {
	out := p.decisions
	p.decisions = p.decisions[len(p.decisions):]
	return out
}

// dispatch starts the requests that may start and refuses those that can't start in time.
func (p *Pool) dispatch(now time.Time) {
	// This also runs while nothing may start: a request must not wait beyond its limit because
	// the gates are closed.
	p.updateUrgentShare(now)
	for _, l := range p.lines {
		l.queue.Expire(now)
	}
	p.allot(now)
	p.startAll(now)
	p.updateSlots(now)
	p.updateUrgentShare(now)
	p.takeShed()
	p.updateHolds(now)
	// The end of a backlog is also noticed while no request arrives.
	for _, l := range p.lines {
		l.backlogAge(now)
	}
}

// takeShed decides the requests that the queues have removed unstarted.
func (p *Pool) takeShed() {
	for class, l := range p.lines {
		p.shed = l.queue.TakeShed(p.shed[:0])
		for _, s := range p.shed {
			hold := p.left(s.ID, class)
			l.countRefusal(hold)
			p.decisions = append(p.decisions, Decision{ID: s.ID, Refusal: s.Refusal, Hold: hold})
		}
	}
}

// startAll starts the requests that may start, in the order of their classes.
func (p *Pool) startAll(now time.Time) {
	// blocked are the classes none of whose waiting requests may start now.
	var blocked [precedence.MaxClasses]bool
	waits := func(class int) bool { return p.lines[class].queue.Load().Items > 0 }
	may := func(class int) bool { return !blocked[class] }
	for {
		turn, ok := p.turns.Next(len(p.lines), waits, may)
		if !ok {
			return
		}
		g := p.next(turn.Of, now)
		if g == nil {
			blocked[turn.Class] = true
			continue
		}
		p.updateSlots(now)
		item, ok := p.startNext(turn.Class, now)
		if !ok {
			blocked[turn.Class] = true
			continue
		}
		p.turns.Started(turn.Class, len(p.lines), waits)
		g.start(turn.Class, now)
		p.assignments[item.ID] = assignment{g, turn.Class, now}
		hold := p.left(item.ID, turn.Class)
		p.lines[turn.Class].countStart(hold)
		p.markPassed(turn.Class)
		p.decisions = append(p.decisions, Decision{ID: item.ID, Group: g.name, Hold: hold})
	}
}

// startNext takes the next request of a class from its queue, if it may start. A class whose turn it
// is has room for at least one, also if requests of a class before it wait.
func (p *Pool) startNext(class int, now time.Time) (queue.Item, bool) {
	q := p.lines[class].queue
	if running := p.running(); class > 0 && q.Load().Slots <= running {
		q.SetSlots(running + 1)
	}
	if p.waitsBehind(class) {
		q.WithoutReserve()
	}
	return q.Next(now)
}

// waitsBehind reports whether requests of a class behind wait.
func (p *Pool) waitsBehind(class int) bool {
	for _, l := range p.lines[class+1:] {
		if l.queue.Load().Items > 0 {
			return true
		}
	}
	return false
}

// updateUrgentShare decides who goes first: retrying callers while the queue holds requests
// that have waited since all groups were down, and otherwise callers that can be on time.
//
// The load pattern it handles is the return of engines after a power loss. Each caller that was
// being served has lost an attempt, comes back together with all the others, and mostly has no
// other attempt left; for about as long as all of them take, nobody is on time in any case.
func (p *Pool) updateUrgentShare(now time.Time) {
	switch {
	case p.Down(now):
		p.recovering = true
	case p.waiting() == 0:
		p.recovering = false
	}
	share := retryShare
	if p.recovering {
		share = recoveryShare
	}
	for _, l := range p.lines {
		l.queue.SetUrgentShare(share)
	}
}

// updateSlots sets how many requests may run in total before each queue has to wait. Room counts for a
// class unless a request of a class before it waits for it.
func (p *Pool) updateSlots(now time.Time) {
	before, running := 0, p.running()
	for class, l := range p.lines {
		room, reserve := 0, p.reserve(class, now)
		for _, g := range p.groups {
			room += g.room(class, reserve)
		}
		load := l.queue.Load()
		l.queue.SetOthers(running - load.Running)
		l.queue.SetSlots(running + max(room-before, 0))
		before += load.Items
	}
}

// Load returns the load of the queues.
func (p *Pool) Load() queue.Load {
	var sum queue.Load
	for _, l := range p.lines {
		load := l.queue.Load()
		sum.Queued += load.Queued
		sum.Items += load.Items
		sum.Running += load.Running
		sum.Rate = load.Rate
	}
	if len(p.lines) > 1 {
		sum.Rate = p.served.Rate()
	}
	sum.Slots = sum.Running
	for _, g := range p.groups {
		sum.Slots += max(g.sharedLimit()-g.running, 0)
	}
	return sum
}

// GroupLoad is the state of one group as this entry sees it.
type GroupLoad struct {
	Group string
	// Running is how many requests of this entry run there, Limit how many may.
	Running, Limit int
	// Slots is the total of its engines. Usable is how many of them all entries may take without
	// passes that are too long, and Stretch how many times as long as at evenly loaded ranks the
	// longest pass of the last seconds was.
	Slots   int `json:"-"`
	Usable  int
	Stretch float64 `json:"-"`
	// Demand is that of all entries if the group's slots are divided by it.
	Demand *allotment.Demand `json:",omitempty"`
	// Blocked is how many slots are free at targets to which this entry sends nothing.
	Blocked int `json:",omitempty"`
	// Available is false while the group refuses, is stalled or has lost a rank.
	// The log knows it as Works.
	Available bool `json:"Works"`
}

// Groups returns the state of each group, sorted by name.
func (p *Pool) Groups(now time.Time) []GroupLoad {
	out := make([]GroupLoad, 0, len(p.names))
	for _, name := range p.names {
		g := p.groups[name]
		out = append(out, GroupLoad{
			Group: name, Running: g.running, Limit: g.sharedLimit(), Slots: g.slots, Usable: g.usable, Stretch: g.passes.limit.Longest(now),
			Demand: g.sharedDemand(), Blocked: g.lastLoad.Blocked, Available: g.available(now),
		})
	}
	return out
}
