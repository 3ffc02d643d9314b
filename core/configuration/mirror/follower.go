package mirror

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/changefeed"
	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/pause"
)

const (
	// watchWait is how long a watch waits for changes. It bounds how long a
	// connection that silently fails delays a change, since a draining target must
	// be known within its drain bound.
	watchWait = 2 * time.Second
	// responseTimeout is how long the store may take beyond watchWait, or for a read.
	responseTimeout = 900 * time.Millisecond
	// firstPause and maxPause bound the exponential backoff after a failed call.
	// It is jittered by half of itself, so that the processes do not all reconnect
	// at once.
	firstPause = 60 * time.Millisecond
	maxPause   = 600 * time.Millisecond
	// batchDelay is the pause after changes, in which further ones accumulate: a call
	// for each would be expensive. It is a small part of the bounds within which a
	// configuration or a drain must be known.
	batchDelay = 150 * time.Millisecond
	// maxBatchDelay is the limit to which the delay grows while changes keep coming, as
	// they do when 200 servers start, and batchResetAfter how long nothing must have
	// changed for it to be short again: every process that watches makes each call.
	maxBatchDelay   = 600 * time.Millisecond
	batchResetAfter = time.Second
	// outageAfter is how long the store must have been unreachable for leases of
	// entries to have expired meanwhile.
	outageAfter = 1500 * time.Millisecond
)

// storeReader is the part of the store that a Follower needs.
type storeReader interface {
	Range(ctx context.Context, prefix, after string) (kv.Page, error)
	// StaleRange is a cheaper Range whose state may be seconds old.
	StaleRange(ctx context.Context, prefix, after string) (kv.Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Page, error)
}

// Follower keeps a Mirror up to date with the store.
type Follower struct {
	store storeReader
	// prefixes are read; watchPrefix is watched and covers all of them.
	prefixes      []string
	watchPrefix   string
	log           *slog.Logger
	mirror        *Mirror
	snapshot      atomic.Pointer[Snapshot]
	lastAnswer    atomic.Int64
	onChange      []func(*Snapshot)
	onUnreachable []func()
	// listeners get the items under prefixes that are not part of the snapshot.
	listeners []listener
	started   time.Time
	// unreachableSince is when the store last answered before it became
	// unreachable; zero while it answers.
	unreachableSince time.Time
	// hints are what other processes report about the store's revision; event is the
	// revision of the newest change that was seen.
	hints hints
	event atomic.Int64
	// pause is the batch delay after the next changes.
	pause time.Duration
	// feeds are where changes come from in place of the store; feed serves them to others.
	feeds       feeds
	feed        changefeed.Feed
	checkpoints checkpoints
	// unverified says that the store may have come back from an older copy since its last answer.
	unverified      bool
	onStoreRestored []func(era int64)
}

// NewFollower returns a Follower that does nothing before Run.
func NewFollower(store storeReader, formats deployment.Formats, log *slog.Logger) *Follower {
	prefixes := []string{formats.OperatorPrefix, formats.TargetPrefix, rankpeer.ClaimPrefix}
	return &Follower{store: store, prefixes: prefixes, log: log, mirror: New(formats, log), started: time.Now()}
}

// NewTargetFollower returns a Follower of the targets alone, whose snapshots have an
// empty configuration. It does nothing before Run.
func NewTargetFollower(store storeReader, formats deployment.Formats, log *slog.Logger) *Follower {
	return &Follower{
		store: store, prefixes: []string{formats.TargetPrefix}, watchPrefix: formats.TargetPrefix,
		log: log, mirror: NewTargets(formats, log), started: time.Now(),
	}
}

// OnChange adds a function that is called with each new snapshot, from Run's
// goroutine. It must be called before Run.
func (f *Follower) OnChange(fn func(*Snapshot)) { f.onChange = append(f.onChange, fn) }

// OnStoreUnreachable adds a function that is called when the store stops answering, from Run's
// goroutine. It must be called before Run.
func (f *Follower) OnStoreUnreachable(fn func()) { f.onUnreachable = append(f.onUnreachable, fn) }

// OnStoreRestored adds a function that is called when the store has come back from an older copy and is
// in a new era, before the listeners get what it holds. Until then everything that this process has
// written and read may have been lost, and the leases of others as well. It is called from Run's
// goroutine, and must be added before Run.
func (f *Follower) OnStoreRestored(fn func(era int64)) {
	f.onStoreRestored = append(f.onStoreRestored, fn)
}

