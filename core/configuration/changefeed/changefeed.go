// Package changefeed passes the changes of the platform's store from a few processes that watch it
// to many that do not.
//
// A change wakes each watch of the store, so that the calls to it grow with the number of watches
// times the number of changes. With feeds, only a few processes in each availability zone watch the
// store. Each of them has a Feed, which keeps the most recent changes and serves them to the other
// processes of its zone; these use a Client in place of the store.
//
// A Feed holds changes alone: who follows it has read the store before. It states how long ago the
// store confirmed what it serves, so that its followers notice when it has lost the store, and it
// answers like a store with a compacted history when it lacks a change that a follower needs. In
// both cases the follower turns to the store itself.
//
// # Usage
//
//	feed.Start(mirror.Revision(), confirmed)     // at a process that watches the store
//	feed.Record(page.Items, page.Revision, now)  // after each answer
//	go changefeed.Serve(listener, feed)
//
//	c := changefeed.NewClient(addr)              // at one that does not
//	page, age, err := c.Watch(ctx, revision, wait)
package changefeed

import (
	"net/http"
	"sync"
	"time"

	"verbenashift/core/configuration/kv"
)

const (
	// maxItems and maxBytes bound the changes that a Feed keeps.
	maxItems = 4096
	maxBytes = 2 << 20
)

// Feed keeps the most recent changes of the store. Its zero value serves nothing. It is safe for
// concurrent use.
type Feed struct {
	mu sync.Mutex
	// active says that this process watches the store.
	active bool
	// from is the revision after which all changes up to revision are kept.
	from, revision int64
	// confirmed is when the store has last confirmed that there are no others.
	confirmed time.Time
	changes   []change
	bytes     int
	// changed is closed at the next change, or when the Feed stops.
	changed chan struct{}
}

// change is one change as it is sent to followers.
type change struct {
	kv.Item
	// Compressed says that the value is compressed.
	Compressed bool
}

// Start begins with the changes after a revision, up to which this process knows the store, as
// confirmed at a time.
func (f *Feed) Start(revision int64, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active {
		return
	}
	f.active = true
	f.reset(revision)
	f.confirmed = confirmed
}

// Stop ends the Feed and wakes its followers.
func (f *Feed) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active {
		f.active = false
		f.reset(0)
	}
}

// Reset drops all changes, since some may be missing up to the given revision.
func (f *Feed) Reset(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active {
		f.reset(revision)
	}
}

// reset must be called with the lock held.
func (f *Feed) reset(revision int64) {
	f.from, f.revision, f.changes, f.bytes = revision, revision, nil, 0
	f.wake()
}

func (f *Feed) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Record adds the changes that the store has answered with, up to a revision, at a time.
func (f *Feed) Record(items []kv.Item, revision int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.active {
		return
	}
	if now.After(f.confirmed) {
		f.confirmed = now
	}
	for _, it := range items {
		c := compressed(it)
		f.changes = append(f.changes, c)
		f.bytes += size(&c.Item)
	}
	f.revision = max(f.revision, revision)
	f.trim()
	if len(items) > 0 {
		f.wake()
	}
}

// trim drops the oldest changes beyond the bounds, whole revisions at a time.
func (f *Feed) trim() {
	for len(f.changes) > 0 && (len(f.changes) > maxItems || f.bytes > maxBytes) {
		oldest := f.changes[0].Revision
		n := 0
		for n < len(f.changes) && f.changes[n].Revision <= oldest {
			f.bytes -= size(&f.changes[n].Item)
			n++
		}
		f.changes = f.changes[n:]
		f.from = max(f.from, oldest)
	}
}

// size returns about how many bytes an item takes.
func size(it *kv.Item) int { return len(it.Key) + len(it.Value) }

// batch is a part of a Feed.
type batch struct {
	changes []change
	// revision is up to which the changes are complete, as the store has confirmed at a time.
	revision  int64
	confirmed time.Time
	// changed is closed at the next change.
	changed <-chan struct{}
}

// since returns the changes after a revision. It reports a *kv.StatusError like that of a store
// with a compacted history if some are missing, the store has come back from an older copy since, or
// the Feed is not active.
func (f *Feed) since(after int64) (batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.active || after < f.from || kv.Era(after) > kv.Era(f.revision) {
		return batch{}, &kv.StatusError{Call: "changes", Status: http.StatusGone}
	}
	b := batch{revision: f.revision, confirmed: f.confirmed}
	for i := range f.changes {
		if f.changes[i].Revision > after {
			b.changes = append(b.changes, f.changes[i])
		}
	}
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	b.changed = f.changed
	return b, nil
}
