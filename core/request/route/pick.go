package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// busyWeight counts the load in the batch against the wait in the queue:
	// it lengthens the steps, and it decides when no target has a queue.
	busyWeight = 0.1
	// affinityTries is how many targets a prefix names, in turn. A prefix of
	// a tenth of all requests fills several.
	affinityTries = 8
	none          = -1
)

// Pick chooses the target of a request. It reports false if no target may take
// it now; the request has then truly not run.
func (t *Table) Pick(q *Query, now time.Time, rng *rand.Rand) (int, bool) {
	p := t.pools[poolKey{q.Model, q.Service, q.Group, q.Version, q.Adapter, q.Role}]
	if p == nil {
		return 0, false
	}
	if i := t.probe(q); i != none {
		return i, true
	}
	at := t.nanos(now)
	best := choice{none, math.Inf(1)}
	best = t.sample(p.near, p.choices, q, at, rng, best)
	// One candidate elsewhere lets a region that is full or down spill over;
	// its penalty keeps it from being chosen otherwise.
	best = t.sample(p.far, 1, q, at, rng, best)
	if i := t.affine(p, q, at, best.seconds); i != none {
		return i, true
	}
	if best.target != none {
		return best.target, true
	}
	return t.sweep(p, q, rng)
}

// choice is a candidate and its expected time to the first token.
type choice struct {
	target  int
	seconds float64
}

// sample returns the best of n random members and the choice so far.
func (t *Table) sample(from []uint16, n int, q *Query, at int64, rng *rand.Rand, best choice) choice {
	if len(from) == 0 {
		return best
	}
	k := rng.IntN(len(from))
	for range min(n, len(from)) {
		i := int(from[k])
		if t.usable(i, q) && !t.states[i].avoided && t.admitted(i, rng) {
			if s, _ := t.expect(i, at); s < best.seconds {
				best = choice{i, s}
			}
		}
		k = next(k, n, len(from), rng)
	}
	return best
}

// next returns the candidate after k: another random one, or the next in turn
// if all are to be seen.
func next(k, n, members int, rng *rand.Rand) int {
	if n >= members {
		return (k + 1) % members
	}
	return (k + 1 + rng.IntN(members-1)) % members
}

// affine returns a target that the prefix names, or none. It must be within
// the bounds, and not be slower than the best choice by more than a cached
// prefix saves.
func (t *Table) affine(p *pool, q *Query, at int64, best float64) int {
	if q.Prefix == 0 {
		return none
	}
	c := &t.crowds[p.crowd]
	limit := bounds{
		busy: t.opt.LoadBound * c.busy / float64(max(c.known, 1)),
		sent: t.opt.LoadBound * decayed(c.sent, c.sentAt, at) / float64(max(c.size, 1)),
	}
	h := q.Prefix
	for range affinityTries {
		i := int(p.ring[h%uint64(len(p.ring))])
		h = mix(h + oddMultiplier)
		s := &t.states[i]
		if !t.usable(i, q) || s.avoided || s.share < 1 || !limit.allow(s, q.Cost, at) {
			continue
		}
		rate := t.rateOf(s)
		seconds, busy := t.expect(i, at)
		if busy <= limit.busy+q.Cost/rate && seconds-q.CacheSavings/rate <= best {
			return i
		}
	}
	return none
}

// bounds are how much a target may have of two loads for affinity to hold. One
// popular prefix would otherwise overload its target while others idle.
type bounds struct {
	// busy is the expected load, in seconds. All entries act on it at once
	// and it is old, so that alone it lets a target get half as much again.
	busy float64
	// sent is this entry's own work of the last while, in tokens. It is exact
	// and needs no word from anyone: if every entry keeps its own part within
	// the bound of its mean, so is the sum of all entries.
	sent float64
}

// allow reports whether a target may get a cost more of this entry's work. The
// first request of a quiet entry is always allowed.
func (b bounds) allow(s *state, cost float64, at int64) bool {
	return decayed(s.sent, s.sentAt, at)+cost <= max(b.sent, cost)
}

