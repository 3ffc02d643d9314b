package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenashift/core/configuration/kv"
)

const (
	// crashThreshold is how many targets must have crashed while running a request for it to
	// be quarantined.
	crashThreshold = 3
	// probeTimeout is how long a probe request may take. Other callers of the same request are
	// asked to wait that long.
	probeTimeout = time.Second
	// reportDelay is the age from which a crash counts as evidence. In the meantime other
	// gateways report their requests on that target, one of which may be the cause. It leaves
	// half of the three seconds after a third crash within which all gateways must know it.
	reportDelay = 1500 * time.Millisecond
	// publishThreshold is the number of crashes from which a complete response to a request is
	// reported to the other gateways.
	publishThreshold = 2

	// maxCrashes and maxRequests bound the memory: some weeks of failing instances, and more
	// requests than a target runs at once. Together they take 512 KB at most.
	maxCrashes  = 512
	maxRequests = 64
	// maxReports and maxHolds bound the items in the store.
	maxReports = 256
	maxHolds   = 1024
	// maxDeletes is how many old items one call removes.
	maxDeletes = 16
)

// probeDelays are the delays after which a quarantined request is probed, if not sooner. There
// is no probe after the last: each costs a target, or a complete group, if the request still
// crashes them.
var probeDelays = [...]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour}

// targetRun identifies one process of a target.
type targetRun struct {
	target    string
	startedAt int64
}

// crash is what all gateways have reported of the crash of one target.
type crash struct {
	targetRun
	service  string
	requests []Request
	// withParts is how many requests with parts were in progress, and parts how many parts these
	// have.
	withParts, parts int
	reportedAt       time.Time
}

// has reports whether a request was in progress.
func (c *crash) has(p Fingerprint) bool {
	return slices.ContainsFunc(c.requests, func(r Request) bool { return r.Content == p })
}

// hasPart reports whether a request with a part was in progress.
func (c *crash) hasPart(p Fingerprint) bool {
	return slices.ContainsFunc(c.requests, func(r Request) bool { return slices.Contains(r.Parts, p) })
}

// quarantined is the state of a quarantined request.
type quarantined struct {
	Hold
	// revision is that of the hold in the store; 0 until it is stored.
	revision int64
	// since is when this process learned of the hold or of its last probe.
	since time.Time
}

// Register decides which requests are quarantined. It is not safe for concurrent use.
type Register struct {
	// process identifies the gateway process.
	process string
	// crashes are the most recent ones, oldest first; counts is the number of them in which
	// each request was in progress, and partCounts the same for each part.
	crashes            []*crash
	counts, partCounts map[Fingerprint]int
	quarantined        map[Fingerprint]*quarantined
	// answeredParts counts the parts of answered requests, by service; others are the counts of
	// other gateway processes, the last reported one last.
	answeredParts map[string]*frequency
	others        []Answered
	// needsEvaluation reports that some crashes have not been evaluated, were evaluated before
	// the last change of state, or are more recent than reportDelay.
	needsEvaluation bool
	// answered are the requests of this gateway that targets have answered completely, released
	// those whose quarantine or crashes are known to have ended.
	answered, released recent
	// reports and holds are the revisions of the items in the store, by key.
	reports, holds map[string]int64
}

// New returns a Register of a gateway process in which nothing is quarantined.
func New(process string) *Register {
	return &Register{
		process: process, counts: map[Fingerprint]int{}, partCounts: map[Fingerprint]int{}, quarantined: map[Fingerprint]*quarantined{},
		answeredParts: map[string]*frequency{}, reports: map[string]int64{}, holds: map[string]int64{},
	}
}

// Crashes returns the number of remembered crashes in which a request, or one with a part, was in
// progress.
func (g *Register) Crashes(p Fingerprint) int { return g.counts[p] + g.partCounts[p] }

// Quarantined returns how many requests and parts are quarantined.
func (g *Register) Quarantined() int { return len(g.quarantined) }

