package mirror

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/rankpeer"
)

// at returns a revision of an era.
func at(era, counter int64) int64 {
	r, err := kv.NewRevision(era, counter)
	if err != nil {
		panic(err)
	}
	return r
}

// inEra returns an item as a store of a later era states it.
func inEra(era int64, it kv.Item) kv.Item {
	it.Revision, it.CreateRevision = at(era, it.Revision), at(era, it.CreateRevision)
	return it
}

// Guards against a server that gets the address of another one because that one was created under a
// revision of an earlier era.
func TestNewestTargetOfAnAddressAcrossEras(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(3), entry("old", "10.0.0.1:80", "ready", 90)}, 90)
	m.Replace([]kv.Item{inEra(1, config(3)), inEra(1, entry("new", "10.0.0.1:80", "ready", 12))}, at(1, 12), false, time.Now())
	targets := m.Snapshot().Targets
	is.Equal(len(targets), 1)
	is.Equal(targets["new"].ID, "new")
	is.Equal(m.Revision(), at(1, 12))
}

// restore replaces the state of a mirror by items of a store that was restored for the first time.
func restore(m *Mirror, revision int64, items ...kv.Item) {
	for i := range items {
		items[i] = inEra(1, items[i])
	}
	m.Replace(items, at(1, revision), false, noon)
}

// Guards against requests to a server that leaves, after the store has lost what it wrote.
func TestDrainingOutlivesARestore(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2)}, 2)
	m.Apply([]kv.Item{entry("a", "10.0.0.1:80", "draining", 9)}, 9)
	restore(m, 5, config(1), entry("a", "10.0.0.1:80", "ready", 2))
	is.True(m.Snapshot().Targets["a"].Draining)
	m.Apply([]kv.Item{inEra(1, entry("a", "10.0.0.1:80", "draining", 6))}, at(1, 6))
	is.True(!m.ApplyDeferred(noon.Add(time.Hour)))
	is.True(m.Snapshot().Targets["a"].Draining)
}

// Guards against requests to a server that has left, because its entry is in the store again.
func TestRemovedTargetStaysRemovedAfterARestore(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), deletedItem("a", 9)}, 9)
	restore(m, 5, config(1), entry("a", "10.0.0.1:80", "ready", 2))
	is.Equal(len(m.Snapshot().Targets), 0)
	m.Apply([]kv.Item{inEra(1, deletedItem("a", 6))}, at(1, 6))
	is.True(!m.ApplyDeferred(noon.Add(time.Hour)))
	is.Equal(len(m.Snapshot().Targets), 0)
}

// Guards against a server that stays unused because it was cut off from the store for a while before
// a restore.
func TestRemovedTargetThatLivesReturns(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), deletedItem("a", 9)}, 9)
	restore(m, 5, config(1), entry("a", "10.0.0.1:80", "ready", 2))
	is.True(!m.ApplyDeferred(noon.Add(removalGrace - 1)))
	is.True(m.ApplyDeferred(noon.Add(removalGrace))) // its heartbeats have kept the entry
	is.Equal(len(m.Snapshot().Targets), 1)
}

// Guards against a server that is dropped because the store has lost its entry, and against one that
// is retained although it does not register again.
func TestTargetsMissingAfterARestore(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), entry("b", "10.0.0.2:80", "ready", 3)}, 3)
	restore(m, 1, config(1))
	is.Equal(len(m.Snapshot().Targets), 2)
	m.Apply([]kv.Item{inEra(1, entry("a", "10.0.0.1:80", "ready", 2))}, at(1, 2))
	is.True(m.ApplyDeferred(noon.Add(reregisterGrace)))
	is.Equal(len(m.Snapshot().Targets), 1)
	is.Equal(m.Snapshot().Targets["a"].ID, "a")
}

// Guards against a change that a server has written to the restored store and that waits as if it
// were old: it starts to drain, or has started again, before the store is read.
func TestNewerStateOfARestoredStoreApplies(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), server("b", "10.0.0.2:80", 100, 3, 3)}, 9)
	restore(m, 8, config(1), entry("a", "10.0.0.1:80", "draining", 2), server("b", "10.0.0.3:80", 200, 3, 8))
	is.True(m.Snapshot().Targets["a"].Draining)
	is.Equal(m.Snapshot().Targets["b"].StartedAt, int64(200))
}