// sweep looks at every member when no candidate may be used: first those in
// the entry's subset. As a last resort it gives an ejected target a try, but
// never with a request that may not be repeated, whose outcome would then
// likely be unknown where a refusal is harmless.
func (t *Table) sweep(p *pool, q *Query, rng *rand.Rand) (int, bool) {
	for _, from := range [...][]uint16{p.near, p.members} {
		if i := t.first(from, q, rng, false); i != none {
			return i, true
		}
	}
	if !q.MayNotRepeat {
		if i := t.first(p.members, q, rng, true); i != none {
			return i, true
		}
	}
	// A half-open target has sat its ejection out. Where all traffic may not
	// be repeated, nothing else would ever bring it back, and requests that
	// may go nowhere else would be refused for ever.
	if i := t.halfOpen(q); i != none {
		return i, true
	}
	return 0, false
}

func (t *Table) first(from []uint16, q *Query, rng *rand.Rand, ejected bool) int {
	if len(from) == 0 {
		return none
	}
	k := rng.IntN(len(from))
	for range from {
		i := int(from[k])
		if t.usable(i, q) && (ejected || t.states[i].share > 0) {
			return i
		}
		k = (k + 1) % len(from)
	}
	return none
}

// SetAvoided keeps requests away from target i while others can take them. The
// slowest rank of a lock-step group sets the time of each step for all, so that
// a rank that is slow should have as little to do as possible.
func (t *Table) SetAvoided(i int, avoided bool) { t.states[i].avoided = avoided }

// SetPaused keeps all requests away from target i, even if no other may take them: it has asked
// for that.
func (t *Table) SetPaused(i int, held bool) { t.states[i].held = held }

// usable reports whether target i takes new work at all.
func (t *Table) usable(i int, q *Query) bool {
	s := &t.states[i]
	return !s.draining && !s.leaving && !s.held && !t.targets[i].Drained && !q.Exclude.Has(i)
}

// admitted thins out the choice of a target in slow start.
func (t *Table) admitted(i int, rng *rand.Rand) bool {
	share := t.states[i].share
	return share >= 1 || share > 0 && rng.Float64() < share
}

// probe returns a half-open target that waits for a single request which this
// one may be, or none. All targets are served, also those outside the subset:
// nothing else would bring them back.
func (t *Table) probe(q *Query) int {
	if q.Urgent || q.MayNotRepeat {
		return none
	}
	return t.halfOpen(q)
}

// halfOpen returns a half-open target that waits for a request and may take
// this one, or none.
func (t *Table) halfOpen(q *Query) int {
	for _, m := range t.probing {
		if i := int(m); t.usable(i, q) && serves(&t.targets[i], q) {
			return i
		}
	}
	return none
}

// serves reports whether a target may serve a query.
func serves(g *Target, q *Query) bool {
	return g.Model == q.Model && g.Service == q.Service &&
		(q.Group == "" || q.Group == g.Group) &&
		(q.Version == "" || q.Version == g.Version) &&
		(q.Adapter == "" || slices.Contains(g.Adapters, q.Adapter)) &&
		slices.Contains(rolesOf(g.Role), q.Role)
}

// expect returns the expected time to the first token at target i, and the
// time to finish all work known, in seconds.
//
// A load says less the older it is: others have sent work since, and work has
// been done. It gives way to the mean of all targets in the time constant
// Memory. Without that all entries would take the least of old loads for idle
// and send everything there until the next report.
func (t *Table) expect(i int, at int64) (wait, busy float64) {
	s := &t.states[i]
	c := &t.crowds[s.crowd]
	known := float64(max(c.known, 1))
	meanQueued, meanBusy := c.queued/known, c.busy/known
	fresh := 0.0
	if s.known {
		fresh = math.Exp(-float64(at-s.at) / float64(t.opt.LoadDecay))
	}
	queued := meanQueued + (s.queued-meanQueued)*fresh + s.own
	busy = max(0, meanBusy+(s.busy-meanBusy)*fresh)
	wait = queued/t.rateOf(s) + busyWeight*busy + s.distance
	if g := t.groups[s.group]; at < g.until {
		wait += g.seconds
	}
	return wait, busy
}

// ExpectedWait returns the expected time to the first token of a new request at
// target i; admission compares it with the deadline.
func (t *Table) ExpectedWait(i int, now time.Time) time.Duration {
	wait, _ := t.expect(i, t.nanos(now))
	return time.Duration(wait * float64(time.Second))
}
