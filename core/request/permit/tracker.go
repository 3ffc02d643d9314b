package permit

import (
	"math"
	"math/rand/v2"
	"time"

	"verbenashift/core/configuration/kv"
)

const (
	// demandFor is how long a service counts as in demand after its last request: a sender
	// without requests claims nothing.
	demandFor = 5 * time.Second
	// idleFor is how long permits are kept that are not used, and for how long none of the
	// target is claimed after they were given back.
	idleFor = 20 * time.Second
	// liftedFor is how long the word stands in the store that a target names no limit any
	// more, and is believed against older ones.
	liftedFor = 2 * time.Second
	// moreAfter is the wait before a further permit of a target is claimed, for each that is
	// held: those who have none come first.
	moreAfter = 500 * time.Millisecond
	// claimPause is the time between two changes of the store; after one that has failed
	// it doubles up to maxClaimPause.
	claimPause    = 100 * time.Millisecond
	maxClaimPause = 4 * time.Second
	// maxTargets bounds the targets whose limits are known.
	maxTargets = 2048
)

// Tracker is what a sender knows of the limits of targets and of who holds their permits. Use
// NewTracker to make one.
type Tracker struct {
	instance, self string

	rng     *rand.Rand
	targets map[string]*target
	// places are where the permits of the store are, by key.
	places map[string]place
	// demanded is when each service was last in demand.
	demanded map[string]time.Time
	lease    int64
	// leaseEnds is until when the permits under the lease count.
	leaseEnds time.Time
	// nextChange is when the store may be asked for a change again, pause the time after it.
	nextChange time.Time
	pause      time.Duration
}

// target is what is known of one target. A target without a limit is kept while permits of
// it stand in the store.
type target struct {
	service string
	born    int64
	// limited says that the target names limit, told since when; own that it has told this
	// sender itself.
	limited bool
	limit   float64
	since   time.Time
	own     bool
	// liftedAt is when it was found that it names none any more, and untold that the others
	// are still to hear of it.
	liftedAt time.Time
	untold   bool
	permits  map[int]storedPermit
	// last is when it was sent a request last, or this sender got its first permit.
	last time.Time
	// missed says that it could have been sent a request since the last claim if there were
	// more permits.
	missed bool
	// claimAt is when the next permit may be claimed.
	claimAt time.Time
}

// place is the target of a permit, and its index there.
type place struct {
	target string
	index  int
}

// storedPermit is a permit that stands in the store.
type storedPermit struct {
	Record
	revision int64
}

// NewTracker returns a Tracker of a sender: one start of an instance.
func NewTracker(instance, start string, rng *rand.Rand) *Tracker {
	return &Tracker{
		instance: instance, self: instance + separator + start, rng: rng,
		targets: map[string]*target{}, places: map[string]place{}, demanded: map[string]time.Time{}, pause: claimPause,
	}
}

// separator stands between the instance and the start in the name of a holder.
const separator = "/"

// Response is what an answer of a target says of its limit.
type Response struct {
	Target, Service string
	StartedAt       int64
	// Limit is in requests a second; nil if the answer names none.
	Limit *float64
	// Sent is when the request was sent that is answered.
	Sent time.Time
}

// Observe takes what an answer says of the limit of its target. It reports whether the limit
// has changed.
func (tr *Tracker) Observe(a Response, now time.Time) bool {
	t := tr.targets[a.Target]
	if t != nil && a.StartedAt < t.born {
		return false
	}
	if a.Limit == nil {
		// An answer to a request that was sent before the limit was known may be older.
		return t != nil && t.born == a.StartedAt && a.Sent.After(t.since) && t.lift(now)
	}
	if t == nil {
		if t = tr.add(a.Target, a.StartedAt); t == nil {
			return false
		}
	}
	t.restart(a.StartedAt)
	changed := t.limit != *a.Limit || !t.limited
	t.limits(a.Service, *a.Limit, now)
	t.own, t.untold = true, false
	return changed
}

// limits takes the limit of the target.
func (t *target) limits(service string, limit float64, now time.Time) {
	if !t.limited {
		t.since = now
	}
	t.service, t.limited, t.limit = service, true, limit
}

// lift takes the word of the target that it names no limit any more.
func (t *target) lift(now time.Time) bool {
	if !t.limited {
		return false
	}
	t.limited, t.own, t.liftedAt, t.untold = false, false, now, true
	return true
}

// restart forgets what an earlier start of the target has named.
func (t *target) restart(born int64) {
	if born != t.born {
		t.born, t.limited, t.own, t.untold, t.liftedAt = born, false, false, false, time.Time{}
	}
}

