package engine

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"verbenashift/standin/ledger"
)

type state int

const (
	stateWaiting state = iota
	stateRunning
	stateDone
	stateCancelled
	stateBroken
)

var stateNames = [...]string{"waiting", "running", "done", "cancelled", "broken"}

func (s state) String() string { return stateNames[s] }

// generation is one answer being made. The engine's mutex guards it.
type generation struct {
	run     ledger.Run
	number  int
	prompt  string
	arrival uint64
	index   int
	// done and total count tokens from the beginning of the whole answer.
	done, total int
	ready       time.Time
	state       state
	subscribers []*subscription
}

func (g *generation) notify() {
	for _, s := range g.subscribers {
		s.wake()
	}
}

func (g *generation) finish(s state) {
	g.state = s
	g.notify()
}

func (g *generation) subscribe(e *Engine, from int) *subscription {
	s := &subscription{engine: e, g: g, next: from, ring: make(chan struct{}, 1)}
	g.subscribers = append(g.subscribers, s)
	s.wake()
	return s
}

// subscription reads the tokens of one generation for one connection.
type subscription struct {
	engine *Engine
	g      *generation
	next   int
	ring   chan struct{}
}

func (s *subscription) wake() {
	select {
	case s.ring <- struct{}{}:
	default:
	}
}

// wait returns the range of new tokens and the state of the generation once
// either has changed.
func (s *subscription) wait(ctx context.Context) (from, to int, st state, err error) {
	for {
		select {
		case <-s.ring:
		case <-ctx.Done():
			return 0, 0, 0, ctx.Err()
		}
		s.engine.mu.Lock()
		to, st = s.g.done, s.g.state
		s.engine.mu.Unlock()
		if to <= s.next && st < stateDone {
			continue
		}
		from, s.next = min(s.next, to), max(s.next, to)
		return from, to, st, nil
	}
}

// close ends the subscription; the generation goes on.
func (s *subscription) close() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.g.subscribers = slices.DeleteFunc(s.g.subscribers, func(x *subscription) bool { return x == s })
}

// queue orders waiting generations by priority, then by arrival.
type queue []*generation

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].run.Priority != q[j].run.Priority {
		return q[i].run.Priority < q[j].run.Priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Push(x any) {
	g := x.(*generation)
	g.index = len(*q)
	*q = append(*q, g)
}

func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	g := old[last]
	old[last] = nil
	*q = old[:last]
	return g
}

func (q *queue) remove(g *generation) { heap.Remove(q, g.index) }
