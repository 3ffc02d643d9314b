package main

import (
	"log/slog"
	"time"

	"verbenashift/core/request/permit"
	"verbenashift/core/request/route"
	"verbenashift/platform"
)

// backpressure is what targets have asked for in their answers: a rate limit, a pause, or no new
// requests since they shut down. The fleet's lock guards it.
type backpressure struct {
	limits *limits
	// paused is until when targets want nothing of this gateway.
	paused map[string]time.Time
	// held are the targets that take no request yet, whether for a limit or a pause.
	held map[string]bool
	// waiting counts the requests by service that wait for a held target.
	waiting map[string]int
	// refusing are the targets that are avoided since they refuse requests.
	refusing map[string]*pooled
}

func newBackpressure(instance string, log *slog.Logger) backpressure {
	return backpressure{
		limits: newLimits(instance, log), paused: map[string]time.Time{}, held: map[string]bool{},
		waiting: map[string]int{}, refusing: map[string]*pooled{},
	}
}

// drop forgets what an earlier start of a target has asked. Stays says that it has started
// again, as one that was born at a time.
func (b *backpressure) drop(id string, born int64, stays bool) {
	delete(b.held, id)
	delete(b.paused, id)
	delete(b.refusing, id)
	if stays {
		b.limits.restarted(id, born)
		return
	}
	b.limits.remove(id)
}

// applyBackpressure takes what a target asks for in an answer. It is called with the lock held.
func (f *fleet) applyBackpressure(s sent, a platform.Answer, now time.Time) {
	if a.Leaving && !s.target.announcedShutdown {
		f.markLeaving(s, a.ID)
	}
	if a.Sealed || a.NotRun {
		f.applyLimit(s, a.ID, a.Limit, now)
	}
	switch {
	case a.Pause > 0:
		f.pause(s.target, a.ID, a.Pause, now)
	case a.NotRun:
		f.refused(s.target, now)
	default:
		s.target.refusals.Accepted()
	}
}

// markLeaving takes the word of a target that it leaves. Its entry in the store may never say so.
// It is called with the lock held.
func (f *fleet) markLeaving(s sent, requestID string) {
	p := s.target
	p.announcedShutdown = true
	metricLeaving.Add(1)
	f.log.Info("target announced its shutdown", "id", requestID, "target", p.ID, "service", p.Service, "draining-by-store", p.Draining)
	if f.pools[p.ID] == p {
		f.table.SetLeaving(s.index, true)
	}
}

// limited takes the limit that an answer names, or nil if it names none. It is called with
// the lock held.
func (f *fleet) applyLimit(s sent, requestID string, limit *float64, now time.Time) {
	p := s.target
	if !f.backpressure.limits.observe(permit.Response{Target: p.ID, Service: p.Service, StartedAt: p.Born, Limit: limit, Sent: s.started}, now) {
		return
	}
	if limit == nil {
		f.log.Info("target lifted its rate limit", "id", requestID, "target", p.ID, "service", p.Service)
		return
	}
	metricRateLimits.Add(1)
	f.log.Info("target set a rate limit", "id", requestID, "target", p.ID, "service", p.Service, "requests-a-second", *limit)
}

// pause leaves a target alone for the time that it has asked for. It is called with the lock
// held.
func (f *fleet) pause(p *pooled, requestID string, d time.Duration, now time.Time) {
	metricPauses.Add(1)
	f.log.Info("target requested a pause", "id", requestID, "target", p.ID, "service", p.Service, "ms", d.Milliseconds())
	if f.pools[p.ID] != p {
		return // It has ended meanwhile.
	}
	if until := now.Add(d); until.After(f.backpressure.paused[p.ID]) {
		f.backpressure.paused[p.ID] = until
	}
	f.setHeld(p.ID, true)
}

// refused takes the refusal of a target that has not asked for a pause, or a failure of it. It
// is called with the lock held.
func (f *fleet) refused(p *pooled, now time.Time) {
	if f.pools[p.ID] != p {
		return // It has ended meanwhile.
	}
	p.refusals.Refused(now)
	f.backpressure.refusing[p.ID] = p
	f.updateAvoided(p, now)
}

// hold keeps requests for a service away from the targets that take none yet. It is called
// with the lock held.
func (f *fleet) updateThrottled(service string, now time.Time) {
	unready := f.backpressure.limits.unready(service, now)
	if len(unready) == 0 && len(f.backpressure.held) == 0 {
		return
	}
	for id, until := range f.backpressure.paused {
		if !now.Before(until) {
			delete(f.backpressure.paused, id)
		}
	}
	for id := range f.backpressure.held {
		if !unready[id] && f.backpressure.paused[id].IsZero() {
			f.setHeld(id, false)
		}
	}
	for id := range unready {
		if !f.backpressure.held[id] && f.pools[id] != nil {
			f.setHeld(id, true)
		}
	}
}

// setHeld has no request sent to a target, or again. It is called with the lock held.
func (f *fleet) setHeld(id string, held bool) {
	if held {
		f.backpressure.held[id] = true
	} else {
		delete(f.backpressure.held, id)
	}
	if i, ok := f.table.Lookup(id); ok {
		f.table.SetPaused(i, held)
	}
}

// expireRefusals has requests sent again to targets that have refused some. It is called with the
// lock held.
func (f *fleet) expireRefusals(now time.Time) {
	for id, p := range f.backpressure.refusing {
		if !p.refusals.Avoided(now) {
			delete(f.backpressure.refusing, id)
			f.updateAvoided(p, now)
		}
	}
}

// opening returns what is known of the targets of a query that take no request yet, and false
// if there are none.
func (f *fleet) availability(q *route.Query, now time.Time) (permit.Availability, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := permit.Availability{Waiting: f.backpressure.waiting[q.Service]}
	some := false
	for id := range f.backpressure.held {
		i, ok := f.table.Lookup(id)
		if !ok || f.pools[id].Service != q.Service || q.Exclude.Has(i) || f.pools[id].shuttingDown() {
			continue
		}
		some = true
		f.backpressure.limits.addTo(&o, id, f.backpressure.paused[id], now)
	}
	return o, some
}

// wait counts a request that begins or ends to wait for a target of a service.
func (f *fleet) countWaiting(service string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backpressure.waiting[service] += change
}
