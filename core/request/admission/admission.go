// Package admission decides when a request goes to the engines of a service, and to
// which group of them.
//
// The engines of a service may be the ranks of several expert groups. All ranks of a
// group run each pass together, so that its load, its speed and its troubles are those
// of the whole group, and nothing that one group does says anything of another. A
// Pool keeps one queue of the requests that wait for any group, and for each group
// how many requests this entry may have there, how long first events take, and
// whether it refuses, stands still or is being formed anew. A request is bound to a
// group when its turn comes, not when it arrives: whoever waits is served by the
// first group that has room.
//
// The load patterns it answers are those of packages queue and health, and one of
// its own: a group that slows down, stands or is lost while the others work. It
// must not take their room, and they serve what it can't as far as they have room.
//
// A Pool has no clock, no lock and no input or output: its owner passes the time,
// calls it from one goroutine at a time, and takes what it has decided from Settled.
//
// # Usage
//
//	p := admission.New(rng)
//	p.SetGroups(map[string]int{"g0": 240, "g1": 240}, now)
//	p.Tell(admission.Load{Group: "g0", Open: true, Running: 180, Pass: pass}, now)
//	refusal := p.Enter(admission.Request{ID: id, Objective: aim}, now)
//	for _, s := range p.Settled() {
//		answer(s.ID, s.Group, s.Refusal)
//	}
//	p.Leave(id, cost, now)
package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/queue"
)

const (
	// firstRate is the first guess of the tokens a second that the engines take from
	// one entry. It is learned while they are busy.
	firstRate = 20000
	// returnShare is the part of the service that callers who come back may take
	// while others wait. They are late already, and the others can be on time
	// (queue.TestOverload).
	returnShare = 0.3
	// recoveryShare is the same after all groups were down, until all who have waited
	// for them are gone: the others are late as well then, and have another try left.
	recoveryShare = 0.95
)

// Request is a request as a Pool sees it.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID        string
	Workspace string
	// Cost is the expected work in tokens.
	Cost int64
	// Objective is the time within which its route wants the first event.
	Objective time.Duration
	// Patience is how long its caller waits for the first event; 0 if that is not known.
	Patience time.Duration
	// Retry says that its caller has been refused before.
	Retry bool
}

// place is the group in which a request runs, and when it was sent there last.
type place struct {
	group *group
	sent  time.Time
}

// Decision is what became of a request that has waited.
type Decision struct {
	ID string
	// Group is the group that takes it, if Refusal is nil. It is empty for engines
	// whose group is not known.
	Group   string
	Refusal *outcome.Error
}

// Pool admits requests to the groups of one service. Use New to make one.
type Pool struct {
	queue  *queue.Queue
	rng    *rand.Rand
	groups map[string]*group
	// names are those of groups, sorted, so that choices can be replayed.
	names []string
	// places are where the requests run, by ID.
	places  map[string]place
	settled []Decision
	shed    []queue.Shed
	// emptyAt is when nobody waited last.
	emptyAt time.Time
	// recovering says that some who wait have done so since all groups were down.
	recovering bool
	// unproven says that nothing is known of groups that are met for the first time.
	unproven bool
}

// New returns a Pool without groups: requests wait until there are some. The source
// spreads choices and times.
func New(rng *rand.Rand) *Pool {
	return &Pool{
		queue: queue.New(queue.Limits{Slots: 1, Rate: firstRate, UrgentShare: returnShare}, rng),
		rng:   rng, groups: map[string]*group{}, places: map[string]place{},
	}
}

// ColdStart tells that this entry has just started and knows nothing of the groups that it
// meets. Until the load of such a group is told, or a target there takes a request, it gets
// one request at a time.
//
// The load pattern it answers is a loss of power of entries and engines together: the
// entries are back first, and what each sends to find that out has to be sent again later,
// out of the few retries that all of them have.
func (p *Pool) ColdStart() { p.unproven = true }

