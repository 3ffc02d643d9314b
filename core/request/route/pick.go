package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// busyWeight is the weight of the load in the batch relative to the wait in the queue: a
	// fuller batch lengthens the steps, and it decides when no target has a queue.
	busyWeight = 0.1
	// affinityTries is how many targets a prefix selects, in order. A prefix shared by a tenth
	// of all requests fills several.
	affinityTries = 8
	noTarget      = -1
)

// Pick chooses the target of a request. It reports false if no target may take the request
// now, which then has not run.
func (t *Table) Pick(q *Query, now time.Time, rng *rand.Rand) (int, bool) {
	p := t.pools[poolKey{q.Model, q.Service, q.Group, q.Version, q.Adapter, q.Role}]
	if p == nil {
		return 0, false
	}
	if i := t.probeTarget(q); i != noTarget {
		return i, true
	}
	at := t.nanos(now)
	if i := t.freeTarget(p, q, at, rng); i != noTarget {
		return i, true
	}
	best := choice{noTarget, math.Inf(1)}
	best = t.sample(p.near, p.choices, q, at, rng, best)
	// One candidate in another region lets requests overflow from a region that is full or
	// down; otherwise its penalty keeps it from being chosen.
	best = t.sample(p.far, 1, q, at, rng, best)
	if i := t.affinityTarget(p, q, at, best.seconds); i != noTarget {
		return i, true
	}
	if best.target != noTarget {
		return best.target, true
	}
	return t.pickAny(p, q, rng)
}

// choice is a candidate and its expected time to the first token.
type choice struct {
	target  int
	seconds float64
}

// sample returns the best of n random members and the best choice so far.
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

// next returns the candidate after k: another random one, or the next in order if all are
// considered.
func next(k, n, members int, rng *rand.Rand) int {
	if n >= members {
		return (k + 1) % members
	}
	return (k + 1 + rng.IntN(members-1)) % members
}

// affinityTarget returns a target that the prefix selects, or noTarget. The target must be
// within the bounds, and not slower than the best choice by more than a cached prefix saves.
func (t *Table) affinityTarget(p *pool, q *Query, at int64, best float64) int {
	if q.Prefix == 0 {
		return noTarget
	}
	c := &t.aggregates[p.aggregate]
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
	return noTarget
}

// bounds are the limits on two loads of a target within which affinity applies. Otherwise one
// popular prefix would overload its target while others are idle.
type bounds struct {
	// busy is the expected load, in seconds. All entries act on it at the same time and it is
	// old, so that by itself it allows a target half as much load again.
	busy float64
	// sent is this entry's own recent work, in tokens. It is exact and needs no communication:
	// if every entry keeps its own part within the bound of its mean, so is the sum of all
	// entries.
	sent float64
}

// allow reports whether a target may get a further cost of this entry's work. The first
// request of an idle entry is always allowed.
func (b bounds) allow(s *state, cost float64, at int64) bool {
	return decayed(s.sent, s.sentAt, at)+cost <= max(b.sent, cost)
}

// pickAny considers every member when no candidate may be used, those of the entry's subset
// first. As a last resort it chooses an ejected target, but never for a request that may not
// be repeated: its outcome would probably be unknown, where a refusal is harmless.
func (t *Table) pickAny(p *pool, q *Query, rng *rand.Rand) (int, bool) {
	for _, from := range [...][]uint16{p.near, p.members} {
		if i := t.firstUsable(from, q, rng, false); i != noTarget {
			return i, true
		}
	}
	if !q.MayNotRepeat {
		if i := t.firstUsable(p.members, q, rng, true); i != noTarget {
			return i, true
		}
	}
	// A half-open target has completed its ejection time. Where no request may be repeated, no
	// other request would ever bring it back, and requests that can go nowhere else would be
	// refused for ever.
	if i := t.halfOpen(q); i != noTarget {
		return i, true
	}
	return 0, false
}

func (t *Table) firstUsable(from []uint16, q *Query, rng *rand.Rand, ejected bool) int {
	if len(from) == 0 {
		return noTarget
	}
	k := rng.IntN(len(from))
	for range from {
		i := int(from[k])
		if t.usable(i, q) && (ejected || t.states[i].share > 0) {
			return i
		}
		k = (k + 1) % len(from)
	}
	return noTarget
}

// SetAvoided keeps requests away from target i while others can take them. The slowest rank of
// a lock-step group determines the time of each step for all ranks, so that a slow rank should
// have as little to do as possible.
func (t *Table) SetAvoided(i int, avoided bool) { t.states[i].avoided = avoided }

// SetPaused keeps all requests away from target i, even if no other can take them, because the
// target has asked for a pause.
func (t *Table) SetPaused(i int, paused bool) { t.states[i].paused = paused }

// Open reports whether target i may get new requests, apart from pauses and preferences.
func (t *Table) Open(i int) bool {
	s := &t.states[i]
	return !s.draining && !s.leaving && s.share > 0 && !t.targets[i].Drained
}

// usable reports whether target i accepts new work at all.
func (t *Table) usable(i int, q *Query) bool {
	s := &t.states[i]
	return !s.draining && !s.leaving && !s.paused && !t.targets[i].Drained && !q.Exclude.Has(i) && q.Zones.Allow(t.targets[i].Zone)
}

// admitted reports whether target i may be chosen, at random in proportion to its share: in
// slow start a target gets only part of its normal work.
func (t *Table) admitted(i int, rng *rand.Rand) bool {
	share := t.states[i].share
	return share >= 1 || share > 0 && rng.Float64() < share
}

// probeTarget returns a half-open target that waits for a single request, if the query may be
// that request, or noTarget. It considers all targets, also those outside the subset: nothing
// else would bring them back.
func (t *Table) probeTarget(q *Query) int {
	if q.Urgent || q.MayNotRepeat {
		return noTarget
	}
	return t.halfOpen(q)
}

// halfOpen returns a half-open target that waits for a request and can serve this one, or
// noTarget.
func (t *Table) halfOpen(q *Query) int {
	for _, m := range t.probing {
		if i := int(m); t.usable(i, q) && serves(&t.targets[i], q) {
			return i
		}
	}
	return noTarget
}

// serves reports whether a target may serve a query.
func serves(g *Target, q *Query) bool {
	return g.Model == q.Model && g.Service == q.Service &&
		(q.Group == "" || q.Group == g.Group) &&
		(q.Version == "" || q.Version == g.Version) &&
		(q.Adapter == "" || slices.Contains(g.Adapters, q.Adapter)) &&
		slices.Contains(rolesOf(g.Role), q.Role)
}

// expect returns the expected time to the first token at target i, and the time to finish all
// its known work, in seconds.
//
// A load says less the older it is: other entries have sent work since, and work has been
// completed. It approaches the mean of all targets with the time constant LoadDecay. Otherwise
// all entries would take the lowest of old loads for an idle target and send everything there
// until the next report.
func (t *Table) expect(i int, at int64) (wait, busy float64) {
	s := &t.states[i]
	c := &t.aggregates[s.aggregate]
	known := float64(max(c.known, 1))
	meanQueued, meanBusy := c.queued/known, c.busy/known
	fresh := 0.0
	if s.known {
		fresh = math.Exp(-float64(at-s.at) / float64(t.opt.LoadDecay))
	}
	queued := meanQueued + (s.queued-meanQueued)*fresh + s.ownWork
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
