package admission

import (
	"time"

	"verbenashift/core/request/queue"
)

const (
	// retryAfterShare is the part of its remaining time after which the caller of a service that
	// is down may come back: callers honour at most a third.
	retryAfterShare = 0.32
	// retryAfterJitter is the random part of that time, so that callers don't come back
	// together.
	retryAfterJitter = 0.33
)

// Refused records that a target has refused the request. It reports whether this closed the
// gate of the target's group.
func (p *Pool) Refused(id, target string, now time.Time) bool {
	g := p.assignments[id].group
	if g == nil {
		return false
	}
	g.grown /= 2
	return g.gate.Refused(target, now)
}

// Accepted records that a target has accepted the request. It reports whether this opened the
// gate of its group.
func (p *Pool) Accepted(id string, now time.Time) bool {
	at := p.assignments[id]
	g := at.group
	if g == nil {
		return false
	}
	wasAvailable := g.available(now)
	g.unproven = false
	g.accepted(at.sentAt, now)
	opened := g.gate.Accepted()
	if !wasAvailable && g.available(now) {
		g.resetAfterOutage(now)
		p.dispatch(now)
	} else if g.growLimit() || g.growStaleLimit(now) {
		p.dispatch(now)
	}
	return opened
}

// ObserveFirstEvent records how long after its start the request got its first event.
func (p *Pool) ObserveFirstEvent(id string, d time.Duration) {
	if g := p.assignments[id].group; g != nil {
		g.firstEvent.Observe(d)
	}
}

// MarkStalled records that a group has sent nothing for a while although responses are in
// progress there: it counts as stalled until the given time.
func (p *Pool) MarkStalled(group string, until time.Time) {
	if g := p.groups[group]; g != nil {
		g.stalledUntil = until
	}
}

// Move returns the group for another attempt of a request, and whether it differs from the
// previous one. A request leaves a group that refuses, is stalled or has lost a rank if another
// group is available, even one without capacity: the stream has already begun, or its caller
// has already waited in the queue.
func (p *Pool) Move(id string, now time.Time) (name string, moved bool) {
	from := p.assignments[id].group
	if from == nil {
		return "", false
	}
	if from.available(now) {
		return from.name, false
	}
	to := p.choose(now, func(g *group) bool { return g != from && g.available(now) })
	if to == nil {
		return from.name, false
	}
	class := p.assignments[id].class
	from.leave(class)
	to.enter(class)
	p.assignments[id] = assignment{to, class, now}
	p.removeIfUnused(from)
	return to.name, true
}

// MayRetry reports whether a request that was refused may be tried again now.
func (p *Pool) MayRetry(id string, now time.Time) bool {
	g := p.assignments[id].group
	if g == nil {
		return true
	}
	if !g.available(now) {
		if !g.mayProbe(now) {
			return false
		}
		g.probed(now)
	}
	p.assignments[id] = assignment{g, p.assignments[id].class, now}
	return true
}

// FailFast reports whether all groups have refused for so long that new requests should not
// wait.
func (p *Pool) FailFast(now time.Time) bool {
	return p.all(func(g *group) bool { return g.gate.FailFast(now) })
}

// Closed reports whether all groups refuse.
func (p *Pool) Closed() bool {
	return p.all(func(g *group) bool { return g.gate.Closed() })
}

// Down reports whether no group is available, as far as is known.
func (p *Pool) Down(now time.Time) bool {
	return p.all(func(g *group) bool { return !g.available(now) })
}

// all reports whether there is a group with slots and all such groups match.
func (p *Pool) all(matches func(*group) bool) bool {
	some := false
	for _, g := range p.groups {
		if g.slots == 0 {
			continue
		}
		if !matches(g) {
			return false
		}
		some = true
	}
	return some
}

// RetryAfter returns when a refused caller of a class may come back, given the time that it has
// left. It reports false where the queue's own estimate holds, which follows from its service
// rate.
//
// While all groups are down, or were and the queues have not drained since, that rate says
// nothing: callers would be back while the service is still down, or all together when it
// returns, and be lost. Where requests of a class have waited for longer than a short backlog
// takes, the room goes to the classes before it, or to callers that can still be on time; one
// that is back soon would only wait again.
func (p *Pool) RetryAfter(class int, left time.Duration, now time.Time) (time.Duration, bool) {
	if !p.recovering && !p.Down(now) && !p.overloaded(class, now) {
		return 0, false
	}
	return time.Duration(float64(left) * retryAfterShare * (1 - retryAfterJitter*p.rng.Float64())), true
}

// overloaded reports whether a class has a lasting backlog because the order of the classes
// leaves it no room.
func (p *Pool) overloaded(class int, now time.Time) bool {
	return p.classes > 1 && p.lineOf(class).backlogAge(now) > queue.ShortBacklog
}
