package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// enough is how many targets must have crashed under a request for it to be held back.
	enough = 3
	// trialTime is how long a trial may take, for which others are told to stay away.
	trialTime = time.Second
	// settle is how old the word of a crash must be to count: other gateways tell meanwhile
	// of what was under way there, which may be the culprit. It leaves half of the three
	// seconds after a third crash in which all gateways are to know it.
	settle = 1500 * time.Millisecond
	// tellFrom is from how many crashes on a request that is answered whole is worth a word
	// to the other gateways.
	tellFrom = 2

	// maxCrashes and maxRequests bound what is remembered: some weeks of failing instances,
	// and more requests than a target takes at once. Together they are 512 KB at most.
	maxCrashes  = 512
	maxRequests = 64
	// maxReports and maxHolds bound what stands in the store.
	maxReports = 256
	maxHolds   = 1024
	// maxDeletes is how many old items one call removes.
	maxDeletes = 16
)

// trialWaits are the times after which a request that is held back is tried again, if not
// sooner. There is no trial after the last: each costs a target, or a whole group, if the
// request still crashes them.
var trialWaits = [...]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour}

// life is one life of a target.
type life struct {
	target string
	born   int64
}

// crash is what all gateways have told of the end of a target.
type crash struct {
	life
	requests []Fingerprint
	heard    time.Time
}

// held is a request that is held back.
type held struct {
	Hold
	// revision is that of the store; 0 until the hold stands there.
	revision int64
	// since is when this process has learned of it or of its last trial.
	since time.Time
}

// Register decides which requests are held back. It is not safe for concurrent use.
type Register struct {
	// crashes are the last ones, oldest first; counts says in how many of them each request
	// was under way.
	crashes []*crash
	counts  map[Fingerprint]int
	held    map[Fingerprint]*held
	// unjudged says that crashes are known that have not been judged, or not since the last
	// change of what is known, or whose word has not settled.
	unjudged bool
	// done are requests that targets have answered to this gateway.
	done recent
	// reports and holds are the items in the store, by key, with their revisions.
	reports, holds map[string]int64
}

// New returns a Register that holds nothing back.
func New() *Register {
	return &Register{counts: map[Fingerprint]int{}, held: map[Fingerprint]*held{}, reports: map[string]int64{}, holds: map[string]int64{}}
}

// Crashes returns in how many crashes that are remembered a request was under way.
func (g *Register) Crashes(p Fingerprint) int { return g.counts[p] }

// Quarantined returns how many requests are held back.
func (g *Register) Quarantined() int { return len(g.held) }

// Apply takes an item that stands in the store under Prefix, in the order of the revisions.
// It returns the requests that targets have answered whole here, and that others may hold
// for culprits. An *ItemError says that the item is not understood.
func (g *Register) Apply(key string, revision int64, value []byte, now time.Time) (innocent []Fingerprint, err error) {
	if isReport(key) {
		var r Report
		if err := decode(key, value, &r); err != nil {
			return nil, err
		}
		g.reports[key] = revision
		return g.Report(&r, now), nil
	}
	p, err := heldPrint(key)
	if err != nil {
		return nil, err
	}
	var h Hold
	if err := decode(key, value, &h); err != nil {
		return nil, err
	}
	h.Probes = max(h.Probes, 0) // whoever has written it
	g.holds[key] = revision
	if old := g.held[p]; old == nil || old.revision < revision {
		g.held[p] = &held{Hold: h, revision: revision, since: now}
	}
	return nil, nil
}

// Remove takes the word that an item has been removed from the store. A request whose hold
// is removed, by an operator or after a trial, is free: what was known of its crashes does
// not count any more. It reports whether one was freed that was held back until then: the
// reports of its crashes still stand in the store, and must not count for whoever reads
// them next.
func (g *Register) Remove(key string) (freed Fingerprint, ok bool) {
	delete(g.reports, key)
	delete(g.holds, key)
	p, err := heldPrint(key)
	if err != nil || g.held[p] == nil {
		return Fingerprint{}, false
	}
	g.acquit(p)
	return p, true
}

// RetainOnly takes the keys that stand in the store after everything was read: the others have
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

// Report takes what a gateway, this one or another, has seen. It returns the requests that
// targets have answered whole here, and that others may hold for culprits.
func (g *Register) Report(r *Report, now time.Time) (innocent []Fingerprint) {
	for _, p := range r.Completed {
		g.acquit(p)
	}
	for i := range r.Crashes {
		g.record(&r.Crashes[i], now)
	}
	for i := range r.Crashes {
		for _, p := range r.Crashes[i].Requests {
			if g.done.has(p) && g.counts[p] >= tellFrom {
				g.clear(p)
				innocent = append(innocent, p)
			}
		}
	}
	return innocent
}

// record adds the requests of a crash to what others have told of it.
func (g *Register) record(told *Crash, now time.Time) {
	c := g.crash(life{told.Target, told.StartedAt}, now)
	for _, p := range told.Requests {
		if len(c.requests) < maxRequests && !slices.Contains(c.requests, p) {
			c.requests = append(c.requests, p)
			g.counts[p]++
			g.unjudged = true
		}
	}
}

// crash returns what is known of the end of a target, a new one in place of the oldest.
func (g *Register) crash(of life, now time.Time) *crash {
	for _, c := range g.crashes {
		if c.life == of {
			return c
		}
	}
	if len(g.crashes) >= maxCrashes {
		for _, p := range g.crashes[0].requests {
			g.uncount(p)
		}
		g.crashes = slices.Delete(g.crashes, 0, 1)
	}
	c := &crash{life: of, heard: now}
	g.crashes = append(g.crashes, c)
	return c
}

func (g *Register) uncount(p Fingerprint) {
	g.unjudged = true
	if g.counts[p]--; g.counts[p] <= 0 {
		delete(g.counts, p)
	}
}

// clear forgets the crashes in which a request was under way.
func (g *Register) clear(p Fingerprint) {
	if g.counts[p] == 0 {
		return
	}
	g.unjudged = true
	delete(g.counts, p)
	for _, c := range g.crashes {
		c.requests = slices.DeleteFunc(c.requests, func(q Fingerprint) bool { return q == p })
	}
}

// acquit frees a request.
func (g *Register) acquit(p Fingerprint) {
	g.unjudged = true
	delete(g.held, p)
	g.clear(p)
}

// Completed takes the word that a target has answered a request of this gateway whole. It
// reports whether the other gateways should know: they may hold it for a culprit.
func (g *Register) Completed(p Fingerprint) bool {
	g.done.add(p)
	_, held := g.held[p]
	if !held && g.counts[p] < tellFrom {
		return false
	}
	g.acquit(p)
	return true
}

// Surplus returns the oldest items that stand in the store beyond what is kept there.
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
