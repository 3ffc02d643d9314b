package permit

import (
	"maps"
	"slices"
	"strings"
	"time"

	"verbenashift/core/configuration/kv"
)

// Change is a change of the store that a Tracker requests.
type Change struct {
	kv.Txn
	// Target is the target of the permit, Kind the type of the change.
	Target string
	Kind   Kind
	record Record
}

// Kind is the type of a Change.
type Kind int

// The kinds of changes.
const (
	// Claim takes a free permit.
	Claim Kind = iota
	// Release gives up a permit.
	Release
	// Clear informs the other senders that a target no longer sets a limit.
	Clear
	// Reclaim claims again what the store has lost of this sender's permits.
	Reclaim
	// Settle informs the other senders that permits of a restored store may be claimed.
	Settle
)

// String returns the name for log lines.
func (k Kind) String() string { return [...]string{"claim", "release", "lift", "reclaim", "settle"}[k] }

// NeedsLease reports whether this sender holds permits, or may claim some.
func (tr *Tracker) NeedsLease(now time.Time) bool {
	if tr.hasRetained(now) {
		return true
	}
	for _, t := range tr.targets {
		if tr.wants(t, 0, now) && len(tr.free(t)) > 0 {
			return true
		}
		for _, p := range t.permits {
			if p.Holder == tr.holder && p.Lease == tr.lease {
				return true
			}
		}
	}
	return false
}

// demands reports whether there are recent requests for the service of a target.
func (tr *Tracker) demands(t *target, now time.Time) bool {
	at, ok := tr.lastDemand[t.service]
	return ok && now.Sub(at) < demandWindow
}

// NextChange returns the most urgent change of the store, and whether there is one. Without a
// lease there is none.
func (tr *Tracker) NextChange(now time.Time) (Change, bool) {
	if tr.lease == 0 || now.Before(tr.nextChange) || !now.Before(tr.leaseEnds) {
		return Change{}, false
	}
	names := slices.Sorted(maps.Keys(tr.targets))
	for _, id := range names {
		if c, ok := tr.releaseUnneeded(tr.targets[id], now); ok {
			return c, true
		}
	}
	if c, ok := tr.reclaim(now); ok {
		return c, true
	}
	if !tr.settled() {
		return tr.settle(now)
	}
	return tr.claim(names, now)
}

// releaseUnneeded returns the change for a permit of this sender that it does not need: of a
// target that no longer sets a limit, of an earlier start of the target, beyond the number of
// permits of a lower limit, or unused.
func (tr *Tracker) releaseUnneeded(t *target, now time.Time) (Change, bool) {
	for _, i := range slices.Sorted(maps.Keys(t.permits)) {
		p := t.permits[i]
		if p.Holder != tr.holder || p.Lease != tr.lease {
			continue
		}
		if t.clearPending && p.StartedAt == t.startedAt {
			r := p.Record
			r.Cleared = true
			return change(Clear, r, p.revision), true
		}
		retained := p.Cleared && now.Sub(t.clearedAt) < clearedRetention
		idle := t.limited && now.Sub(t.lastSent) > idleTimeout+spacing(t.limit, 1)
		if !retained && (!t.limited || p.StartedAt != t.startedAt || p.Cleared || p.Index >= Count(t.limit) || idle) {
			if idle {
				t.claimAt = now.Add(idleTimeout)
			}
			return change(Release, p.Record, p.revision), true
		}
	}
	return Change{}, false
}

// change returns the change of a permit with a given revision; 0 if it must not exist.
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

// claim returns the change that claims a permit of one of the targets of which this sender
// holds the fewest. names are those of all targets.
func (tr *Tracker) claim(names []string, now time.Time) (Change, bool) {
	if len(names) == 0 {
		return Change{}, false
	}
	id, least := "", maxPermits+1
	// Senders that started with the same target would claim the same permits.
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
	t.claimAt = now.Add(time.Duration(least+1) * claimDelay)
	return change(Claim, Record{
		Target: id, Service: t.service, StartedAt: t.startedAt, Limit: t.limit,
		Index: index, Holder: tr.holder, Lease: tr.lease,
	}, t.permits[index].revision), true
}

// wants reports whether this sender, which holds n permits of a target, needs a further one.
func (tr *Tracker) wants(t *target, n int, now time.Time) bool {
	return t.limited && !now.Before(t.claimAt) && tr.demands(t, now) && (n == 0 || t.missed)
}

// free returns the permits of a target that may be claimed, as far as is known: those without
// a holder, those of this instance under expired leases, and those under leases of an earlier era,
// which were not claimed again in time.
func (tr *Tracker) free(t *target) []int {
	var free []int
	for i := range Count(t.limit) {
		p, taken := t.permits[i]
		former := p.Lease != tr.lease && strings.HasPrefix(p.Holder, tr.instance+separator)
		void := kv.Era(p.Lease) < tr.era
		if !taken || former || void {
			free = append(free, i)
		}
	}
	return free
}

// Complete processes the result of a change: the revision at which the store has applied it,
// or that it failed or its result is unknown.
func (tr *Tracker) Complete(c Change, revision int64, applied bool, now time.Time) {
	if !applied {
		tr.pause = min(2*tr.pause, maxClaimPause)
		tr.nextChange = now.Add(tr.pause/2 + time.Duration(tr.rng.Int64N(int64(tr.pause))))
		return
	}
	tr.pause = claimPause
	tr.nextChange = now.Add(claimPause)
	t := tr.targets[c.Target]
	switch {
	case c.Kind == Settle:
		tr.settledEra, tr.settledRevision = tr.era, revision
		return
	case c.Kind == Release:
		tr.remove(c.record.Key(), revision)
		if t != nil {
			tr.dropIfUnused(c.Target)
		}
		return
	case c.Kind == Clear && t != nil:
		t.clearPending = false
	}
	tr.put(c.record, revision, now)
}
