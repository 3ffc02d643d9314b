package permit

import (
	"maps"
	"slices"
	"strings"
	"time"

	"verbenashift/core/configuration/kv"
)

// Change is a change of the store that a Book wants.
type Change struct {
	kv.Change
	// Target is the target whose permit it is about, Kind what becomes of it.
	Target string
	Kind   Kind
	record Record
}

// Kind says what a Change does.
type Kind int

// The kinds of changes.
const (
	// Claim takes a permit that nobody has.
	Claim Kind = iota
	// Release gives one back.
	Release
	// Lift tells the others that a target names no limit any more.
	Lift
)

// String returns the name that log lines have.
func (k Kind) String() string { return [...]string{"claim", "release", "lift"}[k] }

// NeedsLease reports whether this sender holds permits, or may claim some.
func (b *Book) NeedsLease(now time.Time) bool {
	for _, t := range b.targets {
		if b.wants(t, 0, now) && len(b.free(t)) > 0 {
			return true
		}
		for _, p := range t.permits {
			if p.Holder == b.self && p.Lease == b.lease {
				return true
			}
		}
	}
	return false
}

// demands reports whether there are requests for a target.
func (b *Book) demands(t *target, now time.Time) bool {
	at, ok := b.demanded[t.service]
	return ok && now.Sub(at) < demandFor
}

// Next returns the change of the store that is wanted most, and whether there is one. Without
// a lease there is none.
func (b *Book) Next(now time.Time) (Change, bool) {
	if b.lease == 0 || now.Before(b.nextChange) || !now.Before(b.leaseEnds) {
		return Change{}, false
	}
	names := slices.Sorted(maps.Keys(b.targets))
	for _, id := range names {
		if c, ok := b.giveBack(b.targets[id], now); ok {
			return c, true
		}
	}
	return b.claim(names, now)
}

// giveBack returns the change for a permit of this sender that it has no use for: of a target
// that names no limit any more, of an earlier start, beyond the number of a lower limit, or
// one that was not used.
func (b *Book) giveBack(t *target, now time.Time) (Change, bool) {
	for _, i := range slices.Sorted(maps.Keys(t.permits)) {
		p := t.permits[i]
		if p.Holder != b.self || p.Lease != b.lease {
			continue
		}
		if t.untold && p.Born == t.born {
			r := p.Record
			r.Lifted = true
			return change(Lift, r, p.revision), true
		}
		stands := p.Lifted && now.Sub(t.liftedAt) < liftedFor
		idle := t.limited && now.Sub(t.last) > idleFor+spacing(t.limit, 1)
		if !stands && (!t.limited || p.Born != t.born || p.Lifted || p.Index >= Count(t.limit) || idle) {
			if idle {
				t.claimAt = now.Add(idleFor)
			}
			return change(Release, p.Record, p.revision), true
		}
	}
	return Change{}, false
}

// change returns the change of a permit that has a revision; 0 if it must not be there.
func change(k Kind, r Record, revision int64) Change {
	c := Change{Target: r.Target, Kind: k, record: r}
	c.Expect = []kv.Condition{{Key: r.Key(), Revision: revision}}
	if k == Release {
		c.Deletes = []string{r.Key()}
		return c
	}
	c.Puts = []kv.Write{{Key: r.Key(), Value: r.bytes(), Lease: r.Lease}}
	return c
}

// claim returns the change that takes a permit of one of the targets of which this sender
// holds the fewest. Names are those of all targets.
func (b *Book) claim(names []string, now time.Time) (Change, bool) {
	if len(names) == 0 {
		return Change{}, false
	}
	id, least := "", maxPermits+1
	// Senders that begin with the same target would claim the same permits.
	for k, first := 0, b.rng.IntN(len(names)); k < len(names); k++ {
		name := names[(first+k)%len(names)]
		t := b.targets[name]
		if n := b.count(t, now); n < least && b.wants(t, n, now) && len(b.free(t)) > 0 {
			id, least = name, n
		}
	}
	if id == "" {
		return Change{}, false
	}
	t := b.targets[id]
	free := b.free(t)
	index := free[b.rng.IntN(len(free))]
	t.missed = false
	t.claimAt = now.Add(time.Duration(least+1) * moreAfter)
	return change(Claim, Record{
		Target: id, Service: t.service, Born: t.born, Limit: t.limit,
		Index: index, Holder: b.self, Lease: b.lease,
	}, t.permits[index].revision), true
}

// wants reports whether this sender, which holds n permits of a target, wants a further one.
func (b *Book) wants(t *target, n int, now time.Time) bool {
	return t.limited && !now.Before(t.claimAt) && b.demands(t, now) && (n == 0 || t.missed)
}

// free returns the permits of a target that may be claimed, as far as is known: those that
// nobody holds, and those of this instance under leases that are over.
func (b *Book) free(t *target) []int {
	var free []int
	for i := range Count(t.limit) {
		p, taken := t.permits[i]
		former := p.Lease != b.lease && strings.HasPrefix(p.Holder, b.instance+separator)
		if !taken || former {
			free = append(free, i)
		}
	}
	return free
}

// Done takes what became of a change: the revision at which the store has made it, or that
// this is not known or has failed.
func (b *Book) Done(c Change, revision int64, made bool, now time.Time) {
	if !made {
		b.pause = min(2*b.pause, maxClaimPause)
		b.nextChange = now.Add(b.pause/2 + time.Duration(b.rng.Int64N(int64(b.pause))))
		return
	}
	b.pause = claimPause
	b.nextChange = now.Add(claimPause)
	t := b.targets[c.Target]
	switch {
	case c.Kind == Release:
		b.remove(c.record.Key())
		if t != nil {
			b.tidy(c.Target)
		}
		return
	case c.Kind == Lift && t != nil:
		t.untold = false
	}
	b.put(c.record, revision, now)
}
