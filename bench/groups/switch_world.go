package groups

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"time"

	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// The times of the simulated group: steps of a few milliseconds, availability
// zones a millisecond apart, and each engine on the host of its agent.
const (
	switchStep       = 5 * time.Millisecond
	switchLatency    = time.Millisecond
	switchOrderDelay = 500 * time.Microsecond // one way, from agent to engine
	switchLoad       = 2 * time.Second
	switchTick       = 10 * time.Millisecond
	switchRestart    = time.Second
)

// event is a function to call at a time. Events at the same time run in the order
// in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (t eventQueue) Len() int      { return len(t) }
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t eventQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t *eventQueue) Push(x any) { *t = append(*t, x.(event)) }
func (t *eventQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// switchGroup is one rank group with its agents in simulated time.
type switchGroup struct {
	now              time.Duration
	events           eventQueue
	order            int
	names            []string
	ranks            []*group.Rank
	members          []*group.Member
	starts           []uint64
	stagger          time.Duration
	coordinator      *group.Coordinator // nil once it is lost
	stalled          time.Duration      // time for which the group was stalled
	messages         int
	bytes            int
	coordinatorBytes int // bytes that the node of the coordinator sent and received
	// onSend may drop or delay a message.
	onSend func(to int, m group.Message) (delay time.Duration, drop bool)
	commit int
	abort  int
}

// newSwitchGroup returns a group that is formed and steps on map 1. The
// coordinator runs at the first rank.
func newSwitchGroup(ranks int, stagger time.Duration) (*switchGroup, error) {
	g := &switchGroup{now: time.Second, stagger: stagger, starts: make([]uint64, ranks)}
	for i := range ranks {
		g.names = append(g.names, fmt.Sprintf("rank-%03d", i))
		g.ranks = append(g.ranks, &group.Rank{State: group.RankState{Incarnation: 1}})
		g.members = append(g.members, nil)
	}
	for i := range ranks {
		g.startAgent(i)
		g.every(switchTick+time.Duration(i%10)*time.Millisecond/10, func() { g.tickMember(i) })
	}
	g.coordinator = group.NewCoordinator(group.CoordinatorConfig{Members: g.names, Initial: 1}, 1, g.now)
	g.every(switchTick, g.tickCoordinator)
	g.after(switchStep, g.step)
	if !g.until(time.Minute, func() bool { return g.coordinator.Settled() && g.allOn(1) }) {
		return nil, fmt.Errorf("group of %d ranks was not formed", ranks)
	}
	g.run(5 * time.Second)
	g.reset()
	return g, nil
}

func (g *switchGroup) reset() {
	g.stalled, g.messages, g.bytes, g.coordinatorBytes = 0, 0, 0, 0
}

func (g *switchGroup) startAgent(i int) {
	g.starts[i]++
	g.members[i] = group.NewMember(group.MemberConfig{Name: g.names[i], Stagger: g.stagger}, g.starts[i], g.now)
}

func (g *switchGroup) after(d time.Duration, do func()) {
	g.order++
	heap.Push(&g.events, event{at: g.now + d, order: g.order, do: do})
}

func (g *switchGroup) every(d time.Duration, do func()) {
	g.after(d, func() {
		do()
		g.every(switchTick, do)
	})
}

// until runs events until done returns true, and reports whether it did within
// the limit.
func (g *switchGroup) until(limit time.Duration, done func() bool) bool {
	end := g.now + limit
	for g.now < end {
		if done() {
			return true
		}
		e := heap.Pop(&g.events).(event)
		g.now = e.at
		e.do()
	}
	return false
}

func (g *switchGroup) run(d time.Duration) {
	g.until(d, func() bool { return false })
}

// allOn reports whether every rank runs steps on map v.
func (g *switchGroup) allOn(v group.Version) bool {
	for _, r := range g.ranks {
		s := r.State
		if s.Version != v || !s.Ready() || !s.Armed.Number.IsZero() {
			return false
		}
	}
	return true
}

func (g *switchGroup) tickMember(i int) {
	if m := g.members[i]; m != nil {
		g.perform(i, m.Tick(g.now))
	}
}

func (g *switchGroup) tickCoordinator() {
	if g.coordinator != nil {
		g.perform(0, g.coordinator.Tick(g.now))
	}
}

// step runs one step of all ranks in lock-step. If a rank can't begin the step, it
// tries again later and counts that time as stalled.
func (g *switchGroup) step() {
	least := g.ranks[0].State.Next
	for _, r := range g.ranks {
		least = min(least, r.State.Next)
	}
	begun := true
	for _, r := range g.ranks {
		if r.State.Next == least {
			_, _, ok := r.Begin()
			begun = begun && ok
		}
	}
	if !begun {
		g.stalled += switchTick / 10
		g.after(switchTick/10, g.step)
		return
	}
	for _, r := range g.ranks {
		r.Finish()
	}
	g.after(switchStep, g.step)
}

func (g *switchGroup) perform(i int, acts []group.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case group.Send:
			g.send(i, a)
		case group.Apply:
			g.apply(i, a)
		case group.Read:
			g.read(i, a)
		case group.Done:
			g.countOutcome(a)
		}
	}
}

