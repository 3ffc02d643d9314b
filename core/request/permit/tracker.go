package permit

import (
	"math"
	"math/rand/v2"
	"time"

	"verbenashift/core/configuration/kv"
)

const (
	// demandWindow is how long a service counts as in demand after its last request: a sender
	// without requests claims nothing.
	demandWindow = 5 * time.Second
	// idleTimeout is how long unused permits are kept, and how long none of the target is
	// claimed after they were released.
	idleTimeout = 20 * time.Second
	// clearedRetention is how long the record that a target no longer sets a limit stays in
	// the store, and overrides older records.
	clearedRetention = 2 * time.Second
	// claimDelay is the wait before a further permit of a target is claimed, for each that is
	// held: senders without a permit come first.
	claimDelay = 500 * time.Millisecond
	// claimPause is the time between two changes of the store; after a failed one it doubles
	// up to maxClaimPause.
	claimPause    = 100 * time.Millisecond
	maxClaimPause = 4 * time.Second
	// maxTargets bounds the number of targets whose limits are remembered.
	maxTargets = 2048
)

// Tracker is the knowledge of one sender about the limits of targets and the holders of their
// permits. Use NewTracker to create one.
type Tracker struct {
	instance, holder string

	rng     *rand.Rand
	targets map[string]*target
	// byKey are the stored permits by their key.
	byKey map[string]permitRef
	// lastDemand is when each service was last requested.
	lastDemand map[string]time.Time
	lease      int64
	// leaseEnds is until when the permits under the lease are valid.
	leaseEnds time.Time
	restore
	// nextChange is the earliest time of the next change of the store, pause the time between
	// that and the one after it.
	nextChange time.Time
	pause      time.Duration
}

// target is the knowledge about one target. A target without a limit is kept while permits of
// it are stored.
type target struct {
	service   string
	startedAt int64
	// limited says that the target sets a limit, known since limitedSince; direct says that
	// this sender has it from a response of the target itself.
	limited      bool
	limit        float64
	limitedSince time.Time
	direct       bool
	// clearedAt is when the target was found to set no limit any more; clearPending says that
	// the other senders are still to be informed.
	clearedAt    time.Time
	clearPending bool
	permits      map[int]storedPermit
	// lastSent is when the last request was sent to it, or when this sender got its first
	// permit.
	lastSent time.Time
	// missed says that since the last claim a request could have been sent to it with more
	// permits.
	missed bool
	// claimAt is when the next permit may be claimed.
	claimAt time.Time
}

// permitRef is the target of a permit, and its index there.
type permitRef struct {
	target string
	index  int
}

// storedPermit is a permit in the store.
type storedPermit struct {
	Record
	revision int64
}

// NewTracker returns a Tracker for a sender, which is one start of an instance.
func NewTracker(instance, start string, rng *rand.Rand) *Tracker {
	return &Tracker{
		instance: instance, holder: instance + separator + start, rng: rng,
		targets: map[string]*target{}, byKey: map[string]permitRef{}, lastDemand: map[string]time.Time{}, pause: claimPause,
	}
}

// separator separates the instance and the start in the name of a holder.
const separator = "/"

// Response is what a response of a target says about its limit.
type Response struct {
	Target, Service string
	StartedAt       int64
	// Limit is in requests a second; nil if the response names none.
	Limit *float64
	// Sent is when the request was sent that the response answers.
	Sent time.Time
}

// Observe processes what a response says about the limit of its target. It reports whether the
// limit has changed.
func (tr *Tracker) Observe(a Response, now time.Time) bool {
	t := tr.targets[a.Target]
	if t != nil && a.StartedAt < t.startedAt {
		return false
	}
	if a.Limit == nil {
		// A response to a request that was sent before the limit was known may be older than
		// the limit.
		return t != nil && t.startedAt == a.StartedAt && a.Sent.After(t.limitedSince) && t.clearLimit(now)
	}
	if t == nil {
		if t = tr.add(a.Target, a.StartedAt); t == nil {
			return false
		}
	}
	t.restart(a.StartedAt)
	changed := t.limit != *a.Limit || !t.limited
	t.setLimit(a.Service, *a.Limit, now)
	t.direct, t.clearPending = true, false
	return changed
}

// setLimit sets the limit of the target.
func (t *target) setLimit(service string, limit float64, now time.Time) {
	if !t.limited {
		t.limitedSince = now
	}
	t.service, t.limited, t.limit = service, true, limit
}

// clearLimit records that the target no longer sets a limit. It reports whether it did before.
func (t *target) clearLimit(now time.Time) bool {
	if !t.limited {
		return false
	}
	t.limited, t.direct, t.clearedAt, t.clearPending = false, false, now, true
	return true
}

// restart discards the limit of an earlier start of the target.
func (t *target) restart(startedAt int64) {
	if startedAt != t.startedAt {
		t.startedAt, t.limited, t.direct, t.clearPending, t.clearedAt = startedAt, false, false, false, time.Time{}
	}
}

// add adds a target, or returns nil if there are maxTargets.
func (tr *Tracker) add(id string, startedAt int64) *target {
	if len(tr.targets) >= maxTargets {
		return nil
	}
	t := &target{startedAt: startedAt, permits: map[int]storedPermit{}}
	tr.targets[id] = t
	return t
}

// Restarted discards the limit of an earlier start of a target.
func (tr *Tracker) Restarted(id string, startedAt int64) {
	if t := tr.targets[id]; t != nil && startedAt > t.startedAt {
		t.restart(startedAt)
		tr.dropIfUnused(id)
	}
}

