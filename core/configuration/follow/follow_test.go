package follow_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/store"
)

// fakeStore holds the head of the configuration. While it is down, each call fails.
type fakeStore struct {
	watch chan config.Config

	mu   sync.Mutex
	head config.Config
	down bool
	gets int
	// restored says that the store has come back from an older copy.
	restored bool
}

// set changes what the store holds and whether it is down.
func (s *fakeStore) set(head config.Config, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head, s.down = head, down
}

// reads returns how often the store was read.
func (s *fakeStore) reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gets
}

func (s *fakeStore) kv(c config.Config) store.KV {
	data, _ := config.Encode(c)
	it := store.KV{Key: intent.HeadKey, Value: data, Version: int64(c.Revision)}
	if s.restored {
		it.Era = 1
	}
	return it
}

func (s *fakeStore) Get(context.Context, string) (store.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	if s.down {
		return store.KV{}, &store.UnavailableError{Op: "range"}
	}
	return s.kv(s.head), nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ int64, f func(store.KV)) error {
	for {
		select {
		case c := <-s.watch:
			f(s.kv(c))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func revision(n uint64) config.Config {
	return config.Config{Revision: n, ChangeID: "c"}
}

func newFollower(s *fakeStore) *follow.Follower {
	return follow.New(follow.Config{
		Store: s, Refresh: time.Minute, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Electorate: []string{"a", "b", "c"},
	})
}

// Guards against a node that restarts while the store is down and takes the
// configuration of a peer that was partitioned before the last change: a revoked
// token would be accepted again. It needs answers from a majority first.
func TestStartInAnOutageNeedsAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFollower(&fakeStore{down: true})
		now := time.Now()
		f.Offer(revision(4))
		f.AddAnswer(config.PeerAnswer{From: "a", Revision: 4, RequestedAt: now})
		is.True(f.Index() == nil)
		is.Equal(f.Revision(), uint64(0)) // it reports no revision
		is.True(f.Reason() != "")
		f.AddAnswer(config.PeerAnswer{From: "b", Revision: 5, RequestedAt: now})
		is.True(f.Index() == nil) // revision 5 is still to be fetched
		f.Offer(revision(5))
		is.Equal(f.Revision(), uint64(5))
		is.Equal(len(f.History()), 1) // revision 4 was never in force
	})
}

// Guards against an older revision that arrives after a newer one is in force,
// from any source.
func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{head: revision(7), watch: make(chan config.Config)}
		f := newFollower(s)
		var mu sync.Mutex
		var seen []uint64
		f.OnChange(func(x *config.Index) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, x.Revision())
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		synctest.Wait()
		s.watch <- revision(8)
		s.watch <- revision(6)
		synctest.Wait()
		is.True(!f.Offer(revision(7)))
		cancel()
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		is.Equal(seen, []uint64{7, 8})
	})
}

// Guards against retries without backoff during a long outage of the store, after
// which all nodes would call it at once. The pauses grow, and the store's
// configuration is taken once it answers.
func TestStoreIsQueriedSeldomInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{down: true, watch: make(chan config.Config)}
		f := newFollower(s)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(2 * time.Minute)
		is.True(s.reads() > 5 && s.reads() < 40)
		s.set(revision(3), false)
		time.Sleep(time.Minute)
		is.Equal(f.Revision(), uint64(3))
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that starts with an older configuration than the one in force because the
// store was restored from an older copy, and against one that does not start without its peers.
func TestStartFromARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		start := func() *follow.Follower {
			f := newFollower(&fakeStore{head: revision(5), restored: true, watch: make(chan config.Config)})
			go f.Run(ctx)
			time.Sleep(time.Second)
			is.True(f.Index() == nil)
			return f
		}
		f := start()
		f.AddAnswer(config.PeerAnswer{From: "b", Revision: 7, RequestedAt: time.Now()})
		f.Offer(revision(7))
		time.Sleep(config.MaxAnswerAge)
		is.Equal(f.Revision(), uint64(7))
		is.Equal(len(f.History()), 1)
		alone := start()
		time.Sleep(config.MaxAnswerAge)
		is.Equal(alone.Revision(), uint64(5))
		cancel()
		synctest.Wait()
	})
}
