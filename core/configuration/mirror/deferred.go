package mirror

import (
	"maps"
	"slices"
	"strings"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/rankpeer"
)

// deferredItem is an item that applies at a time unless its key is written before.
type deferredItem struct {
	kv.Item
	at time.Time
}

// deferItem defers an item of a restored store that may be older than what was known before the
// restore, and reports whether it did.
func (m *Mirror) deferItem(it kv.Item, now time.Time) bool {
	switch {
	case strings.HasPrefix(it.Key, rankpeer.ClaimPrefix):
		return m.deferClaim(it, now)
	case strings.HasPrefix(it.Key, m.formats.TargetPrefix):
		return m.deferTarget(it, now)
	}
	return false
}

// deferClaim defers another claim than the known one: the coordinator claims its group again.
func (m *Mirror) deferClaim(it kv.Item, now time.Time) bool {
	known, ok := m.claims[strings.TrimPrefix(it.Key, rankpeer.ClaimPrefix)]
	claim, err := rankpeer.ParseClaim(it.Key, it.Value)
	if !ok || err != nil || claim == known {
		return false
	}
	m.postpone(it, rewriteGrace, now)
	return true
}

func (m *Mirror) deferTarget(it kv.Item, now time.Time) bool {
	t, err := m.formats.Target(it)
	if err != nil {
		return false
	}
	old, known := m.targets[t.ID]
	switch {
	case known && !newer(&t, &old):
		m.postpone(it, rewriteGrace, now)
		return true
	case !known && m.removed.has(it.Key, t.StartedAt):
		m.postpone(it, removalGrace, now)
		return true
	}
	return false
}

// newer reports whether a target's entry is certainly not older than the known one.
func newer(t, known *deployment.Target) bool {
	switch {
	case t.StartedAt != known.StartedAt:
		return t.StartedAt > known.StartedAt
	case t.Draining != known.Draining:
		return t.Draining
	case t.Group.Epoch != known.Group.Epoch:
		return t.Group.Epoch > known.Group.Epoch
	}
	same := *known
	same.CreateRevision = t.CreateRevision
	return *t == same
}

// postpone defers an item. One that is deferred already does not wait longer for another read.
func (m *Mirror) postpone(it kv.Item, grace time.Duration, now time.Time) {
	at := now.Add(grace)
	id, isTarget := strings.CutPrefix(it.Key, m.formats.TargetPrefix)
	d, waiting := m.deferred[it.Key]
	switch {
	case waiting && kv.Era(d.Revision) == kv.Era(it.Revision):
		at = d.at
	case it.Deleted && isTarget:
		m.log.Info("target missing after an outage of the store", "target", id, "revision", it.Revision)
	default:
		m.log.Info("store may have lost a newer state", "key", it.Key, "revision", it.Revision, "missing", it.Deleted, "grace-ms", grace.Milliseconds())
	}
	m.deferred[it.Key] = deferredItem{it, at}
}

// NextExpiry returns the time until the next deferred item applies, and false if there is none.
func (m *Mirror) NextExpiry(now time.Time) (time.Duration, bool) {
	first := time.Time{}
	for _, d := range m.deferred {
		if first.IsZero() || d.at.Before(first) {
			first = d.at
		}
	}
	return max(first.Sub(now), 0), !first.IsZero()
}

// ApplyDeferred applies the items whose keys were not written again in time, such as the removal of
// targets that have not registered again after an outage. It reports whether the snapshot has
// changed.
func (m *Mirror) ApplyDeferred(now time.Time) bool {
	changed := false
	for _, key := range slices.Sorted(maps.Keys(m.deferred)) {
		if d := m.deferred[key]; !now.Before(d.at) {
			m.log.Info("key was not written again", "key", key, "missing", d.Deleted)
			changed = m.applyOne(d.Item) || changed
		}
	}
	return changed
}

// removedTargets are the starts of targets that were removed, by the keys of their entries. Its zero
// value holds none.
type removedTargets struct {
	startedAt map[string]int64
	// order lists the keys, oldest first.
	order []string
}

func (r *removedTargets) add(key string, startedAt int64) {
	r.forget(key)
	if r.startedAt == nil {
		r.startedAt = map[string]int64{}
	}
	if len(r.order) >= maxRemoved {
		delete(r.startedAt, r.order[0])
		r.order = r.order[1:]
	}
	r.startedAt[key] = startedAt
	r.order = append(r.order, key)
}

// forget drops a target that has registered again.
func (r *removedTargets) forget(key string) {
	if _, ok := r.startedAt[key]; !ok {
		return
	}
	delete(r.startedAt, key)
	r.order = slices.DeleteFunc(r.order, func(k string) bool { return k == key })
}

// has reports whether a start of a target was removed.
func (r *removedTargets) has(key string, startedAt int64) bool {
	at, ok := r.startedAt[key]
	return ok && at == startedAt
}