// The metrics of all Followers of this process: how long ago the store last
// answered, the calls by outcome, and the configuration in force with the
// revision up to which the snapshot is complete.
var (
	metricAge      = expvar.NewInt("store-age-ms")
	metricCalls    = expvar.NewMap("store-calls-by-outcome")
	metricVersion  = expvar.NewInt("configuration-version")
	metricRevision = expvar.NewInt("store-revision")
	metricTargets  = expvar.NewInt("targets-known")
	// metricEra is the era of the store, and metricReads counts complete reads.
	metricEra   = expvar.NewInt("store-era")
	metricReads = expvar.NewInt("store-reads-complete")
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

// Snapshot returns the newest snapshot, or nil before the first configuration.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// confirmed returns when the store has last confirmed the state.
func (f *Follower) confirmed() time.Time { return f.started.Add(time.Duration(f.lastAnswer.Load())) }

// Age is how long ago the store last answered, this process or the feed that it follows.
func (f *Follower) Age() time.Duration {
	return time.Since(f.started) - time.Duration(f.lastAnswer.Load())
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	next := firstPause
	complete := false
	for ctx.Err() == nil {
		var err error
		switch {
		case complete:
			complete, err = f.watch(ctx)
			f.writeCheckpoint(ctx, time.Now())
		case f.mirror.Revision() == 0 && f.readCheckpoint(ctx):
			complete = true
		default:
			err = f.readAll(ctx)
			complete = err == nil
		}
		metricAge.Set(f.Age().Milliseconds())
		// Without an answer it isn't known whether a key was written again.
		if f.mirror.ApplyDeferred(f.confirmed()) {
			f.publish()
		}
		if err == nil {
			next = firstPause
			continue
		}
		var abandoned *watchAbandonedError
		if errors.As(err, &abandoned) && abandoned.Reason == hintsExpired {
			continue // The watch was not ended by the store.
		}
		f.storeFailed(err)
		pause.For(ctx, next/2+rand.N(next))
		next = min(2*next, maxPause)
	}
}

// watch waits for changes once, from a feed if there is one. It reports false if everything must be
// read again.
func (f *Follower) watch(ctx context.Context) (bool, error) {
	now := time.Now()
	if c := f.feeds.next(now); c != nil && f.hints.fresh(now) {
		f.feed.Stop()
		f.watchFeed(ctx, c)
		return true, nil
	}
	return f.watchStore(ctx)
}

// minExpiryWait is the shortest wait for the removal of a target: a feed may confirm the state later
// than it answers.
const minExpiryWait = 50 * time.Millisecond

// wait returns how long a watch that begins now may wait, given the longest time.
func (f *Follower) wait(longest time.Duration, now time.Time) time.Duration {
	if due, ok := f.mirror.NextExpiry(now); ok {
		// Removing a target that left during an outage must not wait for a long watch.
		return min(longest, max(due, minExpiryWait))
	}
	return longest
}

// watchStore waits for changes of the store once. It reports false if everything must be read
// again.
func (f *Follower) watchStore(ctx context.Context) (bool, error) {
	began := time.Now()
	wait := f.wait(f.hints.wait(began), began)
	if f.unverified {
		// A watch from a revision that the store has given out again would miss what was written
		// under it until its answer tells.
		wait = 0
	}
	if !f.feeds.serves() {
		f.feed.Stop()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	abandoned := f.superviseWatch(ctx, cancel, began)
	page, err := f.store.Watch(ctx, f.watchPrefix, f.mirror.Revision(), wait)
	count(err)
	if reason := abandoned.Load(); err != nil && reason != nil {
		f.log.Info("watch given up", "reason", string(*reason), "after-ms", time.Since(began).Milliseconds(), "revision", f.mirror.Revision())
		return !f.outage(), &watchAbandonedError{*reason}
	}
	var status *kv.StatusError
	if errors.As(err, &status) && status.Compacted() {
		f.log.Info("history of the store is compacted; reading all keys", "revision", f.mirror.Revision(), "era", status.Era)
		return false, nil
	}
	if err != nil {
		// In an outage, entries may have expired and been registered again: the
		// events show it, unless the outage was long.
		return !f.outage(), err
	}
	f.unverified = false
	f.apply(&page, time.Now())
	if len(page.Items) > 0 {
		// Servers that start or leave together are reported in one call.
		if time.Since(began) >= batchResetAfter || f.pause == 0 {
			f.pause = batchDelay
		}
		pause.For(ctx, f.pause)
		f.pause = min(2*f.pause, maxBatchDelay)
	}
	return true, nil
}

// apply applies the changes of an answer that the store confirmed at a time.
func (f *Follower) apply(page *kv.Page, confirmed time.Time) {
	if f.mirror.Apply(page.Items, page.Revision) {
		f.publish()
	}
	f.notify(page.Items, false)
	f.checkpoints.record(page.Items, f.prefixes, false)
	f.storeAnswered(confirmed)
	// The feed may be started at any moment from what is seen, so that it gets the changes last.
	f.recordSeen(page.Items)
	f.feed.Record(page.Items, page.Revision, confirmed)
}

// readAll reads all prefixes. The watch continues from the lowest revision of the pages, because
// they are not a consistent snapshot.
func (f *Follower) readAll(ctx context.Context) error {
	// While nothing is known, an old state will do: the watch that follows brings what it lacks.
	stale := f.mirror.Revision() == 0
	all, from, err := f.readPages(ctx, stale)
	var mixed *mixedErasError
	if errors.As(err, &mixed) {
		f.log.Info("store was restored during a read; reading again", "revision", mixed.Revision, "other-revision", mixed.Other)
		all, from, err = f.readPages(ctx, false)
	}
	if err != nil {
		return err
	}
	f.unverified = stale
	known := f.mirror.Revision()
	f.replace(all, from)
	if from < known {
		return &behindError{Revision: from, Known: known}
	}
	return nil
}

// behindError reports that the store is behind what is known of it and does not state a new era, so
// that a watch can't go on from there.
type behindError struct {
	Revision, Known int64
}

// Error returns the revisions.
func (e *behindError) Error() string {
	return fmt.Sprintf("store is at revision %d, behind %d", e.Revision, e.Known)
}

// mixedErasError reports that the pages of a read are of different eras of the store.
type mixedErasError struct {
	// Revision and Other are the revisions of two pages.
	Revision, Other int64
}

// Error returns the revisions.
func (e *mixedErasError) Error() string {
	return fmt.Sprintf("read of eras %d and %d of the store", kv.Era(e.Revision), kv.Era(e.Other))
}

// readPages reads all prefixes and returns the items with the lowest revision of the pages.
func (f *Follower) readPages(ctx context.Context, stale bool) (all []kv.Item, from int64, err error) {
	from = -1
	for _, prefix := range f.prefixes {
		list, asOf, err := f.readPrefix(ctx, prefix, stale)
		if err != nil {
			return nil, 0, err
		}
		if from, err = lowest(from, asOf); err != nil {
			return nil, 0, err
		}
		all = append(all, list...)
	}
	return all, from, nil
}

// lowest returns the lower of two revisions of one era; a negative one is none.
func lowest(a, b int64) (int64, error) {
	switch {
	case a < 0:
		return b, nil
	case kv.Era(a) != kv.Era(b):
		return 0, &mixedErasError{a, b}
	}
	return min(a, b), nil
}

// replace applies a complete read of the store up to a revision.
func (f *Follower) replace(all []kv.Item, revision int64) {
	before := f.mirror.Revision()
	restored := before > 0 && kv.Era(revision) > kv.Era(before)
	if restored {
		// They had failed because they did not have what this process lacked.
		f.feeds.retry()
		f.log.Warn("store has come back from an older copy", "revision", revision, "known-before", before, "era", kv.Era(revision))
		for _, fn := range f.onStoreRestored {
			fn(kv.Era(revision))
		}
	}
	missed, known := f.checkpoints.missed(all, f.prefixes, max(revision, before))
	known = known && !f.outage() && !restored
	if f.mirror.Replace(all, revision, f.outage(), time.Now()) || restored {
		f.publish()
	}
	metricReads.Add(1)
	metricEra.Set(kv.Era(revision))
	f.log.Info("store read", "revision", revision, "era", kv.Era(revision), "known-before", before, "watch-from", f.mirror.Revision(), "items", len(all), "version", f.mirror.configVersion())
	f.notify(all, true)
	f.checkpoints.record(all, f.prefixes, true)
	f.storeAnswered(time.Now())
	f.recordSeen(all)
	// The newest change may be one whose key is gone, or lies under a prefix that is not read.
	f.event.Store(max(f.event.Load(), revision))
	if known {
		// The followers of the feed need not read everything as well.
		f.feed.Record(missed, f.mirror.Revision(), time.Now())
		return
	}
	// After an outage entries may be missing for a while, which each process has to bear in mind.
	f.feed.Reset(f.mirror.Revision())
}

func (f *Follower) readPrefix(ctx context.Context, prefix string, stale bool) (all []kv.Item, asOf int64, err error) {
	after := ""
	for asOf = -1; ; {
		page, err := f.page(ctx, prefix, after, stale)
		if err != nil {
			return nil, 0, err
		}
		if asOf, err = lowest(asOf, page.Revision); err != nil {
			return nil, 0, err
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, asOf, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (f *Follower) page(ctx context.Context, prefix, after string, stale bool) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	read := f.store.Range
	if stale {
		read = f.store.StaleRange
	}
	page, err := read(ctx, prefix, after)
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

// storeAnswered records that the store has confirmed the state at a time.
func (f *Follower) storeAnswered(at time.Time) {
	f.lastAnswer.Store(max(f.lastAnswer.Load(), int64(at.Sub(f.started))))
	if !f.unreachableSince.IsZero() {
		f.log.Info("store answers again", "after-ms", time.Since(f.unreachableSince).Milliseconds())
		f.unreachableSince = time.Time{}
	}
}

func (f *Follower) storeFailed(err error) {
	f.unverified = true
	if f.unreachableSince.IsZero() {
		f.unreachableSince = f.confirmed()
		f.log.Warn("store does not answer", "error", err.Error())
		for _, fn := range f.onUnreachable {
			fn()
		}
	}
}

// outage reports whether the store has been unreachable for so long that
// leases of entries may have expired.
func (f *Follower) outage() bool {
	return !f.unreachableSince.IsZero() && time.Since(f.unreachableSince) > outageAfter
}
