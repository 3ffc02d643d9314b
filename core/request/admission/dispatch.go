package admission

import (
	"time"

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
	p.queue.Expire(now)
	for p.queue.Load().Items > 0 {
		g := p.next(now)
		if g == nil {
			break
		}
		p.updateSlots()
		item, ok := p.queue.Next(now)
		if !ok {
			break
		}
		g.start(now)
		p.assignments[item.ID] = assignment{g, now}
		p.decisions = append(p.decisions, Decision{ID: item.ID, Group: g.name})
	}
	p.updateSlots()
	p.updateUrgentShare(now)
	p.shed = p.queue.TakeShed(p.shed[:0])
	for _, s := range p.shed {
		p.decisions = append(p.decisions, Decision{ID: s.ID, Refusal: s.Refusal})
	}
	// The end of a backlog is also noticed while no request arrives.
	p.backlogAge(now)
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
	case p.queue.Load().Items == 0:
		p.recovering = false
	}
	share := retryShare
	if p.recovering {
		share = recoveryShare
	}
	p.queue.SetUrgentShare(share)
}

// updateSlots sets how many requests the queue may have running in total.
func (p *Pool) updateSlots() {
	total := 0
	for _, g := range p.groups {
		total += max(g.limit, g.running)
	}
	p.queue.SetSlots(total)
}

// backlogAge returns for how long requests have been waiting without a break. It also records
// when the queue is empty.
func (p *Pool) backlogAge(now time.Time) time.Duration {
	if p.queue.Load().Items == 0 {
		p.emptyAt = now
	}
	return now.Sub(p.emptyAt)
}

// Load returns the load of the queue.
func (p *Pool) Load() queue.Load { return p.queue.Load() }

// GroupLoad is the state of one group as this entry sees it.
type GroupLoad struct {
	Group string
	// Running is how many requests of this entry run there, Limit how many may.
	Running, Limit int
	// Available is false while the group refuses, is stalled or has lost a rank.
	// The log knows it as Works.
	Available bool `json:"Works"`
}

// Groups returns the state of each group, sorted by name.
func (p *Pool) Groups(now time.Time) []GroupLoad {
	out := make([]GroupLoad, 0, len(p.names))
	for _, name := range p.names {
		g := p.groups[name]
		out = append(out, GroupLoad{Group: name, Running: g.running, Limit: g.limit, Available: g.available(now)})
	}
	return out
}
