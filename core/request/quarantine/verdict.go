package quarantine

import (
	"slices"
	"time"
)

// Decision is what is decided on a request that is about to be sent.
type Decision struct {
	// Quarantined says that the request is not to be sent.
	Quarantined bool
	// Hold is what is known of it, and Revision that of the store, 0 if the hold does not
	// stand there yet.
	Hold     Hold
	Revision int64
	// Probe says that the request may be sent once, by the gateway that writes Hold.Tried
	// over Revision.
	Probe bool
	// RetryAfter is how long it is until the next trial; 0 if there will be none.
	RetryAfter time.Duration
}

// Decide decides on a request that is about to be sent.
func (g *Register) Decide(p Fingerprint, now time.Time) Decision {
	h := g.held[p]
	if h == nil || h.ProbeNow && h.revision == 0 {
		// Where another request may be the culprit, a trial must be possible at once, and
		// it takes the store.
		return Decision{}
	}
	v := Decision{Quarantined: true, Hold: h.Hold, Revision: h.revision}
	wait, more := h.nextTrial()
	if !more {
		return v
	}
	v.RetryAfter = max(wait-now.Sub(h.since), 0)
	if v.RetryAfter == 0 {
		v.Probe, v.RetryAfter = h.revision > 0, trialTime
	}
	return v
}

// nextTrial returns how long after the last one the next trial is due, and false if there is
// none.
func (h Hold) nextTrial() (time.Duration, bool) {
	switch {
	case h.ProbeNow && h.Probes < len(trialWaits):
		return 0, true
	case h.ProbeNow:
		// None of the trials has told anything: a neighbour must not be held for ever.
		return trialWaits[0], true
	case h.Probes < len(trialWaits):
		return trialWaits[h.Probes], true
	}
	return 0, false
}

// PendingWrites holds back the requests that have been found to crash their targets since the last
// call, and returns all holds that are not in the store.
func (g *Register) PendingWrites(now time.Time) map[Fingerprint]Hold {
	if g.unjudged && len(g.crashes) >= enough {
		g.convict(now)
		newest := g.crashes[len(g.crashes)-1]
		g.unjudged = now.Sub(newest.heard) < settle
	}
	due := map[Fingerprint]Hold{}
	for p, h := range g.held {
		if h.revision == 0 {
			due[p] = h.Hold
		}
	}
	return due
}

// convict holds back the requests under which enough targets have crashed.
func (g *Register) convict(now time.Time) {
	for p, n := range g.counts {
		if n < enough || g.held[p] != nil || len(g.held) >= 2*maxHolds {
			continue
		}
		settled, likely, sure := g.evidence(p, now)
		if settled >= enough && likely > 0 {
			g.held[p] = &held{Hold: Hold{Crashes: n, ProbeNow: sure < enough}, since: now}
		}
	}
}

// evidence counts the crashes that speak against a request: all of which the word has
// settled, those of which no other request is more likely the culprit, and those of which
// no other one is nearly as likely.
func (g *Register) evidence(p Fingerprint, now time.Time) (settled, likely, sure int) {
	n := g.counts[p]
	for _, c := range g.crashes {
		if now.Sub(c.heard) < settle || !slices.Contains(c.requests, p) {
			continue
		}
		settled++
		most := g.mostOf(c, p)
		if most <= n {
			likely++
		}
		if most < n-1 {
			sure++
		}
	}
	return settled, likely, sure
}

// mostOf returns the most crashes in which one of the other requests of a crash was.
func (g *Register) mostOf(c *crash, p Fingerprint) int {
	most := 0
	for _, other := range c.requests {
		if other != p {
			most = max(most, g.counts[other])
		}
	}
	return most
}
