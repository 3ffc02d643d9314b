package mirror

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/changefeed"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/pause"
)

// scriptedFeed is a feed whose answers a test defines.
type scriptedFeed struct {
	addr  string
	watch func(after int64) (kv.Page, time.Duration, error)
	calls *atomic.Int64
}

func (s *scriptedFeed) Addr() string { return s.addr }
func (s *scriptedFeed) Close()       {}

func (s *scriptedFeed) Watch(ctx context.Context, after int64, wait time.Duration) (kv.Page, time.Duration, error) {
	s.calls.Add(1)
	page, age, err := s.watch(after)
	for end := time.Now().Add(wait); err == nil && len(page.Items) == 0 && time.Now().Before(end); {
		if !pause.For(ctx, 10*time.Millisecond) {
			return page, age, ctx.Err()
		}
		page, age, err = s.watch(after)
	}
	return page, age, err
}

// followFeeds runs a Follower of two feeds with the same answers, while hints name a revision. It
// returns the Follower and counts of the store's and the feeds' watches.
func followFeeds(t *testing.T, hinted *atomic.Int64, watch func(after int64) (kv.Page, time.Duration, error)) (f *Follower, ofStore, ofFeeds *atomic.Int64) {
	t.Helper()
	ofStore, ofFeeds = new(atomic.Int64), new(atomic.Int64)
	store := &script{
		rangeOf: func(prefix string) (kv.Page, error) {
			if prefix == testOperatorPrefix {
				return kv.Page{Items: []kv.Item{config(3)}, Revision: 5}, nil
			}
			return kv.Page{Revision: 5}, nil
		},
		watch: func(after int64) (kv.Page, error) {
			ofStore.Add(1)
			if now := hinted.Load(); now > after {
				return kv.Page{Items: []kv.Item{entry("s", "10.0.0.1:80", "ready", now)}, Revision: now}, nil
			}
			return kv.Page{Revision: after}, nil
		},
	}
	f = NewFollower(store, testFormats(), quiet())
	f.feeds.dial = func(addr string) feedClient {
		return &scriptedFeed{addr, func(after int64) (kv.Page, time.Duration, error) {
			return watch(after)
		}, ofFeeds}
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f.SetFeeds([]string{"a", "b"}, false, false)
	go func() {
		for pause.For(ctx, 200*time.Millisecond) {
			f.Hint(hinted.Load(), false)
		}
	}()
	go f.Run(ctx)
	return f, ofStore, ofFeeds
}

// Guards against calls to the store for each change by each process.
func TestChangesComeFromAFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var revision atomic.Int64
		revision.Store(5)
		f, ofStore, ofFeeds := followFeeds(t, &revision, func(after int64) (kv.Page, time.Duration, error) {
			if now := revision.Load(); now > after {
				return kv.Page{Items: []kv.Item{entry("s", "10.0.0.1:80", "ready", now)}, Revision: now}, 0, nil
			}
			return kv.Page{Revision: after}, 0, nil
		})
		time.Sleep(15 * time.Second) // the watch that was begun before the first hint has ended
		before := ofStore.Load()
		for range 60 {
			revision.Add(1)
			time.Sleep(time.Second)
		}
		is.Equal(ofStore.Load(), before)
		is.True(ofFeeds.Load() >= 30)
		is.Equal(len(f.Snapshot().Targets), 1)
		is.True(f.Age() <= watchWait+time.Second)
	})
}

