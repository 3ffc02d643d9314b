package retry

import "time"

const (
	// defaultRatio is the share of requests that may be retried. At 0.08 the calls to targets
	// stay below 1.1 times the requests, bursts included.
	defaultRatio = 0.08
	// floorInterval is how often a workspace with few requests, and a hop, may retry
	// regardless of what they have earned. It is long because it applies to each entry: with
	// 390 entries it allows 39 retries a second, beside 6,200 requests.
	floorInterval = 10 * time.Second
	// defaultKeyBurst and defaultHopBurst are the most retries that one workspace and one hop
	// may accumulate.
	defaultKeyBurst = 5
	defaultHopBurst = 20
	// defaultHopStart is what a hop may spend before its first requests.
	defaultHopStart = 1
)

// bucket is a token bucket of retries.
type bucket struct {
	tokens float64
	// lastUsed is when a workspace last had a request, or when a hop's floor was last
	// credited.
	lastUsed time.Time
}

// Key identifies a budget. Each workspace has its own, so that its retries do not spend those
// of another.
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

// Limits configure budgets. Zero fields take the defaults.
type Limits struct {
	// Ratio is the share of requests that may be retried.
	Ratio float64
	// KeyBurst and HopBurst are the most retries that one workspace and one hop may
	// accumulate.
	KeyBurst, HopBurst float64
	// KeyStart and HopStart are what a workspace and a hop may spend before their first
	// requests.
	KeyStart, HopStart float64
	// Window, if set, is the time span over which the retries of all processes with such limits
	// stay within Ratio of the requests plus the sum of their KeyBurst, even if processes are lost
	// and others take their place. A request pays for retries within Window of it, and a single
	// moment may use half of what is allowed. Hops are not limited separately in this mode.
	Window time.Duration
	// StartedAt, if set, is when a process started that may have replaced another one, which may
	// have used its KeyBurst. It has none at first.
	StartedAt time.Time
}

func (l Limits) withDefaults() Limits {
	if l.Ratio <= 0 {
		l.Ratio = defaultRatio
	}
	if l.KeyBurst <= 0 {
		l.KeyBurst = defaultKeyBurst
	}
	if l.HopBurst <= 0 {
		l.HopBurst = defaultHopBurst
	}
	if l.HopStart <= 0 {
		l.HopStart = defaultHopStart
	}
	return l
}

// Budget limits the retries of one workspace at one hop.
type Budget struct {
	limits *Limits
	// credits is nil unless the limits have a window; it and the reserve then replace the buckets.
	credits *credits
	reserve reserve
	own     bucket
	hop     *bucket
	// lastFloorAt is when the floor last allowed a retry.
	lastFloorAt time.Time
}

// NewBudgets returns empty budgets.
func NewBudgets(limits Limits) *Budgets {
	return &Budgets{limits: limits.withDefaults(), keys: map[Key]*Budget{}, hops: map[string]*bucket{}}
}

// SetKeyBurst changes the most retries that one workspace may accumulate or, where a window
// limits them, may make in addition to its share of the requests.
func (b *Budgets) SetKeyBurst(n float64) {
	if n > 0 {
		b.limits.KeyBurst = n
	}
}

// Request records a new request, which credits its workspace and its hop with a fraction of a
// retry.
func (b *Budgets) Request(key Key, now time.Time) {
	g := b.For(key)
	if g.credits != nil {
		g.credits.add(b.limits.Ratio/payingSpans, now)
		g.own.lastUsed = now
		return
	}
	g.own.tokens = min(b.limits.KeyBurst, g.own.tokens+b.limits.Ratio)
	g.own.lastUsed = now
	g.hop.tokens = min(b.limits.HopBurst, g.hop.tokens+b.limits.Ratio)
}

// For returns the budget of a key, creating it on first use.
func (b *Budgets) For(key Key) *Budget {
	if g := b.keys[key]; g != nil {
		return g
	}
	hop := b.hops[key.Hop]
	if hop == nil {
		hop = &bucket{tokens: b.limits.HopStart}
		b.hops[key.Hop] = hop
	}
	g := &Budget{limits: &b.limits, hop: hop, own: bucket{tokens: b.limits.KeyStart}}
	if b.limits.Window > 0 {
		g.credits = newCredits(b.limits.Window)
		g.reserve = newReserve(b.limits.StartedAt)
	}
	b.keys[key] = g
	return g
}

// Forget removes the budgets that have had no request since the given time.
func (b *Budgets) Forget(before time.Time) {
	for key, g := range b.keys {
		if g.own.lastUsed.Before(before) {
			delete(b.keys, key)
		}
	}
}

// Take spends one retry and reports whether one was available. Both the workspace and the hop
// must have one: otherwise the floors of many workspaces together could cause the retry storm
// that the budget prevents.
func (g *Budget) Take(now time.Time) bool {
	if g.credits != nil {
		return g.takePaid(now)
	}
	g.hop.refillFloor(now)
	if g.hop.tokens < 1 {
		return false
	}
	switch {
	case g.own.tokens >= 1:
		g.own.tokens--
	case now.Sub(g.lastFloorAt) >= floorInterval:
		g.lastFloorAt = now
	default:
		return false
	}
	g.hop.tokens--
	return true
}

// Left returns how many retries the key may make now.
func (g *Budget) Left(now time.Time) float64 {
	if g.credits != nil {
		return g.credits.left(now) + g.reserved(now)
	}
	return min(g.own.tokens, g.hop.tokens)
}

// takePaid spends one retry of a budget with a window: credits first, as they expire.
func (g *Budget) takePaid(now time.Time) bool {
	if g.Left(now) < 1 {
		return false
	}
	reserved := g.reserved(now)
	g.reserve = reserve{tokens: reserved - (1 - g.credits.take(1, now)), at: now}
	return true
}

// reserved returns how many retries are left beyond those that requests have paid for.
func (g *Budget) reserved(now time.Time) float64 {
	return g.reserve.left(g.limits.KeyBurst/payingSpans, g.limits.Window, now)
}

// refillFloor credits a hop with the retries of the floor, up to one.
func (b *bucket) refillFloor(now time.Time) {
	if b.tokens < 1 && !b.lastUsed.IsZero() {
		b.tokens = min(1, b.tokens+now.Sub(b.lastUsed).Seconds()/floorInterval.Seconds())
	}
	b.lastUsed = now
}
