package mirror

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenashift/core/configuration/changefeed"
	"verbenashift/core/configuration/kv"
)

const (
	// maxFeedAge is how long ago the store may have confirmed what a feed serves: one watch of
	// the process that serves it.
	maxFeedAge = watchWait + responseTimeout
	// feedRetryDelay is how long a feed that has failed is left alone: longer than a watch of each
	// of the others, after which the store is used.
	feedRetryDelay = 4 * maxFeedAge
)

// metricFeeds counts the answers of feeds by outcome.
var metricFeeds = expvar.NewMap("feed-answers-by-outcome")

// feeds are the processes that a Follower may get the store's changes from. The zero value has
// none. It is safe for concurrent use.
type feeds struct {
	mu sync.Mutex
	// addrs are in the order in which they are tried; serving says that this process is a feed.
	addrs   []string
	serving bool
	// firstOfAll says that it is the first of all.
	firstOfAll bool
	// failedUntil holds until when feeds that have failed are left alone.
	failedUntil map[string]time.Time
	client      feedClient
	// dial returns a client of the feed at an address; nil means changefeed.NewClient.
	dial func(addr string) feedClient
}

// feedClient follows one feed.
type feedClient interface {
	Addr() string
	// Watch returns the changes after a revision, and how long ago the store confirmed them.
	Watch(ctx context.Context, after int64, wait time.Duration) (kv.Page, time.Duration, error)
	Close()
}

func newFeedClient(addr string) feedClient { return changefeed.NewClient(addr) }

// set sets the addresses of the feeds.
func (s *feeds) set(addrs []string, serving, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving, s.firstOfAll = serving, first
	kept := slices.DeleteFunc(slices.Clone(s.addrs), func(a string) bool { return !slices.Contains(addrs, a) })
	// Followers begin at different feeds, and new ones come last.
	for _, i := range rand.Perm(len(addrs)) {
		if !slices.Contains(kept, addrs[i]) {
			kept = append(kept, addrs[i])
		}
	}
	s.addrs = kept
	for addr := range s.failedUntil {
		if !slices.Contains(addrs, addr) {
			delete(s.failedUntil, addr)
		}
	}
}

// serves reports whether this process is a feed.
func (s *feeds) serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving
}

// first reports whether this process is the first feed of all.
func (s *feeds) first() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving && s.firstOfAll
}

// next returns the client of the first feed that has not failed lately, or nil if this process
// has to watch the store itself.
func (s *feeds) next(now time.Time) feedClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := ""
	if !s.serving {
		if i := slices.IndexFunc(s.addrs, func(a string) bool { return !now.Before(s.failedUntil[a]) }); i >= 0 {
			at = s.addrs[i]
		}
	}
	if s.client != nil && s.client.Addr() != at {
		s.client.Close()
		s.client = nil
	}
	if at != "" && s.client == nil {
		dial := newFeedClient
		if s.dial != nil {
			dial = s.dial
		}
		s.client = dial(at)
	}
	return s.client
}

// fail leaves a feed alone for a while.
func (s *feeds) fail(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedUntil == nil {
		s.failedUntil = map[string]time.Time{}
	}
	s.failedUntil[addr] = now.Add(feedRetryDelay)
}

// retry makes all feeds be tried again.
func (s *feeds) retry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.failedUntil)
}

// SetFeeds sets the addresses of the feeds that this process may follow in place of the store, and
// whether it is one itself and others rely on it; first says that it is the first of all, which
// writes checkpoints. It follows one only while hints arrive, since these show whether a feed
// misses a change.
func (f *Follower) SetFeeds(addrs []string, serving, first bool) {
	f.feeds.set(addrs, serving, first)
	if serving {
		// Followers turn to it at once.
		f.feed.Start(f.hints.revision(), f.confirmed())
	}
}

// Feed returns the feed in which this process serves the store's changes while it is one.
func (f *Follower) Feed() *changefeed.Feed { return &f.feed }

// watchFeed waits for changes from a feed once. A feed that fails, that lacks a change, or whose
// process has lost the store is left alone for a while.
func (f *Follower) watchFeed(ctx context.Context, c feedClient) {
	began := time.Now()
	wait := f.wait(watchWait, began)
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	abandoned := f.superviseWatch(ctx, cancel, began)
	page, age, err := c.Watch(ctx, f.mirror.Revision(), wait)
	reason := ""
	switch {
	case abandoned.Load() != nil:
		reason = string(*abandoned.Load())
	case err != nil:
		reason = err.Error()
	case age > maxFeedAge:
		reason = "its process has lost the store"
	case kv.Era(page.Revision) != kv.Era(f.mirror.Revision()):
		reason = "it is of another era of the store"
	}
	if reason != "" {
		f.unverified = true
		metricFeeds.Add("failed", 1)
		f.feeds.fail(c.Addr(), time.Now())
		f.log.Info("feed given up", "feed", c.Addr(), "reason", reason, "age-ms", age.Milliseconds(), "revision", f.mirror.Revision())
		return
	}
	metricFeeds.Add("ok", 1)
	f.apply(&page, time.Now().Add(-age))
}