// Guards against a process that goes on with an old state because its feed is dead, lacks a change,
// misses one without noticing, or has itself lost the store.
func TestFailingFeedsAreLeft(t *testing.T) {
	for name, watch := range map[string]func(after int64) (kv.Page, time.Duration, error){
		"dead":               func(int64) (kv.Page, time.Duration, error) { return kv.Page{}, 0, errors.New("refused") },
		"lacks a change":     func(int64) (kv.Page, time.Duration, error) { return kv.Page{}, 0, &kv.StatusError{Status: 410} },
		"is of another era":  func(int64) (kv.Page, time.Duration, error) { return kv.Page{Revision: at(1, 50)}, 0, nil },
		"misses a change":    func(after int64) (kv.Page, time.Duration, error) { return kv.Page{Revision: after}, 0, nil },
		"has lost the store": func(after int64) (kv.Page, time.Duration, error) { return kv.Page{Revision: after}, time.Minute, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var revision atomic.Int64
				revision.Store(5)
				f, _, _ := followFeeds(t, &revision, watch)
				time.Sleep(15 * time.Second)
				for range 5 {
					revision.Add(1)
					time.Sleep(5 * time.Second)
					is.True(f.event.Load() >= revision.Load())
				}
			})
		})
	}
}

// Guards against a process that follows a feed whose own process has lost the store: that shows only
// in the age of its answers as long as nothing changes.
func TestFeedThatHasLostTheStoreIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var revision atomic.Int64
		revision.Store(5)
		_, ofStore, ofFeeds := followFeeds(t, &revision, func(after int64) (kv.Page, time.Duration, error) {
			return kv.Page{Revision: after}, time.Minute, nil
		})
		time.Sleep(time.Minute)
		is.True(ofFeeds.Load() > 0)
		is.True(ofStore.Load() >= 3)
	})
}

// Guards against feeds that are followed while nobody tells whether they miss a change.
func TestFeedsNeedHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var none atomic.Int64
		_, ofStore, ofFeeds := followFeeds(t, &none, func(after int64) (kv.Page, time.Duration, error) {
			return kv.Page{Revision: after}, 0, nil
		})
		time.Sleep(10 * time.Second)
		is.Equal(ofFeeds.Load(), int64(0))
		is.True(ofStore.Load() > 2)
	})
}

// Guards against a process that follows others although they rely on it.
func TestAFeedWatchesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var revision atomic.Int64
		revision.Store(5)
		f, ofStore, ofFeeds := followFeeds(t, &revision, func(after int64) (kv.Page, time.Duration, error) {
			return kv.Page{Revision: after}, 0, nil
		})
		f.SetFeeds([]string{"a", "b"}, true, false)
		time.Sleep(15 * time.Second)
		before := ofStore.Load()
		time.Sleep(10 * time.Second)
		is.True(ofStore.Load() > before)
		is.Equal(ofFeeds.Load(), int64(0))
	})
}

// Guards against followers that turn to the store because the process that they are to follow is
// still in a watch that it began before it knew.
func TestAFeedServesAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	watching := make(chan struct{}, 1)
	f := NewFollower(&script{
		rangeOf: func(prefix string) (kv.Page, error) {
			if prefix == testOperatorPrefix {
				return kv.Page{Items: []kv.Item{config(3)}, Revision: 5}, nil
			}
			return kv.Page{Revision: 5}, nil
		},
		watch: func(int64) (kv.Page, error) {
			watching <- struct{}{}
			<-ctx.Done()
			return kv.Page{}, ctx.Err()
		},
	}, testFormats(), quiet())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		// It returns when the listener is closed.
		_ = changefeed.Serve(l, f.Feed())
	}()
	c := changefeed.NewClient(l.Addr().String())
	defer c.Close()
	go f.Run(ctx)
	<-watching
	_, _, err = c.Watch(ctx, 5, 0)
	is.True(err != nil)
	f.SetFeeds(nil, true, false)
	_, _, err = c.Watch(ctx, 5, 0)
	is.NoErr(err)
	_, _, err = c.Watch(ctx, 4, 0)
	is.True(err != nil)
}

