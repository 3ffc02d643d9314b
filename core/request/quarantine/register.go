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
	requests   []Fingerprint
	reportedAt time.Time
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
	// crashes are the most recent ones, oldest first; counts is the number of them in which
	// each request was in progress.
	crashes     []*crash
	counts      map[Fingerprint]int
	quarantined map[Fingerprint]*quarantined
	// needsEvaluation reports that some crashes have not been evaluated, were evaluated before
	// the last change of state, or are more recent than reportDelay.
	needsEvaluation bool
	// answered are the requests of this gateway that targets have answered completely, released
	// those whose quarantine or crashes are known to have ended.
	answered, released recent
	// reports and holds are the revisions of the items in the store, by key.
	reports, holds map[string]int64
}

// New returns a Register in which no request is quarantined.
func New() *Register {
	return &Register{counts: map[Fingerprint]int{}, quarantined: map[Fingerprint]*quarantined{}, reports: map[string]int64{}, holds: map[string]int64{}}
}

// Crashes returns the number of remembered crashes in which a request was in progress.
func (g *Register) Crashes(p Fingerprint) int { return g.counts[p] }

// Quarantined returns how many requests are quarantined.
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
	for _, p := range reported.Requests {
		if len(c.requests) < maxRequests && !slices.Contains(c.requests, p) {
			c.requests = append(c.requests, p)
			g.counts[p]++
			g.needsEvaluation = true
		}
	}
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
		for _, p := range g.crashes[0].requests {
			g.decrement(p)
		}
		g.crashes = slices.Delete(g.crashes, 0, 1)
	}
	c := &crash{targetRun: run, reportedAt: now}
	g.crashes = append(g.crashes, c)
	return c
}

func (g *Register) decrement(p Fingerprint) {
	g.needsEvaluation = true
	if g.counts[p]--; g.counts[p] <= 0 {
		delete(g.counts, p)
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
		c.requests = slices.DeleteFunc(c.requests, func(q Fingerprint) bool { return q == p })
	}
}

// release ends the quarantine of a request.
func (g *Register) release(p Fingerprint) {
	g.needsEvaluation = true
	g.released.add(p)
	delete(g.quarantined, p)
	g.forgetCrashes(p)
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
