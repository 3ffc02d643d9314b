package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/permit"
)

const (
	// limitsTick is how often the permits are checked for a change to write.
	limitsTick = 50 * time.Millisecond
	// permitLease is the time after which the permits of a terminated gateway are free again.
	// This gateway stops using its permits earlier, by one leaseMargin-th of it.
	permitLease = 12 * time.Second
	leaseMargin = 10
	// renewEvery is how often the lease is renewed, renewRetryDelay the delay after a failure.
	renewEvery      = permitLease / 3
	renewRetryDelay = 500 * time.Millisecond
)

// leaser is the part of the store in which permits are claimed.
type leaser interface {
	changer
	Grant(ctx context.Context, ttl time.Duration) (lease int64, lasts time.Duration, err error)
	Keep(ctx context.Context, lease int64) (lasts time.Duration, err error)
}

// limits enforces the rate limits that targets set for all gateways together. It is safe for
// concurrent use.
type limits struct {
	log   *slog.Logger
	store leaser

	mu      sync.Mutex
	tracker *permit.Tracker
	// renewNow says that the lease is void.
	renewNow bool

	// The following fields are used by run alone.
	lease      int64
	leaseEnds  time.Time
	renewAfter time.Time
}

func newLimits(instance string, log *slog.Logger) *limits {
	start := fmt.Sprintf("%08x", rand.Uint32())
	return &limits{log: log, tracker: permit.NewTracker(instance, start, newRand())}
}

// observe records what an answer states about the limit of its target, and reports whether
// that has changed.
func (l *limits) observe(a permit.Response, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Observe(a, now)
}

// restarted removes the limit of an earlier incarnation of a target.
func (l *limits) restarted(id string, startedAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Restarted(id, startedAt)
}

// remove removes the limit of a target that no longer exists.
func (l *limits) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Remove(id)
}

// unready returns the rate-limited targets that may not be sent a request now. It records the
// demand of a request for the given service.
func (l *limits) unready(service string, now time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.RecordDemand(service, now)
}

// recordSent counts a request that is sent to a target.
func (l *limits) recordSent(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.RecordSent(id, now)
}

// addTo adds to an availability when a target takes a request: after its pause, or by its rate
// limit.
func (l *limits) addTo(o *permit.Availability, id string, paused, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, rate, limited := l.tracker.ReadyAt(id, now)
	if !limited {
		o.Add(paused, 0)
		return
	}
	if !at.IsZero() && at.Before(paused) {
		at = paused
	}
	o.Add(at, rate)
}

// apply applies the items of the store under permit.Prefix.
func (l *limits) apply(items []kv.Item, snapshot bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, err := range l.tracker.Apply(items, snapshot, time.Now()) {
		l.log.Warn("invalid permit in the store", "error", err.Error())
	}
}

// storeRestored processes that the store has come back from an older copy, in a new era.
func (l *limits) storeRestored(era int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Restored(era, time.Now())
	l.renewNow = true
}

// run claims and releases permits until the context ends.
func (l *limits) run(ctx context.Context) {
	for pause.For(ctx, limitsTick) {
		l.renew(ctx, time.Now())
		l.change(ctx)
	}
}

// renew keeps the lease as long as it is needed.
func (l *limits) renew(ctx context.Context, now time.Time) {
	l.mu.Lock()
	needed, atOnce := l.tracker.NeedsLease(now), l.renewNow
	l.renewNow = false
	l.mu.Unlock()
	if !needed || now.Before(l.renewAfter) && !atOnce {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	lasts, err := l.keepLease(ctx)
	if err != nil {
		l.renewAfter = time.Now().Add(renewRetryDelay)
		l.log.Warn("lease of permits not renewed", "lease", l.lease, "left-ms", l.left().Milliseconds(), "error", err.Error())
		return
	}
	l.renewAfter = now.Add(min(renewEvery, lasts/3))
	// The store measures the lease from the arrival of the call, which is later than now.
	l.leaseEnds = now.Add(lasts - lasts/leaseMargin)
	l.setLease()
}

// left returns for how long the permits are still valid.
func (l *limits) left() time.Duration {
	if l.lease == 0 {
		return 0
	}
	return max(time.Until(l.leaseEnds), 0)
}

// keepLease renews the lease, or acquires a new one if it has expired.
func (l *limits) keepLease(ctx context.Context) (lasts time.Duration, err error) {
	if l.lease != 0 {
		lasts, err = l.store.Keep(ctx, l.lease)
		var status *kv.StatusError
		if !errors.As(err, &status) || !status.NotFound() {
			return lasts, err
		}
		l.log.Warn("lease of permits has ended", "lease", l.lease, "era", status.Era)
		if status.Era > kv.Era(l.lease) {
			l.storeRestored(status.Era)
		}
		l.lease, l.leaseEnds = 0, time.Time{}
		l.setLease()
	}
	lease, lasts, err := l.store.Grant(ctx, permitLease)
	if err == nil {
		l.lease = lease
	}
	return lasts, err
}

// setLease sets the lease in the tracker.
func (l *limits) setLease() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.SetLease(l.lease, l.leaseEnds, time.Now())
}

// change writes the most urgent change of permits to the store.
func (l *limits) change(ctx context.Context) {
	l.mu.Lock()
	c, ok := l.tracker.NextChange(time.Now())
	l.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := l.store.Change(ctx, c.Txn)
	l.mu.Lock()
	l.tracker.Complete(c, revision, err == nil, time.Now())
	l.mu.Unlock()
	line := []any{"target", c.Target, "kind", c.Kind.String(), "key", c.Conditions[0].Key, "lease", l.lease}
	if err != nil {
		metricPermits.Add(c.Kind.String()+"-failed", 1)
		l.log.Info("permit not changed", append(line, "error", err.Error())...)
		return
	}
	metricPermits.Add(c.Kind.String(), 1)
	l.log.Info("permit changed", append(line, "revision", revision)...)
}
