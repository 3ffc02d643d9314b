// Package admission decides when a request is sent to the engines of a service, and to which
// group of them.
//
// The engines of a service may be the ranks of several expert groups. All ranks of a group run
// each forward pass together, so load, speed and faults are those of the whole group, and the
// state of one group says nothing about another. A Pool keeps one queue of requests that wait
// for any group. For each group it tracks how many requests this entry may have there, how long
// the first event takes, and whether the group refuses, is stalled or is being formed again. A
// request is assigned to a group when it leaves the queue, not when it arrives, so a waiting
// request goes to the first group with capacity.
//
// The load patterns it handles are those of packages queue and health, and one of its own: one
// group slows down, stalls or is lost while the others work. That group must not take the
// capacity of the others, and they serve its requests as far as they have capacity.
//
// Requests may be of several classes, which package precedence ranks by the configuration: the
// pool keeps a queue for each, and starts the first class that waits, but for the floors of
// those behind it. With a single class the order is that of package queue alone.
//
// A Pool has no clock, no lock and does no input or output: its owner passes the time, calls it
// from one goroutine at a time, and collects its decisions with Decisions.
//
// # Usage
//
//	p := admission.New(rng)
//	p.SetGroups(map[string]int{"g0": 240, "g1": 240}, now)
//	p.ReportLoad(admission.Load{Group: "g0", Complete: true, Running: 180, PassTime: pass}, now)
//	refusal := p.Enqueue(admission.Request{ID: id, Objective: objective}, now)
//	for _, d := range p.Decisions() {
//		answer(d.ID, d.Group, d.Refusal)
//	}
//	p.Done(id, cost, now)
package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"verbenashift/core/request/headroom"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/precedence"
	"verbenashift/core/request/queue"
)

const (
	// initialRate is the initial estimate of the tokens a second that the engines take from one
	// entry. The rate is learned while they are busy.
	initialRate = 20000
	// retryShare is the part of the service that retrying callers may take while others wait.
	// They are late already, and the others can still be on time (queue.TestOverload).
	retryShare = 0.3
	// recoveryShare replaces retryShare after all groups were down, until the queue has
	// drained: the new callers are late as well then, and have another attempt left.
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
	// CallerTimeout is how long its caller waits for the first event; 0 means unknown.
	CallerTimeout time.Duration
	// Retry reports whether its caller has been refused before.
	Retry bool
	// Class is its rank among the classes of the service, 0 for the first; see SetClasses.
	Class int
}

// assignment is the group in which a request runs, its class, and when it was last sent there.
type assignment struct {
	group  *group
	class  int
	sentAt time.Time
}

// Decision is the outcome of a request that has waited.
type Decision struct {
	ID string
	// Group is the group that takes the request, if Refusal is nil. It is empty for engines
	// whose group is not known.
	Group   string
	Refusal *outcome.Error
	// Hold is what kept it from starting at once.
	Hold Hold
}

// Pool admits requests to the groups of one service. Use New to make one.
type Pool struct {
	// lines hold the waiting requests by class; there is at least one. The first classes of them
	// are in use.
	lines   []*line
	classes int
	turns   precedence.Turns
	// arrivals are counted by class if there are several.
	arrivals precedence.Arrivals
	// served is the work that all requests were served.
	served *queue.Throughput
	rng    *rand.Rand
	groups map[string]*group
	// names are the keys of groups in sorted order, which makes choices reproducible.
	names []string
	// assignments are the running requests by ID.
	assignments map[string]assignment
	decisions   []Decision
	shed        []queue.Shed
	// enqueued counts the requests that have arrived, and waitingSince is the count at the arrival
	// of each that waits. arriving is the ID of the one that is being enqueued.
	enqueued     uint64
	waitingSince map[string]uint64
	arriving     string
	// recovering reports whether requests have been waiting since all groups were down.
	recovering bool
	// unproven is the initial state of groups that are seen for the first time: nothing is
	// known of them.
	unproven bool
	// passCost is the cost of a pass without the number of ranks, engineSlots the number of slots
	// of one engine, and shortestPause the shortest pause between events that callers accept.
	passCost      headroom.Cost
	engineSlots   int
	shortestPause time.Duration
}

// New returns a Pool without groups: requests wait until there are some. The random source
// spreads choices and times.
func New(rng *rand.Rand) *Pool {
	return &Pool{
		lines: []*line{newLine(rng)}, classes: 1, served: queue.NewThroughput(initialRate),
		rng: rng, groups: map[string]*group{}, assignments: map[string]assignment{}, waitingSince: map[string]uint64{},
	}
}

// ColdStart marks this entry as just started, without knowledge of the groups that it sees from
// now on. Until the load of such a group is reported, or a target there accepts a request, the
// group gets one request at a time.
//
// The load pattern it handles is a power loss of entries and engines together: the entries are
// back first, and each request that they send to find out has to be sent again later, from the
// small retry budget that all of them share.
func (p *Pool) ColdStart() { p.unproven = true }

