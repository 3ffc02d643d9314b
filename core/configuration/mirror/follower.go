package mirror

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/pause"
)

const (
	// watchWait is how long a watch waits for changes. It bounds how long a
	// connection that has gone silent hides a change, since a leaving target
	// must be known within its drain bound.
	watchWait = 2 * time.Second
	// responseTimeout is how long the store may take beyond that, or for a read.
	responseTimeout = 900 * time.Millisecond
	// firstPause and maxPause bound the pause after a failed call. The pause is
	// spread by half of itself, so that a fleet does not come back at once.
	firstPause = 60 * time.Millisecond
	maxPause   = 600 * time.Millisecond
	// batchDelay is the pause after changes, in which more of them come together: a
	// call for each would be dear. It is a small part of the bounds within which
	// a configuration or a drain must be known.
	batchDelay = 150 * time.Millisecond
	// maxBatchDelay is how long the pause grows while changes keep coming, as they do when
	// 200 servers start, and calmAfter how long nothing must have changed for it to be
	// short again: each call is made by every process that watches.
	maxBatchDelay   = 600 * time.Millisecond
	batchResetAfter = time.Second
	// outageAfter is how long the store must have been out of reach for
	// entries to have lapsed meanwhile.
	outageAfter = 1500 * time.Millisecond
)

// storeReader is the part of the store that a Follower needs.
type storeReader interface {
	Range(ctx context.Context, prefix, after string) (kv.Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Page, error)
}

// Follower keeps a Mirror at what the store says.
type Follower struct {
	store storeReader
	// prefixes are read; watched is the one that is watched, which covers them.
	prefixes      []string
	watchPrefix   string
	log           *slog.Logger
	mirror        *Mirror
	snapshot      atomic.Pointer[Snapshot]
	lastAnswer    atomic.Int64
	onChange      []func(*Snapshot)
	onUnreachable []func()
	// listeners get the items under prefixes that are no part of the view.
	listeners []listener
	started   time.Time
	// unreachableSince is when the store was last heard before it was unreachableSince; zero while it
	// answers.
	unreachableSince time.Time
	// hints are what others tell of the store; event is the revision of the newest change
	// that was seen.
	hints hints
	event atomic.Int64
	// pause is how long changes are gathered after the next ones.
	pause time.Duration
}

// NewFollower returns a Follower that does nothing before Run.
func NewFollower(store storeReader, formats deployment.Formats, log *slog.Logger) *Follower {
	prefixes := []string{formats.ConfigKey, formats.TargetPrefix, rankpeer.ClaimPrefix}
	return &Follower{store: store, prefixes: prefixes, log: log, mirror: New(formats, log), started: time.Now()}
}

// NewTargetFollower returns a Follower of the targets alone, whose views have an empty
// configuration. It does nothing before Run.
func NewTargetFollower(store storeReader, formats deployment.Formats, log *slog.Logger) *Follower {
	return &Follower{
		store: store, prefixes: []string{formats.TargetPrefix}, watchPrefix: formats.TargetPrefix,
		log: log, mirror: NewTargets(formats, log), started: time.Now(),
	}
}

// OnChange adds a function that is called with each new view, from Run's
// goroutine. It must be called before Run.
func (f *Follower) OnChange(fn func(*Snapshot)) { f.onChange = append(f.onChange, fn) }

// OnStoreUnreachable adds a function that is called when the store stops answering, from Run's
// goroutine. It must be called before Run.
func (f *Follower) OnStoreUnreachable(fn func()) { f.onUnreachable = append(f.onUnreachable, fn) }

// The metrics of all Followers of this process: how long ago the store last
// answered, what became of the calls, and the configuration in force with the
// revision up to which the view is complete.
var (
	metricAge      = expvar.NewInt("store-age-ms")
	metricCalls    = expvar.NewMap("store-calls-by-outcome")
	metricVersion  = expvar.NewInt("configuration-version")
	metricRevision = expvar.NewInt("store-revision")
	metricTargets  = expvar.NewInt("targets-known")
)

// count counts a call to the store.
func count(err error) {
	var status *kv.StatusError
	switch {
	case err == nil:
		metricCalls.Add("ok", 1)
	case errors.As(err, &status):
		metricCalls.Add("status-"+strconv.Itoa(status.Status), 1)
	default:
		metricCalls.Add("no-answer", 1)
	}
}