// Apply processes an item that is stored under Prefix; items come in the order of their
// revisions. It returns the requests that targets have answered completely here and that other
// gateways may still suspect. An *ItemError says that the item is malformed.
func (g *Register) Apply(key string, revision int64, value []byte, now time.Time) (cleared []Fingerprint, err error) {
	if isReport(key) {
		var r Report
		if err := decode(key, value, &r); err != nil {
			return nil, err
		}
		g.reports[key] = revision
		return g.Report(&r, now), nil
	}
	p, err := holdFingerprint(key)
	if err != nil {
		return nil, err
	}
	var h Hold
	if err := decode(key, value, &h); err != nil {
		return nil, err
	}
	h.Probes = max(h.Probes, 0) // The store may contain any number.
	g.holds[key] = revision
	old := g.quarantined[p]
	if old != nil && old.revision >= revision {
		return nil, nil
	}
	q := &quarantined{Hold: h, revision: revision, since: now}
	g.needsEvaluation = true // It may explain crashes that counted against others.
	if old != nil && kv.Era(old.revision) < kv.Era(revision) && old.Probes > h.Probes {
		// The store has lost a probe, which must not be made again.
		q.Hold, q.since = old.Hold, old.since
	}
	g.quarantined[p] = q
	return nil, nil
}

// Remove processes the removal of an item from the store. A request whose hold is removed, by
// an operator or after a probe, is released: its earlier crashes no longer count. Remove
// reports whether the request was quarantined until then. In that case the caller must publish
// the release, because the reports of its crashes are still stored and must not count for a
// gateway that reads them later.
func (g *Register) Remove(key string) (released Fingerprint, ok bool) {
	delete(g.reports, key)
	delete(g.holds, key)
	p, err := holdFingerprint(key)
	if err != nil || g.quarantined[p] == nil {
		return Fingerprint{}, false
	}
	g.release(p)
	return p, true
}

// RetainOnly takes the keys that exist in the store, after a complete read: all others have
// been removed.
func (g *Register) RetainOnly(keys map[string]bool) {
	for key := range g.reports {
		if !keys[key] {
			delete(g.reports, key)
		}
	}
	for key := range g.holds {
		if !keys[key] {
			g.Remove(key)
		}
	}
}

// Restored takes the keys of a store that has come back from an older copy, before its items are
// applied. Holds that it has lost are to be written again. It returns the requests whose holds are
// stored again although they had been released.
func (g *Register) Restored(keys map[string]bool) (released []Fingerprint) {
	maps.DeleteFunc(g.reports, func(key string, _ int64) bool { return !keys[key] })
	clear(g.holds)
	for p, q := range g.quarantined {
		if !keys[HoldKey(p)] {
			q.revision = 0
		}
	}
	for key := range keys {
		if p, err := holdFingerprint(key); err == nil && g.quarantined[p] == nil && g.released.has(p) {
			released = append(released, p)
		}
	}
	return released
}

// HasReport reports whether the report of a restored store was applied before the restore.
func (g *Register) HasReport(key string, revision int64) bool {
	known, ok := g.reports[key]
	return ok && kv.Counter(known) == kv.Counter(revision)
}

// Report processes what a gateway, this one or another, has observed. It returns the requests
// that targets have answered completely here and that other gateways may still suspect.
func (g *Register) Report(r *Report, now time.Time) (cleared []Fingerprint) {
	for _, p := range r.Completed {
		g.release(p)
	}
	for i := range r.Crashes {
		g.recordCrash(&r.Crashes[i], now)
	}
	g.recordAnswered(r.Answered)
	for i := range r.Crashes {
		for _, p := range r.Crashes[i].Requests {
			if g.answered.has(p) && g.counts[p] >= publishThreshold {
				g.forgetCrashes(p)
				cleared = append(cleared, p)
			}
		}
	}
	return cleared
}