func (g *switchGroup) countOutcome(d group.Done) {
	switch {
	case d.Formed:
	case d.Commit:
		g.commit++
	default:
		g.abort++
	}
}

func (g *switchGroup) send(from int, s group.Send) {
	to := 0
	for g.names[to] != s.To {
		to++
	}
	delay := switchLatency
	if from == to {
		delay = 0
	} else {
		g.countMessage(from, to, s.Message)
	}
	if g.onSend != nil {
		more, drop := g.onSend(to, s.Message)
		if drop {
			return
		}
		delay += more
	}
	g.after(delay, func() { g.deliver(from, to, s.Message) })
}

// countMessage counts a message and the size of its JSON form, without the
// headers of the transport.
func (g *switchGroup) countMessage(from, to int, m group.Message) {
	data, err := json.Marshal(m)
	if err != nil {
		return
	}
	g.messages++
	g.bytes += len(data)
	if from == 0 || to == 0 {
		g.coordinatorBytes += len(data)
	}
}

func (g *switchGroup) deliver(from, to int, m group.Message) {
	if to == 0 && g.coordinator != nil {
		g.perform(0, g.coordinator.Receive(g.now, g.names[from], m))
	}
	if g.members[to] != nil {
		g.perform(to, g.members[to].Receive(g.now, g.names[from], m))
	}
}

func (g *switchGroup) apply(i int, a group.Apply) {
	m := g.members[i]
	g.after(switchOrderDelay, func() {
		err := g.ranks[i].Apply(a.Order)
		if g.ranks[i].State.Loading != 0 {
			g.after(switchLoad, g.ranks[i].FinishLoad)
		}
		g.after(switchOrderDelay, func() {
			if g.members[i] == m {
				g.perform(i, m.Applied(g.now, a.ID, err))
			}
		})
	})
}

func (g *switchGroup) read(i int, a group.Read) {
	m := g.members[i]
	g.after(switchOrderDelay, func() {
		state := g.ranks[i].State
		g.after(switchOrderDelay, func() {
			if g.members[i] == m {
				g.perform(i, m.Observed(g.now, a.ID, state, true))
			}
		})
	})
}

// storeCalls returns the number of store calls in a minute of one lease holder in
// the steady state.
func storeCalls() int {
	h := lease.NewHolder(lease.Config{Role: "group/captions", Owner: "rank-000/1"})
	h.Want(true)
	calls := 0
	for now := time.Second; now < time.Second+time.Minute; now += switchTick {
		for _, c := range h.Tick(now) {
			calls++
			h.Answer(now+2*time.Millisecond, lease.Answer{ID: c.ID, Done: true, Owner: c.Owner, Fence: 1})
		}
	}
	return calls
}
