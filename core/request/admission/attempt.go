package admission

import "time"

const (
	// comebackPart is the part of its remaining patience after which the caller
	// of a service that is down may come back: the longest that callers honour
	// is a third.
	comebackPart = 0.32
	// comebackSpread is the part of that time that is random, so that callers
	// don't come back together.
	comebackSpread = 0.33
)

// Refused tells that a target has refused the request. It reports whether this closed
// the gate of the target's group.
func (p *Pool) Refused(id, target string, now time.Time) bool {
	g := p.places[id].group
	return g != nil && g.gate.Refused(target, now)
}

// Accepted tells that a target has taken the request. It reports whether this opened
// the gate of its group.
func (p *Pool) Accepted(id string, now time.Time) bool {
	at := p.places[id]
	g := at.group
	if g == nil {
		return false
	}
	worked := g.works(now)
	g.unproven = false
	g.accepted(at.sent, now)
	opened := g.gate.Accepted()
	if !worked && g.works(now) {
		g.reopen(now)
		p.pump(now)
	}
	return opened
}

// ObserveFirstEvent tells how long after its start the request got its first event.
func (p *Pool) ObserveFirstEvent(id string, d time.Duration) {
	if g := p.places[id].group; g != nil {
		g.firstEvent.Observe(d)
	}
}

// MarkStalled tells that nothing has come from a group for a while although answers are in
// progress there: until the given time it is taken to stand still.
func (p *Pool) MarkStalled(group string, until time.Time) {
	if g := p.groups[group]; g != nil {
		g.silentUntil = until
	}
}

// Move returns the group for another attempt of a request, and whether it is another
// one than before. A group that refuses, stands still or has lost a rank is left if
// another one works, also if that has no room: the stream has begun somewhere, or its
// caller has waited its turn.
func (p *Pool) Move(id string, now time.Time) (name string, moved bool) {
	from := p.places[id].group
	if from == nil {
		return "", false
	}
	if from.works(now) {
		return from.name, false
	}
	to := p.choose(now, func(g *group) bool { return g != from && g.works(now) })
	if to == nil {
		return from.name, false
	}
	from.own--
	to.own++
	p.places[id] = place{to, now}
	p.forget(from)
	return to.name, true
}

// MayRetry reports whether the request, which was refused, may be tried again now.
func (p *Pool) MayRetry(id string, now time.Time) bool {
	g := p.places[id].group
	if g == nil {
		return true
	}
	if !g.works(now) {
		if !g.mayProbe(now) {
			return false
		}
		g.probed(now)
	}
	p.places[id] = place{g, now}
	return true
}

// FailFast reports whether all groups have refused for so long that nobody should wait.
func (p *Pool) FailFast(now time.Time) bool {
	return p.every(func(g *group) bool { return g.gate.FailFast(now) })
}

// Closed reports whether all groups refuse.
func (p *Pool) Closed() bool {
	return p.every(func(g *group) bool { return g.gate.Closed() })
}

// Down reports whether no group works, as far as is known.
func (p *Pool) Down(now time.Time) bool {
	return p.every(func(g *group) bool { return !g.works(now) })
}

// every reports whether there is a group with slots and all such are so.
func (p *Pool) every(so func(*group) bool) bool {
	some := false
	for _, g := range p.groups {
		if g.slots == 0 {
			continue
		}
		if !so(g) {
			return false
		}
		some = true
	}
	return some
}

// RetryAfter returns when a caller that is refused may come back, of the time that it has
// left, and false unless all groups are down or have been a moment ago. The queue's own
// answer follows from its rate, which says nothing then: callers would be back while the
// service is still down, or all together when it returns, and lost.
func (p *Pool) RetryAfter(left time.Duration, now time.Time) (time.Duration, bool) {
	if !p.recovering && !p.Down(now) {
		return 0, false
	}
	return time.Duration(float64(left) * comebackPart * (1 - comebackSpread*p.rng.Float64())), true
}
