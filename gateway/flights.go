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
type activeStream struct {
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
type activeStreams struct {
	open map[*activeStream]struct{}
	// targets and groups are when an event last came from there.
	targets map[string]time.Time
	groups  map[groupKey]time.Time
}

// groupKey names a group of engines. The group is empty where the engines of a service
// form none, or theirs is not known.
type groupKey struct {
	service, group string
}

func newActiveStreams() activeStreams {
	return activeStreams{open: map[*activeStream]struct{}{}, targets: map[string]time.Time{}, groups: map[groupKey]time.Time{}}
}

// depart watches an attempt: its context ends if the target goes silent, or if
// it holds its group up and another server may run the request.
func (f *fleet) trackStream(ctx context.Context, s sent, id, service string, mayMove bool) (context.Context, *activeStream) {
	ctx, end := context.WithCancelCause(ctx)
	st := &activeStream{sent: s, id: id, service: service, mayMove: mayMove, heardAt: s.started, end: end}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.open[st] = struct{}{}
	return ctx, st
}

// land ends the watch.
func (f *fleet) untrackStream(st *activeStream) {
	st.end(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.streams.open, st)
}

// event records that a piece has come.
func (f *fleet) event(st *activeStream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st.begun, st.heardAt = true, now
	f.streams.targets[st.target.ID] = now
	f.streams.groups[f.key(st)] = now
}

// key names the group in which a flight is. It is called with the lock held.
func (f *fleet) key(st *activeStream) groupKey {
	return groupKey{st.service, f.groupOf(&st.target.Target)}
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
	for st := range f.streams.open {
		if st.begun {
			due[f.key(st)] = true
		}
	}
	var silent []silentGroup
	for key := range due {
		p := health.GroupProgress{Group: f.streams.groups[key]}
		for other, at := range f.streams.groups {
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
func (f *fleet) moveGroupStreams(key groupKey, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for st := range f.streams.open {
		if most <= 0 {
			return
		}
		if f.key(st) != key || !st.mayMove {
			continue
		}
		most--
		f.log.Warn("group silent", "id", st.id, "target", st.target.ID, "service", key.service, "group", key.group, "begun", st.begun)
		metricSilent.Add(1)
		delete(f.streams.open, st)
		st.end(errSilentGroup)
	}
}

// silentFor is how long a target gets no new requests after it was found silent.
// If it is silent for longer, the answers that were moved away have it ejected.
const silenceHold = time.Second

// watchSilence has no requests sent to targets that have gone silent, and ends
// the attempts there that had better go on elsewhere. One that nobody else may run, or
// for which no retry is left, stays: it would be broken off in the middle of an answer
// that its target, which may only be slow, still finishes. It is called with the lock held.
func (f *fleet) watchSilence(now time.Time) {
	due, left := map[string]bool{}, map[string]int{}
	for st := range f.streams.open {
		due[st.target.ID] = due[st.target.ID] || st.begun
	}
	for st := range f.streams.open {
		id := st.target.ID
		p := health.Progress{
			Begun: st.begun, Due: due[id], Answer: st.heardAt,
			Target: f.streams.targets[id], Pool: f.streams.groups[f.key(st)],
		}
		silence := p.Evaluate(now)
		if silence.Avoid {
			st.target.silentUntil = now.Add(silenceHold)
		}
		if silence.Move && st.mayMove && f.spendRetry(left, st.service) {
			f.moveStream(st, silence, now)
		}
	}
	for _, p := range f.pools {
		f.updateAvoided(p, now)
	}
}

// spend takes one of the retries that are left for a service in this look.
func (f *fleet) spendRetry(left map[string]int, service string) bool {
	if _, asked := left[service]; !asked {
		left[service] = f.spare(service)
	}
	left[service]--
	return left[service] >= 0
}

// leave ends up to so many attempts at slow targets, so that the streams go on at
// others of their group.
func (f *fleet) moveSlowStreams(slow map[string]bool, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for st := range f.streams.open {
		if most <= 0 {
			return
		}
		if !slow[st.target.ID] || !st.mayMove {
			continue
		}
		most--
		f.log.Info("target slow", "id", st.id, "target", st.target.ID, "service", st.service, "begun", st.begun)
		metricSlow.Add(1)
		delete(f.streams.open, st)
		st.end(errSlow)
	}
}

// avoid tells the table whether a target is to be avoided.
func (f *fleet) updateAvoided(p *pooled, now time.Time) {
	if i, ok := f.table.Lookup(p.ID); ok {
		f.table.SetAvoided(i, p.slow || now.Before(p.silentUntil) || now.Before(p.suspectedUntil) || p.refusals.Avoided(now))
	}
}

// moveAway ends an attempt, so that the stream goes on at another target.
func (f *fleet) moveStream(st *activeStream, silence health.Silence, now time.Time) {
	if silence.TargetStalled {
		// One silent answer of a silent target says more than one that broke:
		// with a second one the target gets no more.
		f.monitor.Fail(st.index, health.Hard, now)
	}
	f.log.Warn("target silent", "id", st.id, "target", st.target.ID, "service", st.service, "whole-target", silence.TargetStalled,
		"begun", st.begun, "silent-ms", now.Sub(st.heardAt).Milliseconds())
	metricSilent.Add(1)
	delete(f.streams.open, st)
	st.end(errStalled)
}
