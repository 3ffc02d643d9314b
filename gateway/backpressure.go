package main

import (
	"log/slog"
	"time"

	"verbenashift/core/request/permit"
	"verbenashift/core/request/route"
	"verbenashift/platform"
)

// backpressure is what targets have requested in their answers: a rate limit, a pause, or no new
// requests because they are shutting down. The fleet's lock guards it.
type backpressure struct {
	limits *limits
	// paused holds until when targets want no requests from this gateway.
	paused map[string]time.Time
	// throttled holds the targets that take no request now because of a limit or a pause.
	throttled map[string]bool
	// waiting counts the requests by service that wait for a throttled target.
	waiting map[string]int
	// refusing holds the targets that are avoided because they refuse requests.
	refusing map[string]*targetState
}

func newBackpressure(instance string, log *slog.Logger) backpressure {
	return backpressure{
		limits: newLimits(instance, log), paused: map[string]time.Time{}, throttled: map[string]bool{},
		waiting: map[string]int{}, refusing: map[string]*targetState{},
	}
}

// drop removes what an earlier incarnation of a target has requested. Stays reports that the
// target has restarted; startedAt identifies its new incarnation.
func (b *backpressure) drop(id string, startedAt int64, stays bool) {
	delete(b.throttled, id)
	delete(b.paused, id)
	delete(b.refusing, id)
	if stays {
		b.limits.restarted(id, startedAt)
		return
	}
	b.limits.remove(id)
}

// applyBackpressure applies what a target requests in an answer. It is called with the lock held.
func (f *fleet) applyBackpressure(s activeAttempt, a platform.Answer, now time.Time) {
	if a.ShuttingDown && !s.target.announcedShutdown {
		f.markShuttingDown(s, loggedID(a.ID))
	}
	if a.Sealed || a.NotRun {
		f.applyLimit(s, loggedID(a.ID), a.Limit, now)
	}
	switch {
	case a.RetryAfter > 0:
		f.pause(s.target, loggedID(a.ID), a.RetryAfter, now)
	case a.NotRun:
		f.refused(s.target, now)
	default:
		s.target.refusals.Accepted()
	}
}

// markShuttingDown records that a target has announced its shutdown in an answer. Its entry in
// the store may never say so. It is called with the lock held.
func (f *fleet) markShuttingDown(s activeAttempt, requestID string) {
	p := s.target
	p.announcedShutdown = true
	metricShutdowns.Add(1)
	f.log.Info("target announced its shutdown", "id", requestID, "target", p.ID, "service", p.Service, "draining-by-store", p.Draining)
	if f.targetStates[p.ID] == p {
		f.table.SetLeaving(s.index, true)
	}
}

// applyLimit records the rate limit that an answer states, or nil if it states none. It is
// called with the lock held.
func (f *fleet) applyLimit(s activeAttempt, requestID string, limit *float64, now time.Time) {
	p := s.target
	if !f.backpressure.limits.observe(permit.Response{Target: p.ID, Service: p.Service, StartedAt: p.StartedAt, Limit: limit, Sent: s.started}, now) {
		return
	}
	if limit == nil {
		f.log.Info("target lifted its rate limit", "id", requestID, "target", p.ID, "service", p.Service)
		return
	}
	metricRateLimits.Add(1)
	f.log.Info("target set a rate limit", "id", requestID, "target", p.ID, "service", p.Service, "requests-a-second", *limit)
}

// pause sends no requests to a target for the time that it has requested. It is called with the
// lock held.
func (f *fleet) pause(p *targetState, requestID string, d time.Duration, now time.Time) {
	metricPauses.Add(1)
	f.log.Info("target requested a pause", "id", requestID, "target", p.ID, "service", p.Service, "ms", d.Milliseconds())
	if f.targetStates[p.ID] != p {
		return // It has ended meanwhile.
	}
	if until := now.Add(d); until.After(f.backpressure.paused[p.ID]) {
		f.backpressure.paused[p.ID] = until
	}
	f.setThrottled(p.ID, true)
}

// refused records a failure of a target, or a refusal without a requested pause. It is called
// with the lock held.
func (f *fleet) refused(p *targetState, now time.Time) {
	if f.targetStates[p.ID] != p {
		return // It has ended meanwhile.
	}
	p.refusals.Refused(now)
	f.backpressure.refusing[p.ID] = p
	f.updateAvoided(p, now)
}

// updateThrottled updates which targets are throttled, before a target is picked for a service.
// It is called with the lock held.
func (f *fleet) updateThrottled(service string, now time.Time) {
	unready := f.backpressure.limits.unready(service, now)
	for _, id := range f.cold.Unready(now) {
		if unready == nil {
			unready = map[string]bool{}
		}
		unready[id] = true
	}
	if len(unready) == 0 && len(f.backpressure.throttled) == 0 {
		return
	}
	for id, until := range f.backpressure.paused {
		if !now.Before(until) {
			delete(f.backpressure.paused, id)
		}
	}
	for id := range f.backpressure.throttled {
		if !unready[id] && f.backpressure.paused[id].IsZero() {
			f.setThrottled(id, false)
		}
	}
	for id := range unready {
		if !f.backpressure.throttled[id] && f.targetStates[id] != nil {
			f.setThrottled(id, true)
		}
	}
}

// setThrottled stops or resumes sending requests to a target. It is called with the lock held.
func (f *fleet) setThrottled(id string, throttled bool) {
	if throttled {
		f.backpressure.throttled[id] = true
	} else {
		delete(f.backpressure.throttled, id)
	}
	if i, ok := f.table.Lookup(id); ok {
		f.table.SetPaused(i, throttled)
	}
}

// expireRefusals resumes sending requests to targets whose refusals are long enough ago. It is
// called with the lock held.
func (f *fleet) expireRefusals(now time.Time) {
	for id, p := range f.backpressure.refusing {
		if !p.refusals.Avoided(now) {
			delete(f.backpressure.refusing, id)
			f.updateAvoided(p, now)
		}
	}
}

// availability returns when the throttled targets of a query are expected to take requests, and
// false if none is throttled.
func (f *fleet) availability(q *route.Query, now time.Time) (permit.Availability, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := permit.Availability{Waiting: f.backpressure.waiting[q.Service]}
	some := false
	for id := range f.backpressure.throttled {
		i, ok := f.table.Lookup(id)
		if !ok || f.targetStates[id].Service != q.Service || q.Exclude.Has(i) || !q.Zones.Allow(f.targetStates[id].Zone) || f.targetStates[id].shuttingDown() {
			continue
		}
		some = true
		f.addAvailability(&o, id, now)
	}
	return o, some
}

// countWaiting adds change to the number of requests that wait for a target of a service.
func (f *fleet) countWaiting(service string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backpressure.waiting[service] += change
}
