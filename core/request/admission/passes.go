package admission

import (
	"time"

	"verbenashift/core/request/headroom"
)

// passes is what an entry knows of the forward passes of one group.
type passes struct {
	meter headroom.Meter
	limit headroom.Limit
	// deferral delays arrivals during a shift.
	deferral headroom.Deferral
	// streamTime is how long the responses of the group take, in the mean.
	streamTime time.Duration
}

// streamTimeWeight is the weight of one response in the mean of their times.
const streamTimeWeight = 0.05

// ended records how long a response has taken.
func (p *passes) ended(took time.Duration) {
	if p.streamTime == 0 {
		p.streamTime = took
		return
	}
	p.streamTime += time.Duration(streamTimeWeight * float64(took-p.streamTime))
}

// SetPassCost sets what a forward pass of the engines takes, how many slots each engine has, and
// the shortest pause between events that callers accept. With a zero cost passes limit nothing.
func (p *Pool) SetPassCost(cost headroom.Cost, engineSlots int, pause time.Duration) {
	p.passCost, p.engineSlots, p.shortestPause = cost, engineSlots, pause
	for _, g := range p.groups {
		p.setPassCost(g)
	}
}

func (p *Pool) setPassCost(g *group) {
	g.passes.limit.Cost = p.passCost
	if p.engineSlots > 0 {
		g.passes.limit.Cost.Ranks = g.slots / p.engineSlots
	}
}

// ObservePause records the pause between two events of a request's response.
func (p *Pool) ObservePause(id string, pause time.Duration, now time.Time) {
	g := p.assignments[id].group
	if g == nil {
		return
	}
	pass, ok := g.passes.meter.Observe(pause, now)
	if !ok || p.classes <= 1 {
		return
	}
	if g.fresh(now) {
		g.passes.limit.Observe(pass, g.lastLoad.Running, now)
	}
	if g.passes.limit.Cost.Base > 0 && g.passes.deferral.Observe(pass, p.shortestPause, now) {
		p.dispatch(now)
	}
}

// slack returns how long a request of a class that has just arrived may wait without missing its
// objective.
func (p *Pool) slack(class int) time.Duration {
	return max(p.lines[class].objective-p.fastestFirstEvent()-slackMargin, 0)
}

// slackMargin is what a deferred request keeps of its objective: a first event takes longer than
// usual where others were deferred too.
const slackMargin = 50 * time.Millisecond

// usableSlots returns how many requests the group may run, given its load. What waits at this
// entry is taken to wait at the others as well. A single class is not limited: there is none that
// could give way, and callers who wait for the room are late as well.
func (p *Pool) usableSlots(g *group, l Load, now time.Time) int {
	if p.classes <= 1 {
		return g.slots
	}
	waiting := p.waiting() * max(l.Entries, 1) / max(len(p.groups), 1)
	return g.passes.limit.Slots(headroom.Load{
		Slots: g.slots, Demand: l.Running + l.Queued + waiting,
		Pause: p.shortestPause, StreamTime: g.passes.streamTime,
	}, now)
}
