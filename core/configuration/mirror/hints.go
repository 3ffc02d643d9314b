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
	// hintedWatchWait is how long a watch waits while others tell how far the store has come, so
	// that one that hides a change is noticed without it.
	hintedWatchWait = 12 * time.Second
	// hintTTL is for how long a word on that counts: several changes of stewards.
	hintTTL = 3 * time.Second
	// hintGrace is how long a change that others know may take to come over the own
	// watch, in which changes are gathered.
	hintGrace = 600 * time.Millisecond
	// hintCheck is how often a watch of calmWait is looked at.
	hintCheck = 300 * time.Millisecond
)

// hints decides how long a watch may wait, and when one under way is given up, by what
// other processes tell of the store's revision.
//
// An open connection may go silent for good, and nothing but the end of the wait shows it.
// A process that hears several times a second up to which revision others have seen
// changes knows at once when it has missed one. A few processes, the short watchers, wait as briefly
// as without hints, and so do all when hints stop: a revision is told only by who has heard
// the store in the last seconds. The zero value has none. It is safe for concurrent use.
type hints struct {
	mu sync.Mutex
	// known is the revision up to which this process has seen the store.
	known int64
	// receivedAt is when others told last how far they have; behindSince since when that is
	// further than known, or zero.
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

// receive records that another process has seen a change of a revision, and whether others
// rely on this one.
func (h *hints) receive(revision int64, short bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receivedAt, h.short = now, short
	if revision > h.known && h.behindSince.IsZero() {
		h.behindSince = now
	}
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

// overdue says why a watch that has begun at a time is given up, or that it is not: it
// hides a change, or it waits for longer than it would without hints, and there are none
// any more. A watch that has just begun is left time to answer, so that a store that is
// slow, or that turns this process away, is not asked ever more often.
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

// abandonReason says why a watch was ended before its time.
type abandonReason string

const (
	// notAbandoned is for one that was not.
	notAbandoned abandonReason = ""
	// missedChange says that others know a change that has not come over it.
	missedChange abandonReason = "others know a change that it hides"
	// hintsExpired says that nobody tells any more whether it hides one.
	hintsExpired abandonReason = "nobody tells how far the store has come"
)

// watchAbandonedError is a watch that was ended before its time.
type watchAbandonedError struct {
	Reason abandonReason
}

// Error says why.
func (e *watchAbandonedError) Error() string { return "watch given up: " + string(e.Reason) }

// recordSeen records how far the store is known, and its newest change.
func (f *Follower) recordSeen(seen []kv.Item) {
	f.hints.observe(f.mirror.Revision())
	for i := range seen {
		f.event.Store(max(f.event.Load(), seen[i].Revision))
	}
}

// superviseWatch ends a watch that is overdue before its wait is over. The result says why, or nil.
func (f *Follower) superviseWatch(ctx context.Context, end context.CancelFunc, began time.Time) *atomic.Pointer[abandonReason] {
	var gaveUp atomic.Pointer[abandonReason]
	go func() {
		for pause.For(ctx, hintCheck) {
			if reason := f.hints.overdue(began, time.Now()); reason != notAbandoned {
				gaveUp.Store(&reason)
				end()
			}
		}
	}()
	return &gaveUp
}

// storeFresh is how recently the store must have answered for its newest change to be
// worth telling.
const storeFresh = watchWait + responseTimeout + hintGrace

// LastEventRevision returns the revision of the newest change that was seen, or 0 if the store has not
// answered for a while: whoever is told relies on it to notice what it misses itself.
func (f *Follower) LastEventRevision() int64 {
	if f.Age() > storeFresh {
		return 0
	}
	return f.event.Load()
}

// Hint tells that another process has seen a change of a revision, by its Event. Watches
// wait for longer while such hints come, unless this process is one of the few whose own
// word the hints come from.
func (f *Follower) Hint(event int64, short bool) {
	if event > 0 {
		f.hints.receive(event, short, time.Now())
	}
}