// SetGroups takes how many slots the engines of each group have together. A group that
// is missing has none any more; it is forgotten when the last request there has ended.
func (p *Pool) SetGroups(slots map[string]int, now time.Time) {
	for name, n := range slots {
		g := p.groups[name]
		if g == nil {
			g = &group{name: name, unproven: p.unproven && name != ""}
			p.groups[name] = g
		}
		g.resize(n, now)
	}
	for name, g := range p.groups {
		if slots[name] == 0 {
			g.resize(0, now)
			p.forget(g)
		}
	}
	p.names = slices.Sorted(maps.Keys(p.groups))
	p.pump(now)
}

// forget drops a group that has neither slots nor requests.
func (p *Pool) forget(g *group) {
	if g.slots == 0 && g.own == 0 {
		delete(p.groups, g.name)
		p.names = slices.Sorted(maps.Keys(p.groups))
	}
}

// ReportLoad takes the load of a group as its steward tells it.
func (p *Pool) ReportLoad(l Load, now time.Time) {
	if g := p.groups[l.Group]; g != nil {
		g.tell(l, p.queue.Load().Items > 0, now)
		p.pump(now)
	}
}

// Enqueue takes a request in, or refuses it at once: then it has not run. What becomes
// of it otherwise comes out of Settled.
func (p *Pool) Enqueue(r Request, now time.Time) *outcome.Error {
	if p.FailFast(now) {
		return &outcome.Error{Outcome: outcome.NotRun, Reason: queue.ReasonAllTargetsRefuse}
	}
	p.judge(now)
	item := queue.Item{
		ID: r.ID, Workspace: r.Workspace, Priority: priorityOf(r), Cost: r.Cost, Deadline: p.latestStart(r, now),
		// How long a wait will be is not known while nothing is served, and who comes back
		// has nothing to gain by a refusal.
		Patient: r.Retry || p.Down(now),
	}
	if refusal := p.queue.Enqueue(item, now); refusal != nil {
		return refusal
	}
	p.pump(now)
	return nil
}

// priorityOf puts callers that come back before the others: they are late
// already, and a second refusal is mostly the last.
func priorityOf(r Request) queue.Priority {
	if r.Retry {
		return queue.Urgent
	}
	return queue.Normal
}

// latestStart is when a request must have started. As long as one group could still
// serve it in time, it waits for that one.
func (p *Pool) latestStart(r Request, now time.Time) time.Time {
	return now.Add(p.wait(r, now).Longest())
}

func (p *Pool) wait(r Request, now time.Time) queue.Wait {
	return queue.Wait{
		Objective: r.Objective, Service: p.service(), Patience: r.Patience, BacklogAge: p.line(now),
		Retry: r.Retry, Closed: p.Down(now),
	}
}

// MaxRetryWait returns how long after its arrival a request may start that a target has
// refused.
func (p *Pool) MaxRetryWait(r Request, now time.Time) time.Duration {
	return p.wait(r, now).CallerLimit()
}

// service returns how long the fastest group that takes requests needs to the first
// event.
func (p *Pool) service() time.Duration {
	least := time.Duration(0)
	for _, name := range p.names {
		g := p.groups[name]
		if usual := g.firstEvent.P90(); !g.gate.Closed() && (least == 0 || usual < least) {
			least = usual
		}
	}
	if least == 0 {
		return (&queue.ServiceTime{}).P90()
	}
	return least
}

// Withdraw takes back a request that waits. It reports false if the request does not
// wait any more.
func (p *Pool) Withdraw(id string) bool {
	_, waits := p.queue.Remove(id)
	return waits
}

// Done ends a request that has run, with the tokens that it cost.
func (p *Pool) Done(id string, cost int64, now time.Time) {
	p.queue.Done(id, cost, now)
	if g := p.places[id].group; g != nil {
		delete(p.places, id)
		g.own--
		p.forget(g)
	}
	p.pump(now)
}
