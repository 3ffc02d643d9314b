package admission

import (
	"time"

	"verbenashift/core/request/queue"
)

// Tick lets time pass: requests that can no longer start in time are refused, and loads
// that are too old limit nothing any more.
func (p *Pool) Tick(now time.Time) {
	for _, g := range p.groups {
		g.age(now)
	}
	p.pump(now)
}

// Decisions returns what has become of requests since the last call. It is valid until the
// next one.
func (p *Pool) Decisions() []Decision {
	out := p.settled
	p.settled = p.settled[len(p.settled):]
	return out
}

// pump starts what may start and gives up what can't start in time.
func (p *Pool) pump(now time.Time) {
	// Also while nothing may start: a request must not wait beyond its limit
	// because the gates are closed.
	p.judge(now)
	p.queue.Expire(now)
	for p.queue.Load().Items > 0 {
		g := p.next(now)
		if g == nil {
			break
		}
		p.limit()
		item, ok := p.queue.Next(now)
		if !ok {
			break
		}
		g.start(now)
		p.places[item.ID] = place{g, now}
		p.settled = append(p.settled, Decision{ID: item.ID, Group: g.name})
	}
	p.limit()
	p.judge(now)
	p.shed = p.queue.TakeShed(p.shed[:0])
	for _, s := range p.shed {
		p.settled = append(p.settled, Decision{ID: s.ID, Refusal: s.Refusal})
	}
	// A line that has ended is noticed also while nobody comes.
	p.line(now)
}

// judge decides who goes first: callers who come back, as long as somebody waits who has
// done so since all groups were down, and else those who can be on time.
//
// The load pattern it answers is the return of engines after a loss of power. Whoever was
// served then has lost an attempt, comes back together with all the others, and mostly has
// no other try; for about as long as all of them take nobody is on time in any case.
func (p *Pool) judge(now time.Time) {
	switch {
	case p.Down(now):
		p.recovering = true
	case p.queue.Load().Items == 0:
		p.recovering = false
	}
	share := returnShare
	if p.recovering {
		share = recoveryShare
	}
	p.queue.SetUrgentShare(share)
}

// limit tells the queue how many requests may run in all.
func (p *Pool) limit() {
	total := 0
	for _, g := range p.groups {
		total += max(g.allowed, g.own)
	}
	p.queue.SetSlots(total)
}

// line notices whether anybody waits, and returns how long others have been waiting
// without a break.
func (p *Pool) line(now time.Time) time.Duration {
	if p.queue.Load().Items == 0 {
		p.emptyAt = now
	}
	return now.Sub(p.emptyAt)
}

// Load returns the load of the queue.
func (p *Pool) Load() queue.Load { return p.queue.Load() }

// GroupLoad is what an entry does at one group.
type GroupLoad struct {
	Group string
	// Running is how many requests of this entry run there, Limit how many may.
	Running, Limit int
	// Available is false while the group refuses, stands still or has lost a rank.
	Available bool
}

// Groups returns what this entry does at each group, by name.
func (p *Pool) Groups(now time.Time) []GroupLoad {
	out := make([]GroupLoad, 0, len(p.names))
	for _, name := range p.names {
		g := p.groups[name]
		out = append(out, GroupLoad{Group: name, Running: g.own, Limit: g.allowed, Available: g.works(now)})
	}
	return out
}