// Guards against a server that has started again and whose former start counts after a restore.
func TestFormerStartStaysReplacedAfterARestore(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), server("b", "10.0.0.2:80", 200, 3, 9)}, 9)
	restore(m, 5, config(1), server("b", "10.0.0.2:80", 100, 3, 3))
	is.Equal(m.Snapshot().Targets["b"].StartedAt, int64(200))
	is.True(m.ApplyDeferred(noon.Add(rewriteGrace))) // it was not written again
	is.Equal(m.Snapshot().Targets["b"].StartedAt, int64(100))
}

// Guards against requests to an evacuated zone after the store has lost the evacuation.
func TestEvacuationOutlivesARestore(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), evacuation("y", 8), evacuation("z", 9)}, 9)
	restore(m, 5, config(1))
	m.Apply([]kv.Item{inEra(1, evacuation("z", 6))}, at(1, 6))
	is.Equal(m.Snapshot().Evacuated, map[string]bool{"y": true, "z": true})
	is.True(m.ApplyDeferred(noon.Add(rewriteGrace)))
	is.Equal(m.Snapshot().Evacuated, map[string]bool{"z": true})
}

// claimOf returns the claim of an agent to coordinate the group g1.
func claimOf(addr string, revision int64) kv.Item {
	return kv.Item{Key: rankpeer.Key(rankpeer.ClaimPrefix, "g1"), Value: rankpeer.Claim{Group: "g1", Addr: addr}.Bytes(), Revision: revision}
}

// Guards against gateways that turn to an earlier coordinator after the store has lost the claim of
// the one at work.
func TestCoordinatorOutlivesARestore(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), claimOf("10.0.0.1:7580", 2), claimOf("10.0.0.2:7580", 9)}, 9)
	restore(m, 5, config(1), claimOf("10.0.0.1:7580", 2))
	is.Equal(m.Snapshot().Coordinators["g1"].Addr, "10.0.0.2:7580")
	m.Apply([]kv.Item{inEra(1, claimOf("10.0.0.2:7580", 6))}, at(1, 6))
	is.True(!m.ApplyDeferred(noon.Add(rewriteGrace)))
	is.Equal(m.Snapshot().Coordinators["g1"].Addr, "10.0.0.2:7580")
}

// Guards against an older configuration in force after a restore.
func TestConfigurationOutlivesARestore(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(3), config(9)}, 9)
	restore(m, 5, config(3))
	is.Equal(m.Snapshot().Config.Version, int64(9))
}

// Guards against a state of the first restored store that applies after a second restore, and
// against one that is retained for too short a time after it.
func TestRestoredTwice(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), entry("a", "10.0.0.1:80", "draining", 9)}, 9)
	restore(m, 5, config(1), entry("a", "10.0.0.1:80", "ready", 2))
	later := noon.Add(rewriteGrace - 1)
	m.Replace([]kv.Item{inEra(2, config(1))}, at(2, 1), false, later)
	is.True(!m.ApplyDeferred(later.Add(rewriteGrace - 1)))
	is.True(m.Snapshot().Targets["a"].Draining)
	is.True(m.ApplyDeferred(later.Add(rewriteGrace)))
	is.Equal(len(m.Snapshot().Targets), 0)
}

// Guards against memory that grows with the targets that have ever left.
func TestRemovedTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	var r removedTargets
	for n := range 2 * maxRemoved {
		r.add(fmt.Sprint(n), 1)
	}
	is.Equal(len(r.startedAt), maxRemoved)
	is.Equal(len(r.order), maxRemoved)
	is.True(!r.has("0", 1))
	is.True(r.has(fmt.Sprint(2*maxRemoved-1), 1))
	r.forget(fmt.Sprint(2*maxRemoved - 1))
	is.Equal(len(r.order), maxRemoved-1)
}

