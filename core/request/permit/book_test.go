package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

// newBook returns a book with a lease, and a target that takes a rate.
func newBook(rate float64) *Book {
	b := NewBook("front-1", "a", rand.New(rand.NewPCG(1, 2)))
	b.Leased(7, start.Add(time.Hour))
	b.Named(answer(rate, start.Add(-time.Second)), start)
	return b
}

// answer is one of target t that names a rate.
func answer(rate float64, sent time.Time) Answer {
	return Answer{Target: "t", Service: "s", Born: 5, Limit: &rate, Sent: sent}
}

// item is a permit of target t as it stands in the store.
func item(r Record, revision int64) kv.Item {
	r.Target, r.Service = "t", "s"
	return kv.Item{Key: r.Key(), Value: r.bytes(), Revision: revision}
}

// own is a permit that the sender of newBook holds.
func own(index int) Record {
	return Record{Born: 5, Limit: 1, Index: index, Holder: "front-1/a", Lease: 7}
}

// Guards against permits that allow together more than the limit does with what it leaves for
// those who are late to hear of it.
func TestPermitsKeepTheLimit(t *testing.T) {
	for limit := 0.0; limit < 200; limit += 0.05 {
		n := Count(limit)
		most := n // Each holder may have one saved up.
		for range n {
			most += int(span / spacing(limit, 1))
		}
		if most > allowed(limit) {
			t.Fatalf("limit %g: %d permits allow %d requests in %v, the target %d", limit, n, most, span, allowed(limit))
		}
	}
}

// Guards against taking an answer to a request that was sent before the limit was known for the
// word that there is none any more.
func TestOlderAnswerLiftsNothing(t *testing.T) {
	is := is.New(t)
	b := newBook(1)
	none := Answer{Target: "t", Service: "s", Born: 5, Sent: start.Add(-time.Second)}
	is.True(!b.Named(none, start.Add(time.Second)))
	is.True(!b.Ready("t", start.Add(time.Second)))
	none.Sent = start.Add(time.Second)
	is.True(b.Named(none, start.Add(2*time.Second)))
	is.True(b.Ready("t", start.Add(2*time.Second)))
}

// Guards against keeping to the limit of an earlier start of a target, and against permits of it
// that allow requests to a later one.
func TestLimitEndsWithTheStartOfItsTarget(t *testing.T) {
	is := is.New(t)
	b := newBook(1)
	b.Take([]kv.Item{item(own(0), 3)}, false, start)
	now := start.Add(time.Minute)
	is.True(b.Ready("t", now))
	b.Restarted("t", 6)
	is.True(b.Ready("t", start)) // the later start has named none
	later := answer(1, now)
	later.Born = 6
	is.True(b.Named(later, now))
	is.True(!b.Ready("t", now.Add(time.Hour/2)))
	is.True(!b.Named(answer(2, now), now)) // a late answer of the earlier one
}

// Guards against requests under a permit that has passed to another sender with its holder's
// lease, and under one that a lower limit does not have any more.
func TestPermitsThatDoNotCount(t *testing.T) {
	now := start.Add(time.Minute)
	for name, spoil := range map[string]func(*Record){
		"another's":              func(r *Record) { r.Holder = "front-2/b" },
		"an earlier start's":     func(r *Record) { r.Holder = "front-1/z" },
		"of an earlier lease":    func(r *Record) { r.Lease = 6 },
		"of an earlier target":   func(r *Record) { r.Born = 4 },
		"beyond a lower limit's": func(r *Record) { r.Index = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBook(1)
			r := own(0)
			spoil(&r)
			b.Take([]kv.Item{item(r, 3)}, false, start)
			is.True(!b.Ready("t", now))
		})
	}
}

// Guards against a burst of the holders' first requests when permits change hands.
func TestPermitBeginsWithAWait(t *testing.T) {
	is := is.New(t)
	b := newBook(1)
	b.Take([]kv.Item{item(own(0), 3)}, false, start)
	at, limited := b.ReadyAt("t", start)
	is.True(limited)
	is.Equal(at, start.Add(spacing(1, 1)))
	b.Take([]kv.Item{item(own(1), 4)}, false, start)
	at, _ = b.ReadyAt("t", start)
	is.Equal(at, start.Add(spacing(1, 2)))
}

