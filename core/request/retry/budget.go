package retry

import "time"

const (
	// ratio is the part of requests that may be tried again. With ratio 0.08
	// the calls to targets stay below 1.1 of the requests, bursts included.
	ratio = 0.08
	// floorEvery lets a workspace with few requests have a retry now and
	// then, and a hop as well. It is long because it counts for each entry:
	// 390 entries give 39 retries a second by it, beside 6,200 requests.
	floorEvery = 10 * time.Second
	// keyBurst and hopBurst are the most retries saved up for one workspace
	// and for one hop.
	keyBurst = 5
	hopBurst = 20
	// hopStart is what a hop may spend before its first requests.
	hopStart = 1
)

// bucket holds the retries saved up.
type bucket struct {
	saved float64
	// used is when a workspace last had a request, or a hop's floor was last
	// counted.
	used time.Time
}

// Key names a budget: retries of one workspace must not spend another's.
type Key struct {
	Workspace string
	// Hop names the step of the path that is retried, such as "target".
	Hop string
}

// Budgets holds the budgets of all workspaces and hops at one entry. It is not
// safe for concurrent use.
type Budgets struct {
	limits Limits
	keys   map[Key]*Budget
	hops   map[string]*bucket
}

// Limits are the figures of budgets. Zero fields take the defaults.
type Limits struct {
	// Ratio is the part of requests that may be tried again.
	Ratio float64
	// KeyBurst and HopBurst are the most retries saved up for one workspace
	// and for one hop.
	KeyBurst, HopBurst float64
	// KeyStart and HopStart are what a workspace and a hop may spend before
	// their first requests.
	KeyStart, HopStart float64
	// Window, if it is set, is the span over which retries are bounded: by Ratio of its
	// requests and KeyBurst. Nothing is saved up beyond it, and one moment may use all
	// of it. The hops are not bounded apart then.
	Window time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.Ratio <= 0 {
		l.Ratio = ratio
	}
	if l.KeyBurst <= 0 {
		l.KeyBurst = keyBurst
	}
	if l.HopBurst <= 0 {
		l.HopBurst = hopBurst
	}
	if l.HopStart <= 0 {
		l.HopStart = hopStart
	}
	return l
}

// Budget limits the retries of one workspace at one hop.
type Budget struct {
	limits *Limits
	// window is nil unless the limits have one; then it replaces the buckets.
	window *window
	own    bucket
	hop    *bucket
	// floorAt is when the floor last gave a retry.
	floorAt time.Time
}

// NewBudgets returns empty budgets.
func NewBudgets(limits Limits) *Budgets {
	return &Budgets{limits: limits.withDefaults(), keys: map[Key]*Budget{}, hops: map[string]*bucket{}}
}

// SetKeyBurst changes the most retries that one workspace may save up, or has beside its
// part of the requests where a window bounds them.
func (b *Budgets) SetKeyBurst(n float64) {
	if n > 0 {
		b.limits.KeyBurst = n
	}
}

// Request records a new request, which earns its workspace and its hop a part
// of a retry.
func (b *Budgets) Request(key Key, now time.Time) {
	g := b.For(key)
	if g.window != nil {
		g.window.at(now).requests++
		g.own.used = now
		return
	}
	g.own.saved = min(b.limits.KeyBurst, g.own.saved+b.limits.Ratio)
	g.own.used = now
	g.hop.saved = min(b.limits.HopBurst, g.hop.saved+b.limits.Ratio)
}

// For returns the budget of a key, and makes it on first use.
func (b *Budgets) For(key Key) *Budget {
	if g := b.keys[key]; g != nil {
		return g
	}
	hop := b.hops[key.Hop]
	if hop == nil {
		hop = &bucket{saved: b.limits.HopStart}
		b.hops[key.Hop] = hop
	}
	g := &Budget{limits: &b.limits, hop: hop, own: bucket{saved: b.limits.KeyStart}}
	if b.limits.Window > 0 {
		g.window = newWindow(b.limits.Window)
	}
	b.keys[key] = g
	return g
}

// Forget drops the budgets that had no request since a time.
func (b *Budgets) Forget(before time.Time) {
	for key, g := range b.keys {
		if g.own.used.Before(before) {
			delete(b.keys, key)
		}
	}
}

// Take spends one retry and reports whether there was one. Both the workspace
// and the hop must have it saved up: the floors of many workspaces together
// would otherwise be the storm that the budget is to prevent.
func (g *Budget) Take(now time.Time) bool {
	if g.window != nil {
		if g.Left(now) < 1 {
			return false
		}
		g.window.at(now).retries++
		return true
	}
	g.hop.earn(now)
	if g.hop.saved < 1 {
		return false
	}
	switch {
	case g.own.saved >= 1:
		g.own.saved--
	case now.Sub(g.floorAt) >= floorEvery:
		g.floorAt = now
	default:
		return false
	}
	g.hop.saved--
	return true
}

// Left returns how many retries the key may make now.
func (g *Budget) Left(now time.Time) float64 {
	if g.window != nil {
		return g.window.left(g.limits.Ratio, g.limits.KeyBurst, now)
	}
	return min(g.own.saved, g.hop.saved)
}

// earn adds the retries of the floor to a hop, which never exceed one.
func (b *bucket) earn(now time.Time) {
	if b.saved < 1 && !b.used.IsZero() {
		b.saved = min(1, b.saved+now.Sub(b.used).Seconds()/floorEvery.Seconds())
	}
	b.used = now
}