// Snapshot returns the newest view, or nil before the first configuration.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Age is how long ago the store last answered.
func (f *Follower) Age() time.Duration {
	return time.Since(f.started) - time.Duration(f.lastAnswer.Load())
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	next := firstPause
	whole := false
	for ctx.Err() == nil {
		var err error
		if !whole {
			err = f.readAll(ctx)
			whole = err == nil
		} else {
			whole, err = f.watch(ctx)
		}
		metricAge.Set(f.Age().Milliseconds())
		if f.mirror.ExpireMissing(time.Now()) {
			f.publish()
		}
		if err == nil {
			f.storeAnswered()
			next = firstPause
			continue
		}
		var stopped *watchAbandonedError
		if errors.As(err, &stopped) && stopped.Reason == hintsExpired {
			continue // It says nothing of the store.
		}
		f.storeFailed(err)
		pause.For(ctx, next/2+rand.N(next))
		next = min(2*next, maxPause)
	}
}

// watch waits for changes once. It reports false if the history has gone.
func (f *Follower) watch(ctx context.Context) (bool, error) {
	began := time.Now()
	wait := f.hints.wait(began)
	if due, ok := f.mirror.NextExpiry(began); ok {
		// A target that has left while the store was away must not wait for a long watch.
		wait = min(wait, due+time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	gaveUp := f.superviseWatch(ctx, cancel, began)
	page, err := f.store.Watch(ctx, f.watchPrefix, f.mirror.Revision(), wait)
	count(err)
	if reason := gaveUp.Load(); err != nil && reason != nil {
		f.log.Info("watch given up", "reason", string(*reason), "after-ms", time.Since(began).Milliseconds(), "revision", f.mirror.Revision())
		return !f.outage(), &watchAbandonedError{*reason}
	}
	var status *kv.StatusError
	if errors.As(err, &status) && status.Compacted() {
		f.log.Info("history of the store is gone, reading all", "revision", f.mirror.Revision())
		return false, nil
	}
	if err != nil {
		// After an outage, entries may have lapsed and come back: the events
		// tell it, unless the outage was long.
		return !f.outage(), err
	}
	if f.mirror.Apply(page.Items, page.Revision) {
		f.publish()
	}
	f.notify(page.Items, false)
	f.recordSeen(page.Items)
	if len(page.Items) > 0 {
		// Servers that start or leave together are heard of in one call.
		if time.Since(began) >= batchResetAfter || f.pause == 0 {
			f.pause = batchDelay
		}
		pause.For(ctx, f.pause)
		f.pause = min(2*f.pause, maxBatchDelay)
	}
	return true, nil
}

// readAll reads everything. The watch goes on from the revision before the
// first page, because pages are no snapshot.
func (f *Follower) readAll(ctx context.Context) error {
	var all []kv.Item
	from := int64(-1)
	for _, prefix := range f.prefixes {
		list, asOf, err := f.readPrefix(ctx, prefix)
		if err != nil {
			return err
		}
		if from < 0 {
			from = asOf
		}
		all = append(all, list...)
	}
	if f.mirror.Replace(all, from, f.outage(), time.Now()) {
		f.publish()
	}
	f.notify(all, true)
	f.recordSeen(all)
	return nil
}

func (f *Follower) readPrefix(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	var all []kv.Item
	after, first := "", int64(-1)
	for {
		page, err := f.page(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first < 0 {
			first = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, first, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (f *Follower) page(ctx context.Context, prefix, after string) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	page, err := f.store.Range(ctx, prefix, after)
	count(err)
	return page, err
}

func (f *Follower) publish() {
	v := f.mirror.Snapshot()
	if v == nil {
		return
	}
	f.snapshot.Store(v)
	metricVersion.Set(v.Config.Version)
	metricRevision.Set(v.Revision)
	metricTargets.Set(int64(len(v.Targets)))
	for _, fn := range f.onChange {
		fn(v)
	}
}

func (f *Follower) storeAnswered() {
	f.lastAnswer.Store(int64(time.Since(f.started)))
	if !f.unreachableSince.IsZero() {
		f.log.Info("store answers again", "after-ms", time.Since(f.unreachableSince).Milliseconds())
		f.unreachableSince = time.Time{}
	}
}

func (f *Follower) storeFailed(err error) {
	if f.unreachableSince.IsZero() {
		f.unreachableSince = f.started.Add(time.Duration(f.lastAnswer.Load()))
		f.log.Warn("store does not answer", "error", err.Error())
		for _, fn := range f.onUnreachable {
			fn()
		}
	}
}

// outage reports whether the store has been out of reach for so long that
// entries may have lapsed.
func (f *Follower) outage() bool {
	return !f.unreachableSince.IsZero() && time.Since(f.unreachableSince) > outageAfter
}