// add makes room for a target, or returns nil if there is none.
func (tr *Tracker) add(id string, born int64) *target {
	if len(tr.targets) >= maxTargets {
		return nil
	}
	t := &target{born: born, permits: map[int]storedPermit{}}
	tr.targets[id] = t
	return t
}

// Restarted voids the limit of an earlier start of a target.
func (tr *Tracker) Restarted(id string, born int64) {
	if t := tr.targets[id]; t != nil && born > t.born {
		t.restart(born)
		tr.tidy(id)
	}
}

// Remove voids the limit of a target that is no more.
func (tr *Tracker) Remove(id string) {
	if t := tr.targets[id]; t != nil {
		t.restart(gone)
		tr.tidy(id)
	}
}

// gone stands for a start after all others.
const gone = math.MaxInt64

// tidy drops a target of which nothing is left to know.
func (tr *Tracker) tidy(id string) {
	if t := tr.targets[id]; !t.limited && len(t.permits) == 0 {
		delete(tr.targets, id)
	}
}

// SetLease takes the lease under which this sender claims permits from now on, and until when
// its permits count: before the store may end it. A lease of 0 is none.
func (tr *Tracker) SetLease(lease int64, until time.Time) { tr.lease, tr.leaseEnds = lease, until }

// RecordDemand tells that there is a request for a service. It returns the targets of all
// services that may not be sent a request now.
func (tr *Tracker) RecordDemand(service string, now time.Time) map[string]bool {
	if len(tr.targets) == 0 {
		return nil
	}
	tr.demanded[service] = now
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
	return interval > 0 && !now.Before(t.last.Add(interval))
}

// ReadyAt returns when a target may be sent a request and how many it may be sent a second, and
// whether it names a limit. The time is zero if it is not known, since this sender has no permit.
func (tr *Tracker) ReadyAt(id string, now time.Time) (at time.Time, rate float64, limited bool) {
	t := tr.targets[id]
	if t == nil || !t.limited {
		return time.Time{}, 0, false
	}
	interval := tr.interval(t, now)
	if interval == 0 {
		return time.Time{}, 0, true
	}
	return t.last.Add(interval), 1 / interval.Seconds(), true
}

// interval returns the least time between two requests to a target that names a limit; 0 if
// this sender may send none, since it has no permit.
func (tr *Tracker) interval(t *target, now time.Time) time.Duration {
	n := tr.count(t, now)
	if n == 0 {
		return 0
	}
	return spacing(t.limit, n)
}

// count returns how many permits of a target this sender holds that count now.
func (tr *Tracker) count(t *target, now time.Time) int {
	if tr.lease == 0 || !now.Before(tr.leaseEnds) {
		return 0
	}
	n := 0
	for _, p := range t.permits {
		if tr.mine(t, p) && p.Index < Count(t.limit) {
			n++
		}
	}
	return n
}

// mine reports whether a permit is this sender's, of its lease and of this start of the
// target.
func (tr *Tracker) mine(t *target, p storedPermit) bool {
	return p.Holder == tr.self && p.Lease == tr.lease && p.StartedAt == t.born && !p.Cleared
}

// RecordSent counts a request that a target is sent.
func (tr *Tracker) RecordSent(id string, now time.Time) {
	if t := tr.targets[id]; t != nil {
		t.last = now
	}
}

// Apply takes what the store says under Prefix: changes, or by whole everything that stands
// there. It returns the errors of items that are no permits.
func (tr *Tracker) Apply(items []kv.Item, whole bool, now time.Time) []error {
	var errs []error
	if whole {
		clear(tr.places)
		for _, t := range tr.targets {
			clear(t.permits)
		}
	}
	for _, it := range items {
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
		tr.tidy(id)
	}
	return errs
}

// remove takes the removal of a key at a revision.
func (tr *Tracker) remove(key string, revision int64) {
	at, ok := tr.places[key]
	if !ok {
		return
	}
	t := tr.targets[at.target]
	if t.permits[at.index].revision > revision {
		return // It was claimed again meanwhile.
	}
	delete(t.permits, at.index)
	delete(tr.places, key)
}

// put takes a permit that stands in the store.
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
	tr.places[r.Key()] = place{r.Target, r.Index}
	if r.StartedAt < t.born {
		return
	}
	t.restart(r.StartedAt)
	switch {
	case r.Cleared:
		t.limited, t.own, t.liftedAt = false, false, now
		return
	case r.Holder == tr.self && first:
		t.last = now
	}
	if !t.own && now.Sub(t.liftedAt) >= liftedFor {
		t.limits(r.Service, r.Limit, now)
	}
}
