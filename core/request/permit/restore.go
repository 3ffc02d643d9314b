package permit

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"verbenashift/core/configuration/kv"
)

// settledKey holds the newest era of the store in which permits may be claimed.
const settledKey = Prefix + "settled"

// restore is what a Tracker knows of restores of the store from an older copy, which may have lost
// claims. Like a lock service in its grace period, the senders only claim again what they held until
// all leases from before have ended.
type restore struct {
	// era is that of the store, entered at enteredAt.
	era       int64
	enteredAt time.Time
	// settledEra is the newest era in which permits may be claimed, as stored at settledRevision.
	settledEra, settledRevision int64
	// settleAt is when this sender settles the era, unless another one has before; zero while it
	// may not.
	settleAt time.Time
	// leaseTime is the longest time for which a lease was valid when it was set.
	leaseTime time.Duration
	// retained are the permits that this sender held before a restore, by key.
	retained map[string]retainedPermit
}

// retainedPermit is a permit that is valid until the lease under which it was claimed would have
// ended.
type retainedPermit struct {
	Record
	until time.Time
}

const (
	// settleMargin is the part of a lease's time by which senders wait longer than it is valid.
	settleMargin = 10
	// settleSpread spreads the writes of senders that may settle an era at the same time.
	settleSpread = 3 * time.Second
)

// Restored processes that the store has come back from an older copy, in a new era. The permits that
// this sender holds remain valid for the rest of their lease, and are claimed again.
func (tr *Tracker) Restored(era int64, now time.Time) {
	if era <= tr.era && (tr.lease == 0 || kv.Era(tr.lease) == era) {
		return
	}
	if tr.lease != 0 && now.Before(tr.leaseEnds) {
		tr.retain()
	}
	tr.lease, tr.leaseEnds = 0, time.Time{}
	tr.enter(era, now)
}

// retain records the valid permits.
func (tr *Tracker) retain() {
	for _, t := range tr.targets {
		for _, p := range t.permits {
			if !tr.valid(t, p) {
				continue
			}
			if tr.retained == nil {
				tr.retained = map[string]retainedPermit{}
			}
			tr.retained[p.Key()] = retainedPermit{p.Record, tr.leaseEnds}
		}
	}
}

// enter records the era of the store.
func (tr *Tracker) enter(era int64, now time.Time) {
	if era > tr.era {
		tr.era, tr.enteredAt, tr.settleAt = era, now, time.Time{}
	}
}

// settled reports whether permits may be claimed: the store was never restored, or no sender still
// uses permits that the store may have lost.
func (tr *Tracker) settled() bool { return tr.settledEra >= tr.era }

// settle returns the change by which the other senders learn that permits may be claimed. This sender
// has noticed the restore long enough ago.
func (tr *Tracker) settle(now time.Time) (Change, bool) {
	switch {
	case now.Sub(tr.enteredAt) < tr.leaseTime+tr.leaseTime/settleMargin:
		return Change{}, false
	case tr.settleAt.IsZero():
		tr.settleAt = now.Add(time.Duration(tr.rng.Int64N(int64(settleSpread))))
	}
	if now.Before(tr.settleAt) {
		return Change{}, false
	}
	value, err := json.Marshal(settledRecord{tr.era})
	if err != nil {
		panic(err) // A number can always be encoded.
	}
	c := Change{Kind: Settle}
	c.Conditions = []kv.Condition{{Key: settledKey, Revision: tr.settledRevision}}
	c.Puts = []kv.Write{{Key: settledKey, Value: value}}
	return c, true
}

// settledRecord is the stored form of an era in which permits may be claimed.
type settledRecord struct {
	Era int64 `json:"era"`
}

// applySettled processes the item of settledKey.
func (tr *Tracker) applySettled(it kv.Item) {
	if it.Revision < tr.settledRevision {
		return
	}
	tr.settledEra, tr.settledRevision = 0, 0
	if it.Deleted {
		return
	}
	tr.settledRevision = it.Revision
	var r settledRecord
	if err := json.Unmarshal(it.Value, &r); err == nil {
		// Nobody can know that a later era than the store's is settled.
		tr.settledEra = min(r.Era, kv.Era(it.Revision))
	}
}

// hasRetained reports whether there are permits to be claimed again.
func (tr *Tracker) hasRetained(now time.Time) bool {
	for key := range tr.retained {
		if tr.retains(key, now) {
			return true
		}
	}
	return false
}

// retains reports whether a permit is retained and valid.
func (tr *Tracker) retains(key string, now time.Time) bool {
	r, ok := tr.retained[key]
	return ok && now.Before(r.until)
}

// countRetained returns how many retained permits of a target are valid.
func (tr *Tracker) countRetained(t *target, now time.Time) int {
	n := 0
	for _, r := range tr.retained {
		if tr.targets[r.Target] == t && now.Before(r.until) && r.StartedAt == t.startedAt && r.Index < Count(t.limit) {
			n++
		}
	}
	return n
}

// reclaim returns the change that claims a retained permit again.
func (tr *Tracker) reclaim(now time.Time) (Change, bool) {
	for _, key := range slices.Sorted(maps.Keys(tr.retained)) {
		r, t := tr.retained[key], tr.targets[tr.retained[key].Target]
		if t == nil || !t.limited || r.StartedAt != t.startedAt || r.Index >= Count(t.limit) || !tr.retains(key, now) {
			delete(tr.retained, key)
			continue
		}
		p := t.permits[r.Index]
		if tr.valid(t, p) || p.Lease != 0 && kv.Era(p.Lease) == tr.era && p.Holder != tr.holder {
			delete(tr.retained, key) // It is claimed again, or another sender has it.
			continue
		}
		r.Lease, r.Limit = tr.lease, t.limit
		return change(Reclaim, r.Record, p.revision), true
	}
	return Change{}, false
}