// Guards against an evacuation that ends, and a target that is removed, because the store was
// restored and does not answer when they might be written again.
func TestDeferredItemsWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var restored, down atomic.Bool
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				switch {
				case down.Load():
					return kv.Page{}, errors.New("no answer")
				case prefix != testOperatorPrefix && restored.Load():
					return kv.Page{Revision: at(1, 5)}, nil
				case prefix != testOperatorPrefix:
					return kv.Page{Revision: 9}, nil
				case restored.Load():
					return kv.Page{Items: []kv.Item{inEra(1, config(3))}, Revision: at(1, 5)}, nil
				}
				return kv.Page{Items: []kv.Item{config(3), evacuation("z", 8)}, Revision: 9}, nil
			},
			watch: func(after int64) (kv.Page, error) {
				switch {
				case down.Load():
					return kv.Page{}, errors.New("no answer")
				case restored.Load() && kv.Era(after) == 0:
					return kv.Page{}, &kv.StatusError{Status: 410}
				}
				return kv.Page{Revision: after}, nil
			},
		}
		f := NewFollower(s, testFormats(), quiet())
		stop := runInBackground(t, f)
		time.Sleep(time.Second)
		restored.Store(true)
		time.Sleep(watchWait + maxPause)
		down.Store(true)
		time.Sleep(10 * time.Second)
		is.True(f.Snapshot().Evacuated["z"])
		down.Store(false)
		time.Sleep(rewriteGrace + 2*maxPause)
		is.Equal(len(f.Snapshot().Evacuated), 0)
		stop()
	})
}

// Guards against a start from a checkpoint whose revisions the restored store has given out again.
func TestCheckpointOfAnotherEraIsNotUsed(t *testing.T) {
	is := is.New(t)
	old := checkpoint{Revision: 50, Items: []kv.Item{config(9)}}
	value, err := old.encode()
	is.NoErr(err)
	f := NewFollower(&script{}, testFormats(), quiet())
	f.UseCheckpoints(&eraStore{kv.Item{Key: checkpointKey, Value: value, Revision: at(1, 7)}}, false)
	is.True(!f.readCheckpoint(t.Context()))
	f.UseCheckpoints(&eraStore{kv.Item{Key: checkpointKey, Value: value, Revision: 51}}, false)
	is.True(f.readCheckpoint(t.Context()))
}

// eraStore holds one item.
type eraStore struct{ it kv.Item }

func (s *eraStore) StaleGet(context.Context, string) (kv.Item, error) { return s.it, nil }
func (s *eraStore) Set(context.Context, string, []byte) error         { return nil }

// runInBackground runs a Follower until the returned function is called.
func runInBackground(t *testing.T, f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	return func() {
		cancel()
		synctest.Wait()
	}
}

// Guards against reads of everything without a pause from a store that has gone back and does not say
// so, or that answers with an era that is over.
func TestStoreThatIsBehindIsReadSeldom(t *testing.T) {
	for name, page := range map[string]int64{"older revision": at(1, 3), "older era": 50} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var behind atomic.Bool
				s := &script{
					rangeOf: func(prefix string) (kv.Page, error) {
						p := kv.Page{Revision: at(1, 9)}
						if behind.Load() {
							p.Revision = page
						}
						if prefix == testOperatorPrefix {
							p.Items = []kv.Item{config(3)}
						}
						return p, nil
					},
					watch: func(after int64) (kv.Page, error) {
						if behind.Load() {
							return kv.Page{}, &kv.StatusError{Status: 410}
						}
						return kv.Page{Revision: after}, nil
					},
				}
				f := NewFollower(s, testFormats(), quiet())
				stop := runInBackground(t, f)
				time.Sleep(time.Second)
				behind.Store(true)
				time.Sleep(10 * time.Second)
				is.True(s.current.Load() <= 100) // three reads each maxPause/2 at most
				is.Equal(f.Snapshot().Config.Version, int64(3))
				stop()
			})
		})
	}
}

// Guards against a state that is half of a store before its restore and half of it after.
func TestReadOfTwoErasIsRepeated(t *testing.T) {
	is := is.New(t)
	reads := 0
	s := &script{rangeOf: func(prefix string) (kv.Page, error) {
		reads++
		if reads == 1 {
			return kv.Page{Items: []kv.Item{config(3), evacuation("z", 8)}, Revision: 9}, nil
		}
		page := kv.Page{Revision: at(1, 5)}
		if prefix == testOperatorPrefix {
			page.Items = []kv.Item{inEra(1, config(3))}
		}
		return page, nil
	}}
	f := NewFollower(s, testFormats(), quiet())
	is.NoErr(f.readAll(t.Context()))
	is.Equal(f.mirror.Revision(), at(1, 5))
	is.Equal(len(f.Snapshot().Evacuated), 0)
	is.Equal(reads, 2+3) // The second page shows the other era.
}
