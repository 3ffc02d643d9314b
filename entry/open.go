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

// errHandover is the cause with which the requests that are left at the end of
// a drain are ended: their answers go on at another entry.
var errHandover = errors.New("handed over to another entry")

// openCount bounds the requests in progress, in all and for each workspace.
type openCount struct {
	limit      int
	retryAfter time.Duration

	mu     sync.Mutex
	total  int
	counts map[string]int
}

func newOpenCount(limit int, retryAfter time.Duration) *openCount {
	return &openCount{limit: limit, retryAfter: retryAfter, counts: make(map[string]int)}
}

// take opens a request of a workspace or refuses it. A workspace that sets no
// bound may use half of the entry, so that it never takes the others' places.
func (o *openCount) take(ws *config.Workspace) *outcome.Error {
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

func (o *openCount) release(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.counts[workspace]--
	if o.counts[workspace] == 0 {
		delete(o.counts, workspace)
	}
}

func (o *openCount) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

// flowSet holds the requests in progress, so that a drain can hand them over.
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

// handOver ends every connection in progress without ending its answer.
func (s *flowSet) handOver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.stops {
		stop(errHandover)
	}
	return len(s.stops)
}
