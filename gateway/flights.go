package main

import (
	"context"
	"errors"
	"time"

	"verbenashift/core/membership/health"
)

// errStalled is why an attempt is ended whose target says nothing more while
// others do.
var errStalled = errors.New("target silent while others go on")

// errSlow is why an attempt is ended whose target holds its group up.
var errSlow = errors.New("target slows its group")

// errSilentGroup is why an attempt is ended whose whole group stands still.
var errSilentGroup = errors.New("group silent while others go on")

// flight is a stream in progress that may go on at another target.
type flight struct {
	sent
	// id is the request's.
	id      string
	service string
	begun   bool
	// mayMove says that another server may run the request.
	mayMove bool
	// heardAt is when its last event came, or when it was sent.
	heardAt time.Time
	end     context.CancelCauseFunc
}

// flights watches the streams in progress for silence. The fleet's lock guards
// it.
type flights struct {
	open map[*flight]struct{}
	// targets and groups are when an event last came from there.
	targets map[string]time.Time
	groups  map[groupKey]time.Time
}

// groupKey names a group of engines. The group is empty where the engines of a service
// form none, or theirs is not known.
type groupKey struct {
	service, group string
}

func newFlights() flights {
	return flights{open: map[*flight]struct{}{}, targets: map[string]time.Time{}, groups: map[groupKey]time.Time{}}
}

// depart watches an attempt: its context ends if the target goes silent, or if
// it holds its group up and another server may run the request.
func (f *fleet) depart(ctx context.Context, s sent, id, service string, mayMove bool) (context.Context, *flight) {
	ctx, end := context.WithCancelCause(ctx)
	fl := &flight{sent: s, id: id, service: service, mayMove: mayMove, heardAt: s.started, end: end}
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
	f.flights.groups[f.key(fl)] = now
}

// key names the group in which a flight is. It is called with the lock held.
func (f *fleet) key(fl *flight) groupKey {
	return groupKey{fl.service, f.groupOf(&fl.target.Target)}
}

// silentGroup is a group that stands still while others of its service go on. Move says
// that its streams had better go on there.
type silentGroup struct {
	groupKey
	move bool
}

// silentGroups returns the groups that stand still. It is called with the lock held.
func (f *fleet) silentGroups(now time.Time) []silentGroup {
	due := map[groupKey]bool{}
	for fl := range f.flights.open {
		if fl.begun {
			due[f.key(fl)] = true
		}
	}
	var silent []silentGroup
	for key := range due {
		p := health.GroupProgress{Group: f.flights.groups[key]}
		for other, at := range f.flights.groups {
			if other.service == key.service && other != key && at.After(p.Others) {
				p.Others = at
			}
		}
		if avoid, move := p.Evaluate(now); avoid {
			silent = append(silent, silentGroup{key, move})
		}
	}
	return silent
}

// leaveGroup ends up to so many attempts at a group that stands still, so that the
// streams go on in others.
func (f *fleet) leaveGroup(key groupKey, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for fl := range f.flights.open {
		if most <= 0 {
			return
		}
		if f.key(fl) != key || !fl.mayMove {
			continue
		}
		most--
		f.log.Warn("group silent", "id", fl.id, "target", fl.target.ID, "service", key.service, "group", key.group, "begun", fl.begun)
		metricSilent.Add(1)
		delete(f.flights.open, fl)
		fl.end(errSilentGroup)
	}
}

// silentFor is how long a target gets no new requests after it was found silent.
// If it is silent for longer, the answers that were moved away have it ejected.
const silentFor = time.Second

// watchSilence has no requests sent to targets that have gone silent, and ends
// the attempts there that had better go on elsewhere. One that nobody else may run, or
// for which no retry is left, stays: it would be broken off in the middle of an answer
// that its target, which may only be slow, still finishes. It is called with the lock held.
func (f *fleet) watchSilence(now time.Time) {
	due, left := map[string]bool{}, map[string]int{}
	for fl := range f.flights.open {
		due[fl.target.ID] = due[fl.target.ID] || fl.begun
	}
	for fl := range f.flights.open {
		id := fl.target.ID
		p := health.Progress{
			Begun: fl.begun, Due: due[id], Answer: fl.heardAt,
			Target: f.flights.targets[id], Pool: f.flights.groups[f.key(fl)],
		}
		silence := p.Evaluate(now)
		if silence.Avoid {
			fl.target.silentUntil = now.Add(silentFor)
		}
		if silence.Move && fl.mayMove && f.spend(left, fl.service) {
			f.moveAway(fl, silence, now)
		}
	}
	for _, p := range f.pools {
		f.avoid(p, now)
	}
}

// spend takes one of the retries that are left for a service in this look.
func (f *fleet) spend(left map[string]int, service string) bool {
	if _, asked := left[service]; !asked {
		left[service] = f.spare(service)
	}
	left[service]--
	return left[service] >= 0
}

// leave ends up to so many attempts at slow targets, so that the streams go on at
// others of their group.
func (f *fleet) leave(slow map[string]bool, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for fl := range f.flights.open {
		if most <= 0 {
			return
		}
		if !slow[fl.target.ID] || !fl.mayMove {
			continue
		}
		most--
		f.log.Info("target slow", "id", fl.id, "target", fl.target.ID, "service", fl.service, "begun", fl.begun)
		metricSlow.Add(1)
		delete(f.flights.open, fl)
		fl.end(errSlow)
	}
}

// avoid tells the table whether a target is to be avoided.
func (f *fleet) avoid(p *pooled, now time.Time) {
	if i, ok := f.table.Lookup(p.ID); ok {
		f.table.SetAvoided(i, p.slow || now.Before(p.silentUntil) || now.Before(p.doubtedUntil) || p.refusals.Avoided(now))
	}
}

// moveAway ends an attempt, so that the stream goes on at another target.
func (f *fleet) moveAway(fl *flight, silence health.Silence, now time.Time) {
	if silence.TargetStalled {
		// One silent answer of a silent target says more than one that broke:
		// with a second one the target gets no more.
		f.monitor.Fail(fl.index, health.Hard, now)
	}
	f.log.Warn("target silent", "id", fl.id, "target", fl.target.ID, "service", fl.service, "whole-target", silence.TargetStalled,
		"begun", fl.begun, "silent-ms", now.Sub(fl.heardAt).Milliseconds())
	metricSilent.Add(1)
	delete(f.flights.open, fl)
	fl.end(errStalled)
}