// Guards against permits that stay with senders which have no use for them.
func TestPermitsAreGivenBack(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Second)
	b := newBook(1)
	b.Take([]kv.Item{item(own(0), 3)}, false, start)
	_, wants := b.Next(now)
	is.True(!wants)
	c, wants := b.Next(start.Add(time.Hour / 2))
	is.True(wants && c.Kind == Release)

	b = newBook(1)
	b.Take([]kv.Item{item(own(0), 3)}, false, start)
	is.True(b.Named(Answer{Target: "t", Service: "s", Born: 5, Sent: now}, now))
	c, wants = b.Next(now)
	is.True(wants && c.Kind == Lift) // the others are told
	b.Done(c, 4, true, now)
	_, wants = b.Next(now.Add(liftedFor / 2))
	is.True(!wants)
	c, wants = b.Next(now.Add(liftedFor))
	is.True(wants && c.Kind == Release)
	b.Done(c, 5, true, now)
	is.Equal(len(b.targets), 0) // nothing is left to know
}

// Guards against what another writer may have left under the keys of permits.
func TestItemsThatAreNoPermits(t *testing.T) {
	is := is.New(t)
	b := newBook(1)
	good := item(own(0), 3)
	bad := []kv.Item{
		{Key: good.Key, Value: []byte("{"), Revision: 4},
		{Key: good.Key + "0", Value: good.Value, Revision: 4},
		item(Record{Index: maxPermits}, 4),
		item(Record{Limit: -1}, 4),
	}
	is.Equal(len(b.Take(append(bad, good), true, start)), len(bad))
	is.True(b.Ready("t", start.Add(time.Minute)))
}

// Guards against waiting for a turn that comes when the caller has gone, and against refusing
// one that is near.
func TestTurn(t *testing.T) {
	latest := Latest(start, start.Add(3*time.Second))
	for _, c := range []struct {
		name    string
		opening Opening
		turn    time.Duration
		waits   bool
	}{
		{"now", Opening{At: start.Add(-time.Minute), Rate: 2}, 0, true},
		{"soon", Opening{At: start.Add(500 * time.Millisecond), Rate: 2}, 500 * time.Millisecond, true},
		{"behind one other", Opening{At: start.Add(500 * time.Millisecond), Rate: 2, Waiting: 1}, time.Second, true},
		{"behind many", Opening{At: start, Rate: 2, Waiting: 7}, 3500 * time.Millisecond, false},
		{"not known", Opening{}, claimTime, true},
		{"late", Opening{At: start.Add(2 * time.Second), Rate: 1}, 2 * time.Second, false},
	} {
		turn := c.opening.Turn(start)
		if turn != start.Add(c.turn) || turn.After(latest) == c.waits {
			t.Errorf("%s: turn %v, latest %v", c.name, turn.Sub(start), latest.Sub(start))
		}
	}
}

// Guards against two holders of a permit: it is claimed as it was seen, free or left behind by an
// earlier start of this instance.
func TestClaimsAreConditional(t *testing.T) {
	is := is.New(t)
	b := newBook(1)
	b.Demand("s", start)
	c, wants := b.Next(start)
	is.True(wants && c.Kind == Claim)
	is.Equal(c.Expect, []kv.Condition{{Key: c.record.Key(), Revision: 0}})
	b = newBook(1)
	for i := range Count(1) {
		left := own(i)
		left.Holder, left.Lease = "front-2/b", 3
		if i == 2 {
			left.Holder = "front-1/z"
		}
		b.Take([]kv.Item{item(left, int64(10+i))}, false, start)
	}
	b.Demand("s", start)
	c, wants = b.Next(start)
	is.True(wants && c.Kind == Claim)
	is.Equal(c.Expect, []kv.Condition{{Key: item(own(2), 0).Key, Revision: 12}})
}

// BenchmarkPick is what limits add to the choice of a target when all of a service name some.
func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{3, 72, 670} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			book := NewBook("front-1", "a", rand.New(rand.NewPCG(1, 2)))
			book.Leased(7, start.Add(time.Hour))
			for i := range targets {
				limit := 1.0
				book.Named(Answer{Target: fmt.Sprint(i), Service: "s", Born: 1, Limit: &limit}, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				book.Demand("s", start)
				for id := range book.Limited() {
					book.Ready(id, start)
				}
			}
		})
	}
}
