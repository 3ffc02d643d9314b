package main

import (
	"log/slog"
	"time"

	"verbenashift/core/request/permit"
	"verbenashift/core/request/route"
	"verbenashift/platform"
)

// asks is what targets ask, in their answers, of those that send to them: to get no more than a
// limit, to be left alone for a while, and to get nothing new since they leave. The fleet's
// lock guards it.
type asks struct {
	limits *limits
	// paused is until when targets want nothing of this gateway.
	paused map[string]time.Time
	// held are the targets that take no request yet, whether for a limit or a pause.
	held map[string]bool
	// waiting counts the requests by service that wait for a held target.
	waiting map[string]int
	// refusers are the targets that are avoided since they refuse requests.
	refusers map[string]*pooled
}

func newAsks(instance string, log *slog.Logger) asks {
	return asks{
		limits: newLimits(instance, log), paused: map[string]time.Time{}, held: map[string]bool{},
		waiting: map[string]int{}, refusers: map[string]*pooled{},
	}
}

// drop forgets what an earlier start of a target has asked. Stays says that it has started
// again, as one that was born at a time.
func (a *asks) drop(id string, born int64, stays bool) {
	delete(a.held, id)
	delete(a.paused, id)
	delete(a.refusers, id)
	if stays {
		a.limits.restarted(id, born)
		return
	}
	a.limits.gone(id)
}

// heed takes what an answer of a target asks. It is called with the lock held.
func (f *fleet) heed(s sent, a platform.Answer, now time.Time) {
	if a.Leaving && !s.target.leaving {
		f.leavesNow(s, a.ID)
	}
	if a.Sealed || a.NotRun {
		f.limited(s, a.ID, a.Limit, now)
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

// leavesNow takes the word of a target that it leaves. Its entry in the store may never say so.
// It is called with the lock held.
func (f *fleet) leavesNow(s sent, requestID string) {
	p := s.target
	p.leaving = true
	metricLeaving.Add(1)
	f.log.Info("target says that it leaves", "id", requestID, "target", p.ID, "service", p.Service, "draining-by-store", p.Draining)
	if f.pools[p.ID] == p {
		f.table.SetLeaving(s.index, true)
	}
}

// limited takes the limit that an answer names, or nil if it names none. It is called with
// the lock held.
func (f *fleet) limited(s sent, requestID string, limit *float64, now time.Time) {
	p := s.target
	if !f.asks.limits.named(permit.Answer{Target: p.ID, Service: p.Service, Born: p.Born, Limit: limit, Sent: s.started}, now) {
		return
	}
	if limit == nil {
		f.log.Info("target names no limit any more", "id", requestID, "target", p.ID, "service", p.Service)
		return
	}
	metricLimitsNamed.Add(1)
	f.log.Info("target names a limit", "id", requestID, "target", p.ID, "service", p.Service, "requests-a-second", *limit)
}

// pause leaves a target alone for the time that it has asked for. It is called with the lock
// held.
func (f *fleet) pause(p *pooled, requestID string, d time.Duration, now time.Time) {
	metricPauses.Add(1)
	f.log.Info("target asks for a pause", "id", requestID, "target", p.ID, "service", p.Service, "ms", d.Milliseconds())
	if f.pools[p.ID] != p {
		return // It has ended meanwhile.
	}
	if until := now.Add(d); until.After(f.asks.paused[p.ID]) {
		f.asks.paused[p.ID] = until
	}
	f.setHeld(p.ID, true)
}

// refused takes the refusal of a target that asks for nothing. It is called with the lock
// held.
func (f *fleet) refused(p *pooled, now time.Time) {
	if f.pools[p.ID] != p {
		return // It has ended meanwhile.
	}
	p.refusals.Refused(now)
	f.asks.refusers[p.ID] = p
	f.avoid(p, now)
}

// hold keeps requests for a service away from the targets that take none yet. It is called
// with the lock held.
func (f *fleet) hold(service string, now time.Time) {
	unready := f.asks.limits.unready(service, now)
	if len(unready) == 0 && len(f.asks.held) == 0 {
		return
	}
	for id, until := range f.asks.paused {
		if !now.Before(until) {
			delete(f.asks.paused, id)
		}
	}
	for id := range f.asks.held {
		if !unready[id] && f.asks.paused[id].IsZero() {
			f.setHeld(id, false)
		}
	}
	for id := range unready {
		if !f.asks.held[id] && f.pools[id] != nil {
			f.setHeld(id, true)
		}
	}
}

// setHeld has no request sent to a target, or again. It is called with the lock held.
func (f *fleet) setHeld(id string, held bool) {
	if held {
		f.asks.held[id] = true
	} else {
		delete(f.asks.held, id)
	}
	if i, ok := f.table.Lookup(id); ok {
		f.table.SetHeld(i, held)
	}
}

// forgive has requests sent again to targets that have refused some. It is called with the
// lock held.
func (f *fleet) forgive(now time.Time) {
	for id, p := range f.asks.refusers {
		if !p.refusals.Avoided(now) {
			delete(f.asks.refusers, id)
			f.avoid(p, now)
		}
	}
}

// opening returns what is known of the targets of a query that take no request yet, and false
// if there are none.
func (f *fleet) opening(q *route.Query, now time.Time) (permit.Opening, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := permit.Opening{Waiting: f.asks.waiting[q.Service]}
	some := false
	for id := range f.asks.held {
		i, ok := f.table.Lookup(id)
		if !ok || f.pools[id].Service != q.Service || q.Exclude.Has(i) || f.pools[id].leaves() {
			continue
		}
		some = true
		f.asks.limits.open(&o, id, f.asks.paused[id], now)
	}
	return o, some
}

// wait counts a request that begins or ends to wait for a target of a service.
func (f *fleet) wait(service string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks.waiting[service] += change
}