// Remove discards the limit of a target that was removed.
func (tr *Tracker) Remove(id string) {
	if t := tr.targets[id]; t != nil {
		t.restart(removedStart)
		tr.dropIfUnused(id)
	}
}

// removedStart is later than the start of any target.
const removedStart = math.MaxInt64

// dropIfUnused removes a target without a limit and without permits.
func (tr *Tracker) dropIfUnused(id string) {
	if t := tr.targets[id]; !t.limited && len(t.permits) == 0 {
		delete(tr.targets, id)
	}
}

// SetLease sets the lease under which this sender claims permits from now on, and until when
// its permits are valid: before the store may end the lease. A lease of 0 is none.
func (tr *Tracker) SetLease(lease int64, until, now time.Time) {
	tr.lease, tr.leaseEnds = lease, until
	if lease != 0 {
		tr.leaseTime = max(tr.leaseTime, until.Sub(now))
		tr.enter(kv.Era(lease), now)
	}
}

// RecordDemand records that there is a request for a service. It returns the targets of all
// services that may not be sent a request now.
func (tr *Tracker) RecordDemand(service string, now time.Time) map[string]bool {
	if len(tr.targets) == 0 {
		return nil
	}
	tr.lastDemand[service] = now
	unready := map[string]bool{}
	for id, t := range tr.targets {
		if tr.ready(t, now) {
			continue
		}
		unready[id] = true
		t.missed = t.missed || t.service == service
	}
	return unready
}

// Ready reports whether a target may be sent a request now.
func (tr *Tracker) Ready(id string, now time.Time) bool {
	t := tr.targets[id]
	return t == nil || tr.ready(t, now)
}

func (tr *Tracker) ready(t *target, now time.Time) bool {
	if !t.limited {
		return true
	}
	interval := tr.interval(t, now)
	return interval > 0 && !now.Before(t.lastSent.Add(interval))
}

// ReadyAt returns when a target may be sent a request and how many a second, and whether it
// sets a limit. The time is zero if it is not known because this sender has no permit.
func (tr *Tracker) ReadyAt(id string, now time.Time) (at time.Time, rate float64, limited bool) {
	t := tr.targets[id]
	if t == nil || !t.limited {
		return time.Time{}, 0, false
	}
	interval := tr.interval(t, now)
	if interval == 0 {
		return time.Time{}, 0, true
	}
	return t.lastSent.Add(interval), 1 / interval.Seconds(), true
}

// interval returns the minimum time between two requests to a target that sets a limit; 0 if
// this sender may send none because it has no permit.
func (tr *Tracker) interval(t *target, now time.Time) time.Duration {
	n := tr.count(t, now)
	if n == 0 {
		return 0
	}
	return spacing(t.limit, n)
}

// count returns how many valid permits of a target this sender holds.
func (tr *Tracker) count(t *target, now time.Time) int {
	n := tr.countRetained(t, now)
	if tr.lease == 0 || !now.Before(tr.leaseEnds) {
		return n
	}
	for _, p := range t.permits {
		if tr.valid(t, p) && p.Index < Count(t.limit) && !tr.retains(p.Key(), now) {
			n++
		}
	}
	return n
}

// valid reports whether a permit belongs to this sender, under its current lease and for the
// current start of the target.
func (tr *Tracker) valid(t *target, p storedPermit) bool {
	return p.Holder == tr.holder && p.Lease == tr.lease && p.StartedAt == t.startedAt && !p.Cleared
}

// RecordSent records that a request is sent to a target.
func (tr *Tracker) RecordSent(id string, now time.Time) {
	if t := tr.targets[id]; t != nil {
		t.lastSent = now
	}
}

// Apply processes items of the store under Prefix: changes, or all items if snapshot is set.
// It returns the errors of malformed items.
func (tr *Tracker) Apply(items []kv.Item, snapshot bool, now time.Time) []error {
	var errs []error
	if snapshot {
		tr.settledEra, tr.settledRevision = 0, 0
		clear(tr.byKey)
		for _, t := range tr.targets {
			clear(t.permits)
		}
	}
	for _, it := range items {
		if it.Key == settledKey {
			tr.applySettled(it)
			continue
		}
		if it.Deleted {
			tr.remove(it.Key, it.Revision)
			continue
		}
		r, err := parse(it)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		tr.put(r, it.Revision, now)
	}
	for id := range tr.targets {
		tr.dropIfUnused(id)
	}
	return errs
}

// remove processes the removal of a key at a revision.
func (tr *Tracker) remove(key string, revision int64) {
	at, ok := tr.byKey[key]
	if !ok {
		return
	}
	t := tr.targets[at.target]
	if t.permits[at.index].revision > revision {
		return // The permit was claimed again since.
	}
	delete(t.permits, at.index)
	delete(tr.byKey, key)
}

// put processes a permit in the store.
func (tr *Tracker) put(r Record, revision int64, now time.Time) {
	t := tr.targets[r.Target]
	if t == nil {
		if t = tr.add(r.Target, r.StartedAt); t == nil {
			return
		}
	}
	if revision < t.permits[r.Index].revision {
		return
	}
	first := tr.count(t, now) == 0
	t.permits[r.Index] = storedPermit{r, revision}
	tr.byKey[r.Key()] = permitRef{r.Target, r.Index}
	if r.StartedAt < t.startedAt {
		return
	}
	t.restart(r.StartedAt)
	switch {
	case r.Cleared:
		t.limited, t.direct, t.clearedAt = false, false, now
		return
	case r.Holder == tr.holder && first:
		t.lastSent = now
	}
	if !t.direct && now.Sub(t.clearedAt) >= clearedRetention {
		t.setLimit(r.Service, r.Limit, now)
	}
}