// Guards against followers that all read the whole state when the history of the store is gone: the
// feed knows what has changed meanwhile, and passes it on.
func TestFeedOutlivesACompaction(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var compacted atomic.Bool
	watching := make(chan struct{}, 8)
	f := NewFollower(&script{
		rangeOf: func(prefix string) (kv.Page, error) {
			revision := int64(5)
			if compacted.Load() {
				revision = 9
			}
			switch {
			case prefix == testOperatorPrefix:
				return kv.Page{Items: []kv.Item{config(3)}, Revision: revision}, nil
			case prefix == testTargetPrefix && !compacted.Load():
				return kv.Page{Items: []kv.Item{entry("a", "10.0.0.1:80", "ready", 4)}, Revision: revision}, nil
			case prefix == testTargetPrefix:
				return kv.Page{Items: []kv.Item{entry("b", "10.0.0.2:80", "ready", 8)}, Revision: revision}, nil
			}
			return kv.Page{Revision: revision}, nil
		},
		watch: func(after int64) (kv.Page, error) {
			if after < 9 && compacted.Load() {
				return kv.Page{}, &kv.StatusError{Status: 410}
			}
			watching <- struct{}{}
			if after < 9 {
				for !compacted.Load() {
					if !pause.For(ctx, time.Millisecond) {
						return kv.Page{}, ctx.Err()
					}
				}
				return kv.Page{}, &kv.StatusError{Status: 410}
			}
			<-ctx.Done()
			return kv.Page{}, ctx.Err()
		},
	}, testFormats(), quiet())
	f.UseCheckpoints(&memoryStore{}, true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		// It returns when the listener is closed.
		_ = changefeed.Serve(l, f.Feed())
	}()
	go f.Run(ctx)
	<-watching
	f.SetFeeds(nil, true, false)
	c := changefeed.NewClient(l.Addr().String())
	defer c.Close()
	compacted.Store(true)
	<-watching
	page, _, err := c.Watch(ctx, 5, 0)
	is.NoErr(err)
	is.Equal(page.Revision, int64(9))
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(3), entry("a", "10.0.0.1:80", "ready", 4)}, 5)
	m.Apply(page.Items, page.Revision)
	is.Equal(len(m.Snapshot().Targets), 1)
	is.Equal(m.Snapshot().Targets["b"].Addr.String(), "10.0.0.2:80")
}

// Guards against a call to the store for each change by each process, for as long as failed feeds are
// left alone, after all have read a store that was restored.
func TestFeedsAreFollowedAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var era, counter, ofStore, ofFeeds atomic.Int64
		counter.Store(5)
		now := func() int64 { return at(era.Load(), counter.Load()) }
		read := func(prefix string) (kv.Page, error) {
			if prefix == testOperatorPrefix {
				return kv.Page{Items: []kv.Item{inEra(era.Load(), config(3))}, Revision: now()}, nil
			}
			return kv.Page{Revision: now()}, nil
		}
		// watch answers like a store or a feed that knows its era.
		watch := func(after int64) (kv.Page, error) {
			switch {
			case kv.Era(after) != era.Load():
				return kv.Page{}, &kv.StatusError{Status: 410}
			case after < now():
				return kv.Page{Items: []kv.Item{inEra(era.Load(), entry("s", "10.0.0.1:80", "ready", counter.Load()))}, Revision: now()}, nil
			}
			return kv.Page{Revision: after}, nil
		}
		f := NewFollower(&script{rangeOf: read, watch: func(after int64) (kv.Page, error) {
			ofStore.Add(1)
			return watch(after)
		}}, testFormats(), quiet())
		f.feeds.dial = func(addr string) feedClient {
			return &scriptedFeed{addr, func(after int64) (kv.Page, time.Duration, error) {
				page, err := watch(after)
				return page, 0, err
			}, &ofFeeds}
		}
		f.SetFeeds([]string{"a", "b"}, false, false)
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for pause.For(ctx, 200*time.Millisecond) {
				f.Hint(now(), false)
			}
		}()
		go f.Run(ctx)
		time.Sleep(20 * time.Second)
		era.Store(1)
		time.Sleep(watchWait + time.Second)
		is.Equal(kv.Era(f.hints.revision()), int64(1))
		before := ofStore.Load()
		for range feedRetryDelay / 2 / time.Second {
			counter.Add(1)
			time.Sleep(time.Second)
		}
		is.Equal(ofStore.Load(), before)
		stop()
		synctest.Wait()
	})
}