// recordCrash merges a report of a crash into what other gateways have reported of it.
func (g *Register) recordCrash(reported *Crash, now time.Time) {
	c := g.crash(targetRun{reported.Target, reported.StartedAt}, now)
	c.service = cmp.Or(c.service, reported.Service)
	for i := range reported.Requests {
		if r := reported.request(i); len(c.requests) < maxRequests && !c.has(r.Content) {
			g.recordRequest(c, r)
		}
	}
}

// recordRequest records that a request was in progress in a crash.
func (g *Register) recordRequest(c *crash, r Request) {
	g.needsEvaluation = true
	g.counts[r.Content]++
	kept := Request{Content: r.Content}
	for _, p := range r.Parts {
		if c.parts >= maxCrashParts || slices.Contains(kept.Parts, p) {
			continue
		}
		if !c.hasPart(p) {
			g.partCounts[p]++
		}
		kept.Parts = append(kept.Parts, p)
		c.parts++
	}
	if len(kept.Parts) > 0 {
		c.withParts++
	}
	c.requests = append(c.requests, kept)
}

// crash returns the record of the crash of a target. A new one replaces the oldest if there
// are maxCrashes.
func (g *Register) crash(run targetRun, now time.Time) *crash {
	for _, c := range g.crashes {
		if c.targetRun == run {
			return c
		}
	}
	if len(g.crashes) >= maxCrashes {
		g.removeOldest()
	}
	c := &crash{targetRun: run, reportedAt: now}
	g.crashes = append(g.crashes, c)
	return c
}

// removeOldest removes the oldest crash.
func (g *Register) removeOldest() {
	g.needsEvaluation = true
	c := g.crashes[0]
	g.crashes = slices.Delete(g.crashes, 0, 1)
	for len(c.requests) > 0 {
		r := c.requests[0]
		c.requests = c.requests[1:]
		decrement(g.counts, r.Content)
		for _, p := range r.Parts {
			if !c.hasPart(p) {
				decrement(g.partCounts, p)
			}
		}
	}
}

// decrement lowers a count, and removes it at 0.
func decrement(counts map[Fingerprint]int, p Fingerprint) {
	if counts[p]--; counts[p] <= 0 {
		delete(counts, p)
	}
}

// forgetCrashes removes a request from all crashes in which it was in progress.
func (g *Register) forgetCrashes(p Fingerprint) {
	if g.counts[p] == 0 {
		return
	}
	g.needsEvaluation = true
	delete(g.counts, p)
	for _, c := range g.crashes {
		for i := range c.requests {
			if c.requests[i].Content == p {
				// Its parts stay: they still show what else was in progress.
				c.requests[i].Content = Fingerprint{}
			}
		}
	}
}

// release ends the quarantine of a request or a part.
func (g *Register) release(p Fingerprint) {
	g.needsEvaluation = true
	g.released.add(p)
	delete(g.quarantined, p)
	g.forgetCrashes(p)
	g.forgetPart(p)
}

// Completed records that a target has answered a request of this gateway completely. It
// reports whether the other gateways must be informed because they may suspect it.
func (g *Register) Completed(p Fingerprint) bool {
	g.answered.add(p)
	_, quarantined := g.quarantined[p]
	if !quarantined && g.counts[p] < publishThreshold {
		return false
	}
	g.release(p)
	return true
}

// Surplus returns the oldest stored items beyond maxHolds and maxReports.
func (g *Register) Surplus() []string {
	old := oldest(g.holds, len(g.holds)-maxHolds)
	old = append(old, oldest(g.reports, len(g.reports)-maxReports)...)
	return old[:min(len(old), maxDeletes)]
}

// oldest returns the n keys with the lowest revisions, at most maxDeletes.
func oldest(items map[string]int64, n int) []string {
	if n <= 0 {
		return nil
	}
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(items[a], items[b]) })
	return keys[:min(n, maxDeletes, len(keys))]
}
