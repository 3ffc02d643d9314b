package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/request/outcome"
)

// errHandover is the cancellation cause of the requests that remain at the end
// of a drain: their answers are continued at another entry.
var errHandover = errors.New("handed over to another entry")

// openRequests counts and limits the requests in progress, in total and per
// workspace.
type openRequests struct {
	limit      int
	retryAfter time.Duration

	mu     sync.Mutex
	total  int
	counts map[string]int
}

func newOpenRequests(limit int, retryAfter time.Duration) *openRequests {
	return &openRequests{limit: limit, retryAfter: retryAfter, counts: make(map[string]int)}
}

// acquire admits a request of a workspace or refuses it. A workspace without a
// limit of its own may use half of the entry's capacity, so that it can't
// exhaust the capacity of the others.
func (o *openRequests) acquire(ws *config.Workspace) *outcome.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	bound := ws.MaxStreams
	if bound == 0 {
		bound = max(o.limit/2, 1)
	}
	if o.total >= o.limit {
		return &outcome.Error{Outcome: outcome.NotRun, Reason: "entry-full", RetryAfter: o.retryAfter}
	}
	if o.counts[ws.Name] >= bound {
		return &outcome.Error{Outcome: outcome.NotRun, Reason: "workspace-streams", RetryAfter: o.retryAfter, Status: http.StatusTooManyRequests}
	}
	o.total++
	o.counts[ws.Name]++
	return nil
}

func (o *openRequests) release(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.counts[workspace]--
	if o.counts[workspace] == 0 {
		delete(o.counts, workspace)
	}
}

func (o *openRequests) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

// flowSet tracks the requests in progress, so that a drain can hand them over.
type flowSet struct {
	mu    sync.Mutex
	stops map[*flow]context.CancelCauseFunc
}

func (s *flowSet) add(f *flow, stop context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stops == nil {
		s.stops = make(map[*flow]context.CancelCauseFunc)
	}
	s.stops[f] = stop
}

func (s *flowSet) remove(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stops, f)
}

// handOver cancels all requests in progress with errHandover and returns their
// number. Their answers stay readable at another entry.
func (s *flowSet) handOver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.stops {
		stop(errHandover)
	}
	return len(s.stops)
}
