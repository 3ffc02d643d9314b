package permit

import (
	"maps"
	"slices"
	"strings"
	"time"

	"verbenashift/core/configuration/kv"
)

// Change is a change of the store that a Tracker wants.
type Change struct {
	kv.Txn
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
	// Clear tells the others that a target names no limit any more.
	Clear
)

// String returns the name that log lines have.
func (k Kind) String() string { return [...]string{"claim", "release", "lift"}[k] }

// NeedsLease reports whether this sender holds permits, or may claim some.
func (tr *Tracker) NeedsLease(now time.Time) bool {
	for _, t := range tr.targets {
		if tr.wants(t, 0, now) && len(tr.free(t)) > 0 {
			return true
		}
		for _, p := range t.permits {
			if p.Holder == tr.self && p.Lease == tr.lease {
				return true
			}
		}
	}
	return false
}

// demands reports whether there are requests for a target.
func (tr *Tracker) demands(t *target, now time.Time) bool {
	at, ok := tr.demanded[t.service]
	return ok && now.Sub(at) < demandFor
}

// NextChange returns the change of the store that is wanted most, and whether there is one. Without
// a lease there is none.
func (tr *Tracker) NextChange(now time.Time) (Change, bool) {
	if tr.lease == 0 || now.Before(tr.nextChange) || !now.Before(tr.leaseEnds) {
		return Change{}, false
	}
	names := slices.Sorted(maps.Keys(tr.targets))
	for _, id := range names {
		if c, ok := tr.giveBack(tr.targets[id], now); ok {
			return c, true
		}
	}
	return tr.claim(names, now)
}

// giveBack returns the change for a permit of this sender that it has no use for: of a target
// that names no limit any more, of an earlier start, beyond the number of a lower limit, or
// one that was not used.
func (tr *Tracker) giveBack(t *target, now time.Time) (Change, bool) {
	for _, i := range slices.Sorted(maps.Keys(t.permits)) {
		p := t.permits[i]
		if p.Holder != tr.self || p.Lease != tr.lease {
			continue
		}
		if t.untold && p.StartedAt == t.born {
			r := p.Record
			r.Cleared = true
			return change(Clear, r, p.revision), true
		}
		stands := p.Cleared && now.Sub(t.liftedAt) < liftedFor
		idle := t.limited && now.Sub(t.last) > idleFor+spacing(t.limit, 1)
		if !stands && (!t.limited || p.StartedAt != t.born || p.Cleared || p.Index >= Count(t.limit) || idle) {
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
	c.Conditions = []kv.Condition{{Key: r.Key(), Revision: revision}}
	if k == Release {
		c.Deletes = []string{r.Key()}
		return c
	}
	c.Puts = []kv.Write{{Key: r.Key(), Value: r.bytes(), Lease: r.Lease}}
	return c
}

// claim returns the change that takes a permit of one of the targets of which this sender
// holds the fewest. Names are those of all targets.
func (tr *Tracker) claim(names []string, now time.Time) (Change, bool) {
	if len(names) == 0 {
		return Change{}, false
	}
	id, least := "", maxPermits+1
	// Senders that begin with the same target would claim the same permits.
	for k, first := 0, tr.rng.IntN(len(names)); k < len(names); k++ {
		name := names[(first+k)%len(names)]
		t := tr.targets[name]
		if n := tr.count(t, now); n < least && tr.wants(t, n, now) && len(tr.free(t)) > 0 {
			id, least = name, n
		}
	}
	if id == "" {
		return Change{}, false
	}
	t := tr.targets[id]
	free := tr.free(t)
	index := free[tr.rng.IntN(len(free))]
	t.missed = false
	t.claimAt = now.Add(time.Duration(least+1) * moreAfter)
	return change(Claim, Record{
		Target: id, Service: t.service, StartedAt: t.born, Limit: t.limit,
		Index: index, Holder: tr.self, Lease: tr.lease,
	}, t.permits[index].revision), true
}

// wants reports whether this sender, which holds n permits of a target, wants a further one.
func (tr *Tracker) wants(t *target, n int, now time.Time) bool {
	return t.limited && !now.Before(t.claimAt) && tr.demands(t, now) && (n == 0 || t.missed)
}

// free returns the permits of a target that may be claimed, as far as is known: those that
// nobody holds, and those of this instance under leases that are over.
func (tr *Tracker) free(t *target) []int {
	var free []int
	for i := range Count(t.limit) {
		p, taken := t.permits[i]
		former := p.Lease != tr.lease && strings.HasPrefix(p.Holder, tr.instance+separator)
		if !taken || former {
			free = append(free, i)
		}
	}
	return free
}

// Complete takes what became of a change: the revision at which the store has made it, or that
// this is not known or has failed.
func (tr *Tracker) Complete(c Change, revision int64, made bool, now time.Time) {
	if !made {
		tr.pause = min(2*tr.pause, maxClaimPause)
		tr.nextChange = now.Add(tr.pause/2 + time.Duration(tr.rng.Int64N(int64(tr.pause))))
		return
	}
	tr.pause = claimPause
	tr.nextChange = now.Add(claimPause)
	t := tr.targets[c.Target]
	switch {
	case c.Kind == Release:
		tr.remove(c.record.Key(), revision)
		if t != nil {
			tr.tidy(c.Target)
		}
		return
	case c.Kind == Clear && t != nil:
		t.untold = false
	}
	tr.put(c.record, revision, now)
}
