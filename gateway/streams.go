package main

import (
	"context"
	"errors"
	"time"

	"verbenashift/core/membership/health"
)

// errStalled is the cause when an attempt is canceled because its target sends nothing more
// while others do.
var errStalled = errors.New("target silent while others go on")

// errSlow is the cause when an attempt is canceled because its target slows down its group.
var errSlow = errors.New("target slows its group")

// errSilentGroup is the cause when an attempt is canceled because its entire group has stalled.
var errSilentGroup = errors.New("group silent while others go on")

// activeStream is a stream in progress that may be resumed at another target.
type activeStream struct {
	activeAttempt
	// id is the request's.
	id      string
	service string
	begun   bool
	// mayMove is set if another server may run the request.
	mayMove bool
	// lastEventAt is when its last event arrived or was passed on, or when the request was sent.
	lastEventAt time.Time
	// writing is set while an event is passed on: a caller that reads slowly says nothing about
	// the target.
	writing bool
	end     context.CancelCauseFunc
}

// activeStreams tracks the streams in progress to detect silence. The fleet's lock guards it.
type activeStreams struct {
	open map[*activeStream]struct{}
	// targets and groups hold when the last event of each arrived.
	targets map[string]time.Time
	groups  map[groupKey]time.Time
}

// groupKey identifies a group of engines. The group is empty if the engines of a service
// form none, or if theirs is not known.
type groupKey struct {
	service, group string
}

func newActiveStreams() activeStreams {
	return activeStreams{open: map[*activeStream]struct{}{}, targets: map[string]time.Time{}, groups: map[groupKey]time.Time{}}
}

// trackStream tracks an attempt: its context is canceled if the target goes silent, or if it
// slows down its group and another server may run the request.
func (f *fleet) trackStream(ctx context.Context, s activeAttempt, id, service string, mayMove bool) (context.Context, *activeStream) {
	ctx, end := context.WithCancelCause(ctx)
	st := &activeStream{activeAttempt: s, id: id, service: service, mayMove: mayMove, lastEventAt: s.started, end: end}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.open[st] = struct{}{}
	return ctx, st
}

// untrackStream ends the tracking.
func (f *fleet) untrackStream(st *activeStream) {
	st.end(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.streams.open, st)
}

// event records the arrival of an event.
func (f *fleet) event(st *activeStream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st.begun, st.writing, st.lastEventAt = true, true, now
	f.streams.targets[st.target.ID] = now
	f.streams.groups[f.key(st)] = now
}

// passedOn records that the last event was passed on to the caller.
func (f *fleet) passedOn(st *activeStream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st.writing, st.lastEventAt = false, now
}

// key returns the group of a stream. It is called with the lock held.
func (f *fleet) key(st *activeStream) groupKey {
	return groupKey{st.service, f.groupOf(&st.target.Target)}
}

// silentGroup is a group that has stalled while others of its service make progress. Move is
// set if its streams should be resumed there.
type silentGroup struct {
	groupKey
	move bool
}

// silentGroups returns the groups that have stalled. It is called with the lock held.
func (f *fleet) silentGroups(now time.Time) []silentGroup {
	due := map[groupKey]bool{}
	for st := range f.streams.open {
		if st.begun && !st.writing {
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

// moveGroupStreams cancels at most the given number of attempts at a stalled group, so that
// the streams are resumed in others.
func (f *fleet) moveGroupStreams(key groupKey, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for st := range f.streams.open {
		if most <= 0 {
			return
		}
		if f.key(st) != key || !st.mayMove || st.writing {
			continue
		}
		most--
		f.log.Warn("group silent", "id", st.id, "target", st.target.ID, "service", key.service, "group", key.group, "begun", st.begun)
		metricSilent.Add(1)
		delete(f.streams.open, st)
		st.end(errSilentGroup)
	}
}

// silenceHold is how long a target gets no new requests after it was found silent.
// If it is silent for longer, the failures of the moved streams cause its ejection.
const silenceHold = time.Second

// watchSilence makes the gateway avoid targets that have gone silent, and cancels the
// attempts there that should be resumed elsewhere. An attempt that no other server may run,
// or for which no retry is left, stays: it would be aborted in the middle of an answer that
// its target, which may only be slow, still finishes. It is called with the lock held.
func (f *fleet) watchSilence(now time.Time) {
	due, left := map[string]bool{}, map[string]int{}
	for st := range f.streams.open {
		due[st.target.ID] = due[st.target.ID] || st.begun && !st.writing
	}
	for st := range f.streams.open {
		if st.writing {
			continue
		}
		id := st.target.ID
		p := health.Progress{
			Begun: st.begun, Due: due[id], Answer: st.lastEventAt,
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
	for _, p := range f.targetStates {
		f.updateAvoided(p, now)
	}
}

// spendRetry takes one of the retries that are left for a service in this check, and reports
// whether there was one.
func (f *fleet) spendRetry(left map[string]int, service string) bool {
	if _, known := left[service]; !known {
		left[service] = f.spare(service)
	}
	left[service]--
	return left[service] >= 0
}

// moveSlowStreams cancels at most the given number of attempts at slow targets, so that the
// streams are resumed at others of their group.
func (f *fleet) moveSlowStreams(slow map[string]bool, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for st := range f.streams.open {
		if most <= 0 {
			return
		}
		if !slow[st.target.ID] || !st.mayMove || st.writing {
			continue
		}
		most--
		f.log.Info("target slow", "id", st.id, "target", st.target.ID, "service", st.service, "begun", st.begun)
		metricSlow.Add(1)
		delete(f.streams.open, st)
		st.end(errSlow)
	}
}

// updateAvoided sets in the routing table whether a target is avoided.
func (f *fleet) updateAvoided(p *targetState, now time.Time) {
	if i, ok := f.table.Lookup(p.ID); ok {
		f.table.SetAvoided(i, p.slow || now.Before(p.silentUntil) || now.Before(p.suspectedUntil) || p.refusals.Avoided(now))
	}
}

// moveStream cancels an attempt, so that the stream is resumed at another target.
func (f *fleet) moveStream(st *activeStream, silence health.Silence, now time.Time) {
	if silence.TargetStalled {
		// A silent stream of a silent target is stronger evidence than a broken one:
		// after a second one the target is ejected.
		f.monitor.Fail(st.index, health.Hard, now)
	}
	f.log.Warn("target silent", "id", st.id, "target", st.target.ID, "service", st.service, "whole-target", silence.TargetStalled,
		"begun", st.begun, "silent-ms", now.Sub(st.lastEventAt).Milliseconds())
	metricSilent.Add(1)
	delete(f.streams.open, st)
	st.end(errStalled)
}
