package main

import (
	"time"

	"verbenashift/core/membership/health"
)

// engineAnswered records the head of an engine's answer, and whether it is the engine's own error.
//
// The load pattern it handles is a few engines of a group that fail all requests at once: they look
// idle, so that they get more requests than others.
func (f *fleet) engineAnswered(p *targetState, route string, failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := &f.pendingRequests.stats(route).failures
	if !failed {
		kind.Observe(false)
		if p.failedKind != nil {
			// The engine serves others, so that the request may have been at fault.
			p.failedKind.Observe(true)
			p.failedAt, p.failedKind = time.Time{}, nil
		}
		return
	}
	p.failedAt, p.failedKind = now, kind
	failing, engines := 0, 0
	for _, other := range f.targetStates {
		if other.Service == p.Service {
			engines++
			if health.FailsNow(other.failedAt, now) {
				failing++
			}
		}
	}
	if kind.Rare() && health.FewFail(failing, engines) {
		f.strike(p, causeFailing, now)
	}
}

// blocked reports whether a target with slots gets no new requests because it is failing or going. A
// slow one still gets some if all others are full. It is called with the lock held.
func (f *fleet) blocked(p *targetState, i int, now time.Time) bool {
	if f.evacuated[p.Zone] {
		return false // Its slots are not counted.
	}
	return !f.table.Open(i) || now.Before(p.silentUntil) || now.Before(p.suspectedUntil) || p.refusals.Avoided(now)
}
