// Package startup holds the requests to a process that has just started until it can
// serve them.
//
// It addresses a restart under load. Callers reach the process as soon as it listens, some
// tens of milliseconds before it has read its configuration, and many of them have just lost
// an earlier attempt with the previous process. A refusal may be the last answer that such a
// caller gets, while the wait is short.
//
// The number of held requests is bounded, and their bodies are not read meanwhile. No request
// is held once the configuration is known to be unreachable.
//
// # Usage
//
//	gate := startup.New()
//	go func() { readConfiguration(); gate.Open() }() // or gate.Unreachable()
//	if err := gate.Wait(ctx, timeout); err != nil {
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
	// maxHoldTime bounds the wait of one request: callers abandon a process that has not
	// read their request after a second.
	maxHoldTime = 900 * time.Millisecond
	// timeoutDivisor is the divisor of the caller's timeout: after that part of it the
	// caller abandons the process as well.
	timeoutDivisor = 3
	// retryDelay is the time that a process needs to read its configuration. A refused
	// caller should not retry earlier.
	retryDelay = time.Second
)

// The reasons for refusals.
const (
	ReasonUnreachable = "no configuration yet, store out of reach"
	ReasonFull        = "no configuration yet, too many wait"
	ReasonTimeout     = "no configuration yet"
)

// RefusedError reports that a request is not held any longer. It has not run.
type RefusedError struct {
	Reason string
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// Gate holds requests until it is opened. Use New to make one. It is safe for concurrent
// use.
type Gate struct {
	mu          sync.Mutex
	held        int
	opened      chan struct{}
	unreachable chan struct{}
}

// New returns a closed Gate.
func New() *Gate {
	return &Gate{opened: make(chan struct{}), unreachable: make(chan struct{})}
}

// Open admits all requests from now on.
func (g *Gate) Open() { g.closeOnce(g.opened) }

// Unreachable records that the configuration is unreachable: requests are refused at once until
// the Gate is opened.
func (g *Gate) Unreachable() { g.closeOnce(g.unreachable) }

func (g *Gate) closeOnce(c chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isClosed(c) {
		close(c)
	}
}

func isClosed(c chan struct{}) bool {
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

// Wait holds a request until the Gate is open and returns nil then. Timeout is how long the
// caller waits for its answer, 0 if it is not known.
func (g *Gate) Wait(ctx context.Context, timeout time.Duration) error {
	if isClosed(g.opened) {
		return nil
	}
	if refusal := g.enter(); refusal != nil {
		return refusal
	}
	defer g.leave()
	hold := maxHoldTime
	if timeout > 0 {
		hold = min(hold, timeout/timeoutDivisor)
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-g.opened:
		return nil
	case <-g.unreachable:
		return &RefusedError{Reason: ReasonUnreachable, RetryAfter: retryDelay}
	case <-timer.C:
		return &RefusedError{Reason: ReasonTimeout, RetryAfter: retryDelay}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held >= maxHeld {
		return &RefusedError{Reason: ReasonFull, RetryAfter: retryDelay}
	}
	g.held++
	return nil
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held--
}
