package quarantine

import "time"

// Decision says whether a request may be sent.
type Decision struct {
	// Quarantined says that the request must not be sent, unless Probe is set.
	Quarantined bool
	// Hold is the hold of the request, and Revision its revision in the store, 0 if it is not
	// stored yet.
	Hold     Hold
	Revision int64
	// Probe says that the request may be sent once, by the gateway that replaces Revision in
	// the store with Hold.WithProbe.
	Probe bool
	// RetryAfter is the time until the next probe; 0 if there will be none.
	RetryAfter time.Duration
}

// Decide returns the decision on a request that is about to be sent.
func (g *Register) Decide(p Fingerprint, now time.Time) Decision {
	h := g.quarantined[p]
	if h == nil || h.ProbeNow && h.revision == 0 {
		// Where another request may be the cause, a probe must be possible at once, and a
		// probe needs the hold in the store.
		return Decision{}
	}
	d := Decision{Quarantined: true, Hold: h.Hold, Revision: h.revision}
	delay, ok := h.nextProbe()
	if !ok {
		return d
	}
	d.RetryAfter = max(delay-now.Sub(h.since), 0)
	if d.RetryAfter == 0 {
		d.Probe, d.RetryAfter = h.revision > 0, probeTimeout
	}
	return d
}

// DecideRequest returns the decision on a request that is about to be sent, and what it is quarantined
// for: its content or one of its parts. It is probed only if there is a single reason, since another
// one would make the result useless.
func (g *Register) DecideRequest(r Request, now time.Time) (d Decision, reason Fingerprint) {
	reasons := 0
	for _, p := range append([]Fingerprint{r.Content}, r.Parts...) {
		found := g.Decide(p, now)
		if !found.Quarantined {
			continue
		}
		if reasons++; reasons == 1 || found.RetryAfter > d.RetryAfter {
			d, reason = found, p
		}
	}
	d.Probe = d.Probe && reasons == 1
	return d, reason
}

// nextProbe returns how long after the previous probe the next one is due, and false if there
// is none.
func (h Hold) nextProbe() (time.Duration, bool) {
	switch {
	case h.ProbeNow && h.Probes < len(probeDelays):
		return 0, true
	case h.ProbeNow:
		// None of the probes was conclusive: a request that is not the cause must not stay
		// quarantined for ever.
		return probeDelays[0], true
	case h.Probes < len(probeDelays):
		return probeDelays[h.Probes], true
	}
	return 0, false
}

// PendingWrites quarantines the requests that were found to crash their targets since the last
// call. It returns all holds that are not in the store yet.
func (g *Register) PendingWrites(now time.Time) map[Fingerprint]Hold {
	if g.needsEvaluation && len(g.crashes) >= crashThreshold {
		g.quarantineParts(now)
		g.quarantineSuspects(now)
		newest := g.crashes[len(g.crashes)-1]
		g.needsEvaluation = now.Sub(newest.reportedAt) < reportDelay
	}
	due := map[Fingerprint]Hold{}
	for p, h := range g.quarantined {
		if h.revision == 0 {
			due[p] = h.Hold
		}
	}
	return due
}

// quarantineSuspects quarantines the requests with enough evidence against them.
func (g *Register) quarantineSuspects(now time.Time) {
	for p, n := range g.counts {
		if n < crashThreshold || g.quarantined[p] != nil || len(g.quarantined) >= 2*maxHolds {
			continue
		}
		counted, likely, certain := g.evidence(p, now)
		if counted >= crashThreshold && likely > 0 {
			g.quarantined[p] = &quarantined{Hold: Hold{Crashes: n, ProbeNow: certain < crashThreshold}, since: now}
		}
	}
}

// evidence counts the crashes that count against a request: counted are those that are older
// than reportDelay, likely those among them in which no other request was in more crashes, and
// certain those in which every other request was in at least two crashes fewer.
func (g *Register) evidence(p Fingerprint, now time.Time) (counted, likely, certain int) {
	n := g.counts[p]
	for _, c := range g.crashes {
		if now.Sub(c.reportedAt) < reportDelay || !c.has(p) || g.explained(c) {
			continue
		}
		counted++
		most := g.maxOtherCount(c, p)
		if most <= n {
			likely++
		}
		if most < n-1 {
			certain++
		}
	}
	return counted, likely, certain
}

// maxOtherCount returns the highest crash count among the other requests of a crash.
func (g *Register) maxOtherCount(c *crash, p Fingerprint) int {
	most := 0
	for _, r := range c.requests {
		if r.Content != p {
			most = max(most, g.counts[r.Content])
		}
	}
	return most
}
