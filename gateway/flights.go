package main

import (
	"context"
	"errors"
	"time"

	"verbenashift/core/health"
)

// errStalled is why an attempt is ended whose target says nothing more while
// others do.
var errStalled = errors.New("target silent while others go on")

// flight is a stream in progress that may go on at another target.
type flight struct {
	sent
	// id is the request's.
	id      string
	service string
	begun   bool
	// heardAt is when its last event came, or when it was sent.
	heardAt time.Time
	end     context.CancelCauseFunc
}

// flights watches the streams in progress for silence. The fleet's lock guards
// it.
type flights struct {
	open map[*flight]struct{}
	// targets and services are when an event last came from there.
	targets  map[string]time.Time
	services map[string]time.Time
}

func newFlights() flights {
	return flights{open: map[*flight]struct{}{}, targets: map[string]time.Time{}, services: map[string]time.Time{}}
}

// depart watches an attempt: its context ends if the target goes silent.
func (f *fleet) depart(ctx context.Context, s sent, id, service string) (context.Context, *flight) {
	ctx, end := context.WithCancelCause(ctx)
	fl := &flight{sent: s, id: id, service: service, heardAt: s.started, end: end}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flights.open[fl] = struct{}{}
	return ctx, fl
}

// land ends the watch.
func (f *fleet) land(fl *flight) {
	fl.end(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.flights.open, fl)
}

// event records that a piece has come.
func (f *fleet) event(fl *flight, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.begun, fl.heardAt = true, now
	f.flights.targets[fl.target.ID] = now
	f.flights.services[fl.service] = now
}

// endStalled ends the attempts that have gone silent. It is called with the
// lock held.
func (f *fleet) endStalled(now time.Time) {
	for fl := range f.flights.open {
		p := health.Progress{
			Begun: fl.begun, Answer: fl.heardAt,
			Target: f.flights.targets[fl.target.ID], Pool: f.flights.services[fl.service],
		}
		stalled, whole := health.Stalled(p, now)
		if !stalled {
			continue
		}
		if whole {
			// One silent answer of a silent target says more than one that
			// broke: with a second one the target gets no more.
			f.monitor.Fail(fl.index, health.Hard, now)
		}
		f.log.Warn("target silent", "id", fl.id, "target", fl.target.ID, "service", fl.service, "whole-target", whole,
			"begun", fl.begun, "silent-ms", now.Sub(fl.heardAt).Milliseconds())
		delete(f.flights.open, fl)
		fl.end(errStalled)
	}
}
