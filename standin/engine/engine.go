// Package engine is a fake model engine with continuous batching.
//
// One goroutine advances all running streams in lockstep: a step takes the
// configured time and produces one token for each running stream, so one slow
// step delays every stream. Requests beyond the slots are queued by priority.
// A generation continues when its connection breaks, and a client can attach to
// it again.
//
// # Usage
//
//	e := engine.New(engine.Config{Slots: 8, Step: 5 * time.Millisecond}, l)
//	go e.Run(ctx)
//	http.ListenAndServe(addr, e.Handler())
package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"verbenashift/standin/ledger"
)

// Config holds the settings of an engine.
type Config struct {
	// Slots is the number of streams that run concurrently.
	Slots int
	// Step is the duration of one step.
	Step time.Duration
	// Startup is the time between admission and the first step of a stream.
	Startup time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// Keep is how long a client can attach to a completed generation.
	Keep time.Duration
	// HonourFencing rejects orders with an older fencing token.
	HonourFencing bool
	// OrderToken, if set, is the bearer token that orders must carry.
	OrderToken string
	// Rank is the engine's rank in an expert-parallel group, or nil if it
	// belongs to no group.
	Rank Rank
}

// Rank applies the orders that concern the expert map, and serves its own paths.
type Rank interface {
	Register(m *mux.Router)
	// Apply returns a *group.RefusedError for an order that it rejects.
	Apply(argument json.RawMessage) error
}

// Engine is the fake engine. Use New.
type Engine struct {
	cfg    Config
	ledger *ledger.Ledger
	// work wakes the stepping goroutine when it is idle.
	work chan struct{}

	mu          sync.Mutex
	running     []*generation
	waiting     queue
	generations map[string]*generation
	arrivals    uint64
	faults      faults
	samples     []sample
	step        time.Duration
	lastOrder   Order
	steps       uint64
}

// New returns an engine that records its runs in l.
func New(cfg Config, l *ledger.Ledger) *Engine {
	return &Engine{
		cfg:         cfg,
		ledger:      l,
		work:        make(chan struct{}, 1),
		generations: make(map[string]*generation),
		faults:      faults{slowFactor: 1, reportLoad: 1},
		step:        cfg.Step,
	}
}

// Run advances the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		d, busy := e.begin()
		if !busy {
			select {
			case <-e.work:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(d)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		e.advance(time.Now())
	}
}

// begin admits waiting streams and returns the duration of the next step. It
// returns false if no stream is running.
func (e *Engine) begin() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit(time.Now())
	if len(e.running) == 0 {
		e.sample()
		return 0, false
	}
	e.step = e.faults.stepTime(e.cfg.Step)
	e.sample()
	return e.step, true
}

func (e *Engine) admit(now time.Time) {
	for len(e.running) < e.cfg.Slots && e.waiting.Len() > 0 {
		g := heap.Pop(&e.waiting).(*generation)
		n, err := e.ledger.Start(g.run)
		if err != nil {
			slog.Error("ledger", "error", err)
			g.finish(stateBroken)
			delete(e.generations, g.run.RequestID)
			continue
		}
		g.number = n
		g.state = stateRunning
		g.startAt = now.Add(e.cfg.Startup)
		e.running = append(e.running, g)
	}
}

// advance completes a step: each stream past its startup time gets one token.
func (e *Engine) advance(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	kept := e.running[:0]
	for _, g := range e.running {
		if now.Before(g.startAt) {
			kept = append(kept, g)
			continue
		}
		if g.done < g.total {
			g.done++
		}
		switch {
		case e.faults.breaks(g.done - g.run.Resumed):
			e.end(g, stateBroken)
		case g.done == g.total:
			e.end(g, stateDone)
		default:
			g.notify()
			kept = append(kept, g)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// end records the end of a running generation and removes it: immediately if it
// broke or was cancelled, after Config.Keep if it is complete.
func (e *Engine) end(g *generation, s state) {
	result := ledger.Result{Tokens: g.done - g.run.Resumed, Cancelled: s == stateCancelled, Broken: s == stateBroken}
	if err := e.ledger.End(g.number, result); err != nil {
		slog.Error("ledger", "error", err)
	}
	g.finish(s)
	if s != stateDone {
		e.forget(g)
		return
	}
	time.AfterFunc(e.cfg.Keep, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.forget(g)
	})
}

func (e *Engine) forget(g *generation) {
	if e.generations[g.run.RequestID] == g {
		delete(e.generations, g.run.RequestID)
	}
}

// submit queues a new generation. It returns nil if the engine refuses it.
func (e *Engine) submit(g *generation) *subscription {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.refuse {
		e.ledger.AddRefused()
		return nil
	}
	e.arrivals++
	g.arrival = e.arrivals
	if g.run.RequestID != "" {
		e.generations[g.run.RequestID] = g
	}
	heap.Push(&e.waiting, g)
	e.wake()
	return g.subscribe(e, g.done)
}

// attach subscribes to an existing generation from token n on. It returns nil if
// the request is unknown or n is out of range.
func (e *Engine) attach(id string, n int) *subscription {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil || n < g.run.Resumed || n > g.total {
		return nil
	}
	return g.subscribe(e, n)
}

// cancel stops a generation and returns its previous state, or false if the
// request is unknown.
func (e *Engine) cancel(id string) (state, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		return 0, false
	}
	was := g.state
	switch was {
	case stateWaiting:
		e.waiting.remove(g)
		g.finish(stateCancelled)
		e.forget(g)
	case stateRunning:
		for i, r := range e.running {
			if r == g {
				e.running = append(e.running[:i], e.running[i+1:]...)
				break
			}
		}
		e.end(g, stateCancelled)
	}
	return was, true
}

func (e *Engine) wake() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}
