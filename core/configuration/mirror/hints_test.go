package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/pause"
)

func TestHints(t *testing.T) {
	is := is.New(t)
	var h hints
	now := time.Unix(1000, 0)
	is.Equal(h.wait(now), watchWait) // no hint yet
	h.observe(7)
	h.receive(7, false, now)
	is.Equal(h.wait(now), hintedWatchWait)
	is.Equal(h.overdue(now, now.Add(hintTTL-1)), notAbandoned)
	h.receive(9, false, now) // a change that has not arrived yet
	is.Equal(h.overdue(now.Add(-time.Minute), now.Add(hintGrace-1)), notAbandoned)
	is.Equal(h.overdue(now.Add(-time.Minute), now.Add(hintGrace)), missedChange)
	is.Equal(h.overdue(now.Add(hintGrace), now.Add(2*hintGrace)), notAbandoned) // it has just begun
	h.receive(9, false, now.Add(hintGrace))
	is.Equal(h.overdue(now.Add(-time.Minute), now.Add(hintGrace)), missedChange) // since the first hint
	h.observe(9)
	is.Equal(h.overdue(now.Add(-time.Minute), now.Add(hintGrace)), notAbandoned)
	later := now.Add(hintGrace + hintTTL)
	is.Equal(h.wait(later), watchWait)
	is.Equal(h.overdue(now, later), hintsExpired)
	is.Equal(h.overdue(later.Add(-watchWait), later), notAbandoned) // it ends soon in any case
	h.receive(9, true, later)                                       // others rely on this process
	is.Equal(h.wait(later), watchWait)
	is.Equal(h.overdue(later.Add(-watchWait-responseTimeout), later), hintsExpired)
}

// silentStore answers the first watches; later its connections become silent, as when a
// network path is lost without a reset, until they are opened again.
type silentStore struct {
	silent  atomic.Bool
	targets atomic.Int64
	watches atomic.Int64
}

func (s *silentStore) Range(_ context.Context, prefix, _ string) (kv.Page, error) {
	if prefix == testOperatorPrefix {
		return kv.Page{Items: []kv.Item{config(3)}, Revision: 10}, nil
	}
	return kv.Page{Revision: 10}, nil
}

func (s *silentStore) StaleRange(ctx context.Context, prefix, after string) (kv.Page, error) {
	return s.Range(ctx, prefix, after)
}

func (s *silentStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kv.Page, error) {
	s.watches.Add(1)
	for left := wait; left > 0 || s.silent.Load(); left -= 10 * time.Millisecond {
		if n := s.targets.Load(); n > after && !s.silent.Load() {
			return kv.Page{Items: []kv.Item{entry("new", "10.0.0.1:80", "ready", n)}, Revision: n}, nil
		}
		if !pause.For(ctx, 10*time.Millisecond) {
			s.silent.Store(false) // the next connection works
			return kv.Page{}, ctx.Err()
		}
	}
	return kv.Page{Revision: after}, nil
}

// Guards against a silent connection that delays a change for the length of a watch.
func TestSilentWatchIsNoticedByHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentStore{}
		f := NewFollower(s, testFormats(), quiet())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		var event atomic.Int64
		event.Store(10)
		go func() {
			for pause.For(ctx, 200*time.Millisecond) {
				f.Hint(event.Load(), false)
			}
		}()
		time.Sleep(time.Minute)
		is.True(s.watches.Load() <= int64(time.Minute/hintedWatchWait)+2)
		s.silent.Store(true)
		s.targets.Store(11)
		time.Sleep(100 * time.Millisecond)
		event.Store(11) // the coordinator has seen it
		time.Sleep(2 * time.Second)
		is.Equal(len(f.Snapshot().Targets), 1)
		cancel()
		synctest.Wait()
	})
}

// Guards against long watches when no other process reports the store's revision.
func TestWatchesWaitBrieflyWithoutHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentStore{}
		f := NewFollower(s, testFormats(), quiet())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		f.Hint(10, false)
		time.Sleep(20 * time.Second)
		before := s.watches.Load()
		time.Sleep(20 * time.Second)
		is.Equal(s.watches.Load()-before, int64(20*time.Second/watchWait))
		// A silent connection delays a change for no longer than one wait.
		s.silent.Store(true)
		s.targets.Store(11)
		time.Sleep(watchWait + responseTimeout + time.Second)
		is.Equal(f.LastEventRevision(), int64(11))
		cancel()
		synctest.Wait()
	})
}

// Guards against a departed server that counts as present until a long watch ends.
func TestMissingTargetIsDroppedDuringALongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var down atomic.Bool
		left := false
		failed := errors.New("no answer")
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				page := kv.Page{Revision: 5}
				switch {
				case down.Load():
					return page, failed
				case prefix == testOperatorPrefix:
					page.Items = []kv.Item{config(3)}
				case prefix == testTargetPrefix && !left:
					page.Items = []kv.Item{entry("a", "10.0.0.1:80", "ready", 2)}
				}
				return page, nil
			},
			watch: func(int64) (kv.Page, error) {
				if down.Load() {
					return kv.Page{}, failed
				}
				return kv.Page{Revision: 5}, nil
			},
		}
		f := NewFollower(s, testFormats(), quiet())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		go func() {
			for pause.For(ctx, 200*time.Millisecond) {
				f.Hint(5, false)
			}
		}()
		time.Sleep(time.Second)
		is.Equal(len(f.Snapshot().Targets), 1)
		down.Store(true)
		time.Sleep(20 * time.Second) // the watch in progress ends
		left = true
		down.Store(false)
		time.Sleep(maxPause + maxPause/2 + reregisterGrace/2)
		is.Equal(len(f.Snapshot().Targets), 1) // it may still register again
		time.Sleep(reregisterGrace)
		is.Equal(len(f.Snapshot().Targets), 0)
		cancel()
		synctest.Wait()
	})
}

// Guards against a process that has read what all others have missed and reports nothing newer than its
// items: the newest change may be of a key that it does not read.
func TestReadIsReportedAsNewestChange(t *testing.T) {
	is := is.New(t)
	f := NewTargetFollower(&silentStore{}, testFormats(), quiet())
	f.replace([]kv.Item{entry("a", "10.0.0.1:80", "ready", 9)}, 12)
	is.Equal(f.LastEventRevision(), int64(12))
	f.apply(&kv.Page{Items: []kv.Item{entry("a", "10.0.0.1:80", "draining", 13)}, Revision: 14}, time.Now())
	is.Equal(f.LastEventRevision(), int64(13))
}
