// Package startup holds the requests of a process that has just started until it has
// what it needs to serve them.
//
// The load pattern it answers is a restart under load. Callers reach the process as soon
// as it listens, some tens of milliseconds before it has read its configuration, and many
// of them have just lost an earlier attempt with the process before. A refusal may be the
// last answer that such a caller gets; the wait is short.
//
// What is held is bounded in number, and no body is read meanwhile. Nobody is held once
// the configuration is known to be out of reach.
//
// # Usage
//
//	gate := startup.New()
//	go func() { readConfiguration(); gate.Open() }() // or gate.Unreachable()
//	if err := gate.Wait(ctx, patience); err != nil {
//		return refuse(err) // a *startup.RefusedError, or ctx.Err()
//	}
package startup

import (
	"context"
	"sync"
	"time"
)

const (
	// maxHeld is how many requests are held at once.
	maxHeld = 512
	// longestHold bounds the wait of one request: callers give up on a process that has
	// not read their request after a second.
	longestHold = 900 * time.Millisecond
	// patiencePart is the part of its patience after which a caller does the same.
	patiencePart = 3
	// readWait is what a process needs to read its configuration, which a refused caller
	// should leave it.
	readWait = time.Second
)

// The reasons of refusals.
const (
	ReasonUnreachable = "no configuration yet, store out of reach"
	ReasonFull = "no configuration yet, too many wait"
	ReasonTimeout = "no configuration yet"
)

// RefusedError says that a request is not held any longer. It has not run.
type RefusedError struct {
	Reason string
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// Gate holds requests until it is opened. Use New to make one. It is safe for concurrent
// use.
type Gate struct {
	mu     sync.Mutex
	held   int
	opened chan struct{}
	lost   chan struct{}
}

// New returns a closed Gate.
func New() *Gate {
	return &Gate{opened: make(chan struct{}), lost: make(chan struct{})}
}

// Open lets all requests through, for good.
func (g *Gate) Open() { g.end(g.opened) }

// Unreachable tells that the configuration is out of reach: requests are refused at once until
// the Gate is opened.
func (g *Gate) Unreachable() { g.end(g.lost) }

func (g *Gate) end(c chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ended(c) {
		close(c)
	}
}

func ended(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Held returns how many requests are held.
func (g *Gate) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// Wait holds a request whose caller waits for so long, 0 if it does not say. It returns
// nil once the Gate is open.
func (g *Gate) Wait(ctx context.Context, patience time.Duration) error {
	if ended(g.opened) {
		return nil
	}
	if refusal := g.enter(); refusal != nil {
		return refusal
	}
	defer g.leave()
	hold := longestHold
	if patience > 0 {
		hold = min(hold, patience/patiencePart)
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-g.opened:
		return nil
	case <-g.lost:
		return &RefusedError{Reason: ReasonUnreachable, RetryAfter: readWait}
	case <-timer.C:
		return &RefusedError{Reason: ReasonTimeout, RetryAfter: readWait}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held >= maxHeld {
		return &RefusedError{Reason: ReasonFull, RetryAfter: readWait}
	}
	g.held++
	return nil
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held--
}
