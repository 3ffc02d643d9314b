package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/pause"
)

const (
	// hintedWatchWait is how long a watch waits while other processes report the store's
	// revision, so that a watch that misses a change is noticed without its end.
	hintedWatchWait = 12 * time.Second
	// hintTTL is how long such a report is valid: several changes of coordinators.
	hintTTL = 3 * time.Second
	// hintGrace is how long a change that others know may take to arrive over this
	// process's own watch, which batches changes.
	hintGrace = 600 * time.Millisecond
	// hintCheck is how often a watch of hintedWatchWait is checked.
	hintCheck = 300 * time.Millisecond
)

// hints decides how long a watch may wait, and when one in progress is abandoned, from
// the store revisions that other processes report.
//
// An open connection may fail silently, which is noticed only at the end of the wait. A
// process that receives several times a second the revision up to which others have seen
// changes knows at once when it has missed one. A few processes, the short watchers, wait
// as briefly as without hints, and so do all when hints stop: a revision is reported only
// by processes that had an answer from the store in the last seconds. The zero value has
// no hints. It is safe for concurrent use.
type hints struct {
	mu sync.Mutex
	// known is the revision up to which this process has seen the store's changes.
	known int64
	// receivedAt is when others last reported a revision; behindSince is since when that
	// has been higher than known, or zero.
	receivedAt, behindSince time.Time
	// short says that others rely on this process to see changes soon.
	short bool
}

// observe records up to which revision the store was seen.
func (h *hints) observe(revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known, h.behindSince = max(h.known, revision), time.Time{}
}

// receive records that another process has seen the change of a revision, and whether
// others rely on this process.
func (h *hints) receive(revision int64, short bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receivedAt, h.short = now, short
	if revision > h.known && h.behindSince.IsZero() {
		h.behindSince = now
	}
}

// revision returns up to which revision this process has seen the store's changes.
func (h *hints) revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// fresh reports whether others report the store's revision.
func (h *hints) fresh(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.receivedAt.IsZero() && now.Sub(h.receivedAt) < hintTTL
}

// wait returns how long a watch that begins now waits.
func (h *hints) wait(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.receivedAt) < hintTTL && !h.short {
		return hintedWatchWait
	}
	return watchWait
}

// overdue returns why a watch that began at the given time is abandoned, or notAbandoned.
// It is abandoned if it misses a change, or if it waits for longer than it would without
// hints and there are no hints any more. A watch that has just begun is given time to
// answer, so that a slow or rejecting store does not get calls at an ever higher rate.
func (h *hints) overdue(began, now time.Time) abandonReason {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.behindSince.IsZero() && now.Sub(h.behindSince) >= hintGrace && now.Sub(began) >= responseTimeout:
		return missedChange
	case (h.short || now.Sub(h.receivedAt) >= hintTTL) && now.Sub(began) >= watchWait+responseTimeout:
		return hintsExpired
	}
	return notAbandoned
}

// abandonReason says why a watch was ended before its wait was over.
type abandonReason string

const (
	// notAbandoned means that the watch was not ended.
	notAbandoned abandonReason = ""
	// missedChange means that others know a change that the watch has not delivered.
	missedChange abandonReason = "others know a change that the watch has not delivered"
	// hintsExpired means that no process reports any more whether the watch misses a change.
	hintsExpired abandonReason = "no other process reports the store's revision any more"
)

// watchAbandonedError is the error of a watch that was ended before its wait was over.
type watchAbandonedError struct {
	Reason abandonReason
}

// Error returns the reason.
func (e *watchAbandonedError) Error() string { return "watch given up: " + string(e.Reason) }

// recordSeen records up to which revision the store is known, and its newest change.
func (f *Follower) recordSeen(seen []kv.Item) {
	f.hints.observe(f.mirror.Revision())
	for i := range seen {
		f.event.Store(max(f.event.Load(), seen[i].Revision))
	}
}

// superviseWatch ends a watch that is overdue. The result holds the reason, or nil.
func (f *Follower) superviseWatch(ctx context.Context, end context.CancelFunc, began time.Time) *atomic.Pointer[abandonReason] {
	var abandoned atomic.Pointer[abandonReason]
	go func() {
		for pause.For(ctx, hintCheck) {
			if reason := f.hints.overdue(began, time.Now()); reason != notAbandoned {
				abandoned.Store(&reason)
				end()
			}
		}
	}()
	return &abandoned
}

// storeFresh is how recently the store must have answered for its newest change to be
// reported to others.
const storeFresh = watchWait + responseTimeout + hintGrace

// LastEventRevision returns the revision of the newest change that was seen, or 0 if the
// store has not answered for a while: other processes rely on it to notice changes that
// they have missed.
func (f *Follower) LastEventRevision() int64 {
	if f.Age() > storeFresh {
		return 0
	}
	return f.event.Load()
}

// Hint records that another process has seen the change of a revision, its
// LastEventRevision. Watches wait for longer while such hints arrive, unless short says
// that this process is one of the few that the hints come from.
func (f *Follower) Hint(event int64, short bool) {
	if event > 0 {
		f.hints.receive(event, short || f.feeds.serves(), time.Now())
	}
}