// SetGroups sets the total number of slots of each group's engines. A group that is missing has
// no slots any more; it is removed when the last request there has ended.
func (p *Pool) SetGroups(slots map[string]int, now time.Time) {
	for name, n := range slots {
		g := p.groups[name]
		if g == nil {
			g = &group{name: name, unproven: p.unproven && name != ""}
			p.groups[name] = g
		}
		g.resize(n, now)
		p.setPassCost(g)
	}
	for name, g := range p.groups {
		if slots[name] == 0 {
			g.resize(0, now)
			p.removeIfUnused(g)
		}
	}
	p.names = slices.Sorted(maps.Keys(p.groups))
	p.dispatch(now)
}

// removeIfUnused deletes a group that has neither slots nor requests.
func (p *Pool) removeIfUnused(g *group) {
	if g.slots == 0 && g.running == 0 {
		delete(p.groups, g.name)
		p.names = slices.Sorted(maps.Keys(p.groups))
	}
}

// ReportLoad records the load of a group as reported by its coordinator.
func (p *Pool) ReportLoad(l Load, now time.Time) {
	if g := p.groups[l.Group]; g != nil {
		g.usable = p.usableSlots(g, l, now)
		g.setLoad(l, p.waiting() > 0, now)
		p.dispatch(now)
	}
}

// Enqueue accepts a request, or refuses it at once: then it has not run. The outcome of an
// accepted request is returned by Decisions.
func (p *Pool) Enqueue(r Request, now time.Time) *outcome.Error {
	p.arrived(r.ID)
	refusal := p.enqueue(r, now)
	p.arriving = ""
	if refusal != nil {
		delete(p.waitingSince, r.ID)
		p.lineOf(r.Class).countRefusal(p.Hold(r.Class, now))
	}
	return refusal
}

func (p *Pool) enqueue(r Request, now time.Time) *outcome.Error {
	if p.FailFast(now) {
		return &outcome.Error{Outcome: outcome.NotRun, Reason: queue.ReasonAllTargetsRefuse}
	}
	p.updateUrgentShare(now)
	l := p.lineOf(r.Class)
	l.objective = r.Objective
	if p.classes > 1 {
		p.arrivals.Observe(p.classOf(r.Class), now)
	}
	item := queue.Item{
		ID: r.ID, Workspace: r.Workspace, Priority: priorityOf(r), Cost: r.Cost, Deadline: p.latestStart(r, now),
		// The length of the wait is not known while nothing is served, and a retrying caller
		// gains nothing from a refusal.
		WaitUntilDeadline: r.Retry || p.Down(now),
	}
	p.shareRates()
	if refusal := l.queue.Enqueue(item, now); refusal != nil {
		return refusal
	}
	p.dispatch(now)
	return nil
}

// priorityOf puts retrying callers before the others: they are late already, and a second
// refusal is mostly final.
func priorityOf(r Request) queue.Priority {
	if r.Retry {
		return queue.Urgent
	}
	return queue.Normal
}

// latestStart returns when a request must have started. As long as at least one group could
// still serve it in time, it waits for that group.
func (p *Pool) latestStart(r Request, now time.Time) time.Time {
	return now.Add(p.wait(r, now).Longest())
}

func (p *Pool) wait(r Request, now time.Time) queue.Wait {
	return queue.Wait{
		Objective: r.Objective, Service: p.fastestFirstEvent(), CallerTimeout: r.CallerTimeout, BacklogAge: p.lineOf(r.Class).backlogAge(now),
		Retry: r.Retry, Closed: p.Down(now),
	}
}

// MaxRetryWait returns how long after its arrival a request that a target has refused may still
// start.
func (p *Pool) MaxRetryWait(r Request, now time.Time) time.Duration {
	return p.wait(r, now).CallerLimit()
}

// fastestFirstEvent returns how long the fastest group that accepts requests takes to the first
// event.
func (p *Pool) fastestFirstEvent() time.Duration {
	fastest := time.Duration(0)
	for _, name := range p.names {
		g := p.groups[name]
		if p90 := g.firstEvent.P90(); !g.gate.Closed() && (fastest == 0 || p90 < fastest) {
			fastest = p90
		}
	}
	if fastest == 0 {
		return (&queue.ServiceTime{}).P90()
	}
	return fastest
}

// Withdraw removes a waiting request. It reports false if the request is no longer waiting.
func (p *Pool) Withdraw(id string) bool {
	for _, l := range p.lines {
		if _, waits := l.queue.Remove(id); waits {
			delete(p.waitingSince, id)
			return true
		}
	}
	return false
}

// Done ends a request that has run, with the tokens that it cost.
func (p *Pool) Done(id string, cost int64, now time.Time) {
	at := p.assignments[id]
	p.lineOf(at.class).queue.Done(id, cost, now)
	if g := at.group; g != nil {
		p.observeServed(at.class, cost, now)
		g.passes.ended(now.Sub(at.sentAt))
		delete(p.assignments, id)
		g.leave(at.class)
		p.removeIfUnused(g)
	}
	p.dispatch(now)
}
