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

// generation is one answer in progress, guarded by Engine.mu.
type generation struct {
	run     ledger.Run
	number  int
	prompt  string
	arrival uint64
	index   int
	// done and total count tokens from the start of the complete answer,
	// including tokens that another engine produced.
	done, total int
	startAt     time.Time
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
	s := &subscription{engine: e, g: g, next: from, wakeup: make(chan struct{}, 1)}
	g.subscribers = append(g.subscribers, s)
	s.wake()
	return s
}

// subscription delivers the tokens of one generation to one connection.
type subscription struct {
	engine *Engine
	g      *generation
	next   int
	wakeup chan struct{}
}

func (s *subscription) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// wait blocks until there are new tokens or the generation has ended, and
// returns the range of the new tokens and the state.
func (s *subscription) wait(ctx context.Context) (from, to int, st state, err error) {
	for {
		select {
		case <-s.wakeup:
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

// close ends the subscription; the generation continues.
func (s *subscription) close() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.g.subscribers = slices.DeleteFunc(s.g.subscribers, func(x *subscription) bool { return x == s })
}

// queue is a heap of waiting generations, ordered by priority, then by arrival.
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
