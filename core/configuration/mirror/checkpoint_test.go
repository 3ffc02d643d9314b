package mirror

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

// memoryStore keeps one key.
type memoryStore struct {
	mu     sync.Mutex
	value  []byte
	writes int
}

func (m *memoryStore) StaleGet(context.Context, string) (kv.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.value == nil {
		return kv.Item{}, &kv.StatusError{Status: 404}
	}
	return kv.Item{Key: checkpointKey, Value: m.value}, nil
}

func (m *memoryStore) Set(_ context.Context, _ string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value, m.writes = value, m.writes+1
	return nil
}

// checkpointScript is a store with a configuration, an entry that is registered at revision 20, and
// a key that is not followed.
func checkpointScript(reads *atomic.Int64) *script {
	return &script{
		rangeOf: func(prefix string) (kv.Page, error) {
			reads.Add(1)
			if prefix == testOperatorPrefix {
				return kv.Page{Items: []kv.Item{config(3)}, Revision: 10}, nil
			}
			return kv.Page{Revision: 10}, nil
		},
		watch: func(after int64) (kv.Page, error) {
			if after < 20 {
				other := kv.Item{Key: "elsewhere", Value: []byte("x"), Revision: 19}
				return kv.Page{Items: []kv.Item{other, entry("a", "10.0.0.1:80", "ready", 20)}, Revision: 20}, nil
			}
			return kv.Page{Revision: after}, nil
		},
	}
}

// follow runs a Follower with checkpoints for some seconds.
func follow(t *testing.T, s *script, store checkpointStore, first bool) *Follower {
	t.Helper()
	f := NewFollower(s, testFormats(), quiet())
	f.UseCheckpoints(store, true)
	f.SetFeeds(nil, first, first)
	runFor(t, f, 3*checkpointInterval)
	return f
}

// runFor runs a Follower for a while.
func runFor(t *testing.T, f *Follower, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	time.Sleep(d)
	cancel()
	synctest.Wait()
}

// Guards against a restart of all processes in which each reads the whole state, and against a
// state that differs from the one that was read.
func TestStartFromACheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store memoryStore
		var reads atomic.Int64
		before := follow(t, checkpointScript(&reads), &store, true)
		is.Equal(store.writes, 1) // nothing has changed since
		is.True(reads.Load() > 0)
		reads.Store(0)
		listened := 0
		after := NewFollower(checkpointScript(&reads), testFormats(), quiet())
		after.UseCheckpoints(&store, true)
		after.Listen("elsewhere", func(items []kv.Item, _ bool) { listened += len(items) })
		runFor(t, after, time.Second)
		is.Equal(reads.Load(), int64(0))
		is.Equal(after.Snapshot().Targets, before.Snapshot().Targets)
		is.Equal(after.Snapshot().Config, before.Snapshot().Config)
		is.Equal(after.Snapshot().Revision, int64(20))
		is.Equal(listened, 0) // the writer does not follow that key
	})
}

// Guards against checkpoints that each process writes.
func TestOnlyTheFirstFeedWritesCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memoryStore
		var reads atomic.Int64
		follow(t, checkpointScript(&reads), &store, false)
		is.New(t).Equal(store.writes, 0)
	})
}

// failingStore answers no read.
type failingStore struct{ memoryStore }

func (*failingStore) StaleGet(context.Context, string) (kv.Item, error) {
	return kv.Item{}, errors.New("no answer")
}

// Guards against a process that does not start, or starts empty, because the checkpoint is missing,
// damaged or not to be read.
func TestWithoutACheckpointAllIsRead(t *testing.T) {
	empty, err := (&checkpoint{}).encode()
	is.New(t).NoErr(err)
	for name, store := range map[string]checkpointStore{
		"none":      &memoryStore{},
		"damaged":   &memoryStore{value: []byte("no checkpoint")},
		"cut":       &memoryStore{value: empty[:len(empty)/2]},
		"empty":     &memoryStore{value: empty},
		"no answer": &failingStore{},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var reads atomic.Int64
				f := follow(t, checkpointScript(&reads), store, false)
				is.True(reads.Load() > 0)
				is.Equal(len(f.Snapshot().Targets), 1)
			})
		})
	}
}

// Guards against a process that keeps an old state because the history since its checkpoint is gone.
func TestCheckpointOlderThanTheHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store memoryStore
		var reads atomic.Int64
		follow(t, checkpointScript(&reads), &store, true)
		reads.Store(0)
		s := checkpointScript(&reads)
		rangeOf := s.rangeOf
		s.rangeOf = func(prefix string) (kv.Page, error) {
			page, err := rangeOf(prefix)
			page.Revision = 50
			return page, err
		}
		s.watch = func(after int64) (kv.Page, error) {
			if after < 50 {
				return kv.Page{}, &kv.StatusError{Status: 410}
			}
			return kv.Page{Revision: after}, nil
		}
		f := follow(t, s, &store, false)
		is.True(reads.Load() > 0)
		is.Equal(len(f.Snapshot().Targets), 0)
	})
}

// Guards against a follower of the targets alone that takes over the rest of a checkpoint.
func TestTargetsAloneOfACheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store memoryStore
		var reads atomic.Int64
		follow(t, checkpointScript(&reads), &store, true)
		reads.Store(0)
		f := NewTargetFollower(checkpointScript(&reads), testFormats(), quiet())
		f.UseCheckpoints(&store, false)
		runFor(t, f, time.Second)
		is.Equal(reads.Load(), int64(0))
		is.Equal(f.Snapshot().Config.Version, int64(0))
		is.Equal(len(f.Snapshot().Targets), 1)
	})
}
