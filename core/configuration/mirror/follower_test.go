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

// script is a store whose answers a test defines.
type script struct {
	rangeOf func(prefix string) (kv.Page, error)
	// staleRangeOf is rangeOf if it is nil; current counts the reads that were not stale.
	staleRangeOf func(prefix string) (kv.Page, error)
	current      atomic.Int64
	watch        func(after int64) (kv.Page, error)
}

func (s *script) Range(_ context.Context, prefix, _ string) (kv.Page, error) {
	s.current.Add(1)
	return s.rangeOf(prefix)
}

func (s *script) StaleRange(_ context.Context, prefix, _ string) (kv.Page, error) {
	if s.staleRangeOf != nil {
		return s.staleRangeOf(prefix)
	}
	return s.rangeOf(prefix)
}

func (s *script) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kv.Page, error) {
	page, err := s.watch(after)
	if err == nil && len(page.Items) == 0 {
		pause.For(ctx, wait)
		return page, ctx.Err()
	}
	return page, err
}

// targetsSoon follows a store for a second and returns how many targets are known
// then.
func targetsSoon(t *testing.T, s *script) int {
	t.Helper()
	f := NewFollower(s, testFormats(), quiet())
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	time.Sleep(time.Second)
	cancel()
	synctest.Wait()
	return len(f.Snapshot().Targets)
}

// Guards against missing a server that registers between two pages of a read.
func TestWatchGoesOnFromTheFirstPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asOf := int64(10)
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				asOf++
				if prefix == testOperatorPrefix {
					return kv.Page{Items: []kv.Item{config(3)}, Revision: asOf}, nil
				}
				return kv.Page{Revision: asOf}, nil
			},
			watch: func(after int64) (kv.Page, error) {
				if after < 12 {
					return kv.Page{Items: []kv.Item{entry("between", "10.0.0.1:80", "ready", 12)}, Revision: 13}, nil
				}
				return kv.Page{Revision: 13}, nil
			},
		}
		is.Equal(targetsSoon(t, s), 1)
	})
}

// Guards against a state of different ages in which a change is missing, and against old states
// where entries that are missing count as removed.
func TestOldStatesAreReadAtTheStartOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		compacted := false
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				if prefix == testTargetPrefix {
					return kv.Page{Items: []kv.Item{entry("a", "10.0.0.1:80", "ready", 2), entry("b", "10.0.0.2:80", "ready", 8)}, Revision: 9}, nil
				}
				return kv.Page{Revision: 9}, nil
			},
			staleRangeOf: func(prefix string) (kv.Page, error) {
				switch prefix {
				case testOperatorPrefix:
					return kv.Page{Items: []kv.Item{config(3)}, Revision: 9}, nil
				case testTargetPrefix:
					return kv.Page{Items: []kv.Item{entry("a", "10.0.0.1:80", "ready", 2)}, Revision: 7}, nil
				}
				return kv.Page{Revision: 9}, nil
			},
		}
		s.watch = func(after int64) (kv.Page, error) {
			switch {
			case after < 9:
				return kv.Page{Items: []kv.Item{entry("b", "10.0.0.2:80", "ready", 8)}, Revision: 9}, nil
			case !compacted:
				compacted = true
				return kv.Page{}, &kv.StatusError{Status: 410}
			}
			return kv.Page{Revision: 9}, nil
		}
		is.Equal(targetsSoon(t, s), 2)
		is.True(compacted)
		is.Equal(s.current.Load(), int64(3))
	})
}

// Guards against retaining entries that were removed while the history was compacted.
func TestCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		compacted := false
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				page := kv.Page{Revision: 5}
				switch {
				case prefix == testOperatorPrefix:
					page.Items = []kv.Item{config(3)}
				case prefix == testTargetPrefix && !compacted:
					page.Items = []kv.Item{entry("a", "10.0.0.1:80", "ready", 2)}
				}
				return page, nil
			},
		}
		s.watch = func(int64) (kv.Page, error) {
			if !compacted {
				compacted = true
				return kv.Page{}, &kv.StatusError{Status: 410}
			}
			return kv.Page{Revision: 5}, nil
		}
		is.Equal(targetsSoon(t, s), 0)
	})
}

// Guards against losing known entries during an outage, or reporting a wrong age.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var down atomic.Bool
		var reads atomic.Int32
		failed := errors.New("no answer")
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				if down.Load() {
					return kv.Page{}, failed
				}
				reads.Add(1)
				if prefix == testOperatorPrefix {
					return kv.Page{Items: []kv.Item{config(3)}, Revision: 5}, nil
				}
				return kv.Page{Revision: 5}, nil
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
		time.Sleep(time.Second)
		first := reads.Load()
		down.Store(true)
		time.Sleep(10 * time.Second)
		is.Equal(f.Snapshot().Config.Version, int64(3))
		is.True(f.Age() > 5*time.Second)
		down.Store(false)
		time.Sleep(2 * maxPause)
		is.Equal(reads.Load(), 2*first)
		is.True(f.Age() < 2*maxPause)
		cancel()
		synctest.Wait()
	})
}

// Guards against a call to the store for each of many changes, and against a delay of a single
// change.
func TestFrequentChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var revision, calls atomic.Int64
		revision.Store(5)
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				if prefix == testOperatorPrefix {
					return kv.Page{Items: []kv.Item{config(3)}, Revision: 5}, nil
				}
				return kv.Page{Revision: 5}, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		s.watch = func(after int64) (kv.Page, error) {
			calls.Add(1)
			for range int(watchWait / (10 * time.Millisecond)) {
				if r := revision.Load(); r > after {
					return kv.Page{Items: []kv.Item{entry("s", "10.0.0.1:80", "ready", r)}, Revision: r}, nil
				}
				if !pause.For(ctx, 10*time.Millisecond) {
					return kv.Page{}, ctx.Err()
				}
			}
			return kv.Page{Revision: after}, errors.New("cut") // not a page without changes: that would be waited for twice
		}
		f := NewFollower(s, testFormats(), quiet())
		go f.Run(ctx)
		for range 80 {
			revision.Add(1)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(calls.Load() <= int64(4*time.Second/maxBatchDelay)+4)
		time.Sleep(2 * batchResetAfter)
		seen := f.LastEventRevision()
		revision.Add(1)
		time.Sleep(20 * time.Millisecond)
		is.Equal(f.LastEventRevision(), seen+1)
		revision.Add(1)
		time.Sleep(batchDelay + 20*time.Millisecond)
		is.Equal(f.LastEventRevision(), seen+2) // the batch delay is short for the next change
		cancel()
		synctest.Wait()
	})
}
