package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

// newTracker returns a tracker with a lease, and a target that accepts a rate.
func newTracker(rate float64) *Tracker {
	tr := NewTracker("front-1", "a", rand.New(rand.NewPCG(1, 2)))
	tr.SetLease(7, start.Add(time.Hour), start)
	tr.Observe(answer(rate, start.Add(-time.Second)), start)
	return tr
}

// answer is a response of target t that names a rate.
func answer(rate float64, sent time.Time) Response {
	return Response{Target: "t", Service: "s", StartedAt: 5, Limit: &rate, Sent: sent}
}

// item is a stored permit of target t.
func item(r Record, revision int64) kv.Item {
	r.Target, r.Service = "t", "s"
	return kv.Item{Key: r.Key(), Value: r.bytes(), Revision: revision}
}

// own is a permit that the sender of newTracker holds.
func own(index int) Record {
	return Record{StartedAt: 5, Limit: 1, Index: index, Holder: "front-1/a", Lease: 7}
}

// Guards against permits that together exceed the limit plus its tolerance for senders that
// learn of it late.
func TestPermitsKeepTheLimit(t *testing.T) {
	for limit := 0.0; limit < 200; limit += 0.05 {
		n := Count(limit)
		most := n // Each holder may have accumulated one.
		for range n {
			most += int(span / spacing(limit, 1))
		}
		if most > allowed(limit) {
			t.Fatalf("limit %g: %d permits allow %d requests in %v, the target %d", limit, n, most, span, allowed(limit))
		}
	}
}

// Guards against clearing a limit because of a response to a request that was sent before the
// limit was known.
func TestOlderAnswerClearsNoLimit(t *testing.T) {
	is := is.New(t)
	tr := newTracker(1)
	none := Response{Target: "t", Service: "s", StartedAt: 5, Sent: start.Add(-time.Second)}
	is.True(!tr.Observe(none, start.Add(time.Second)))
	is.True(!tr.Ready("t", start.Add(time.Second)))
	none.Sent = start.Add(time.Second)
	is.True(tr.Observe(none, start.Add(2*time.Second)))
	is.True(tr.Ready("t", start.Add(2*time.Second)))
}

// Guards against enforcing the limit of an earlier start of a target, and against permits of
// that start that allow requests to a later one.
func TestLimitEndsWithTheStartOfItsTarget(t *testing.T) {
	is := is.New(t)
	tr := newTracker(1)
	tr.Apply([]kv.Item{item(own(0), 3)}, false, start)
	now := start.Add(time.Minute)
	is.True(tr.Ready("t", now))
	tr.Restarted("t", 6)
	is.True(tr.Ready("t", start)) // the later start has set no limit
	later := answer(1, now)
	later.StartedAt = 6
	is.True(tr.Observe(later, now))
	is.True(!tr.Ready("t", now.Add(time.Hour/2)))
	is.True(!tr.Observe(answer(2, now), now)) // a late response of the earlier start
}

// Guards against requests under a permit that passed to another sender when its holder's lease
// expired, and under one that a lower limit no longer has.
func TestPermitsThatDoNotCount(t *testing.T) {
	now := start.Add(time.Minute)
	for name, spoil := range map[string]func(*Record){
		"another's":              func(r *Record) { r.Holder = "front-2/b" },
		"an earlier start's":     func(r *Record) { r.Holder = "front-1/z" },
		"of an earlier lease":    func(r *Record) { r.Lease = 6 },
		"of an earlier target":   func(r *Record) { r.StartedAt = 4 },
		"beyond a lower limit's": func(r *Record) { r.Index = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := newTracker(1)
			r := own(0)
			spoil(&r)
			tr.Apply([]kv.Item{item(r, 3)}, false, start)
			is.True(!tr.Ready("t", now))
		})
	}
}

// Guards against a burst of the holders' first requests when permits change hands.
func TestPermitBeginsWithAWait(t *testing.T) {
	is := is.New(t)
	tr := newTracker(1)
	tr.Apply([]kv.Item{item(own(0), 3)}, false, start)
	at, _, limited := tr.ReadyAt("t", start)
	is.True(limited)
	is.Equal(at, start.Add(spacing(1, 1)))
	tr.Apply([]kv.Item{item(own(1), 4)}, false, start)
	at, _, _ = tr.ReadyAt("t", start)
	is.Equal(at, start.Add(spacing(1, 2)))
}

// Guards against permits that stay with senders which don't use them.
func TestUnusedPermitsAreReleased(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Second)
	tr := newTracker(1)
	tr.Apply([]kv.Item{item(own(0), 3)}, false, start)
	_, wants := tr.NextChange(now)
	is.True(!wants)
	c, wants := tr.NextChange(start.Add(time.Hour / 2))
	is.True(wants && c.Kind == Release)

	tr = newTracker(1)
	tr.Apply([]kv.Item{item(own(0), 3)}, false, start)
	is.True(tr.Observe(Response{Target: "t", Service: "s", StartedAt: 5, Sent: now}, now))
	c, wants = tr.NextChange(now)
	is.True(wants && c.Kind == Clear) // the other senders are informed
	tr.Complete(c, 4, true, now)
	_, wants = tr.NextChange(now.Add(clearedRetention / 2))
	is.True(!wants)
	c, wants = tr.NextChange(now.Add(clearedRetention))
	is.True(wants && c.Kind == Release)
	tr.Complete(c, 5, true, now)
	is.Equal(len(tr.targets), 0) // the target is forgotten
}

// Guards against losing a permit that was claimed again before its earlier removal is
// received.
func TestLateRemovalEndsNoPermit(t *testing.T) {
	is := is.New(t)
	tr := newTracker(1)
	tr.Apply([]kv.Item{item(own(0), 5)}, false, start)
	tr.Apply([]kv.Item{{Key: item(own(0), 0).Key, Revision: 4, Deleted: true}}, false, start)
	is.True(tr.Ready("t", start.Add(time.Minute)))
	tr.Apply([]kv.Item{{Key: item(own(0), 0).Key, Revision: 6, Deleted: true}}, false, start)
	is.True(!tr.Ready("t", start.Add(time.Minute)))
}

// Guards against malformed items that other writers stored under the keys of permits.
func TestMalformedPermits(t *testing.T) {
	is := is.New(t)
	tr := newTracker(1)
	good := item(own(0), 3)
	bad := []kv.Item{
		{Key: good.Key, Value: []byte("{"), Revision: 4},
		{Key: good.Key + "0", Value: good.Value, Revision: 4},
		item(Record{Index: maxPermits}, 4),
		item(Record{Limit: -1}, 4),
	}
	is.Equal(len(tr.Apply(append(bad, good), true, start)), len(bad))
	is.True(tr.Ready("t", start.Add(time.Minute)))
}

// Guards against waiting to send a request until after its caller has disconnected, and
// against refusing one that can be sent soon.
func TestExpectedStart(t *testing.T) {
	latest := WaitDeadline(start, start.Add(3*time.Second))
	for _, c := range []struct {
		name         string
		availability Availability
		after        time.Duration
		waits        bool
	}{
		{"now", Availability{At: start.Add(-time.Minute), Rate: 2}, 0, true},
		{"soon", Availability{At: start.Add(500 * time.Millisecond), Rate: 2}, 500 * time.Millisecond, true},
		{"behind one other", Availability{At: start.Add(500 * time.Millisecond), Rate: 2, Waiting: 1}, time.Second, true},
		{"behind many", Availability{At: start, Rate: 2, Waiting: 7}, 3500 * time.Millisecond, false},
		{"not known", Availability{}, maxClaimTime, true},
		{"late", Availability{At: start.Add(2 * time.Second), Rate: 1}, 2 * time.Second, false},
	} {
		expected := c.availability.ExpectedStart(start)
		if expected != start.Add(c.after) || expected.After(latest) == c.waits {
			t.Errorf("%s: expected start %v, latest %v", c.name, expected.Sub(start), latest.Sub(start))
		}
	}
}

// Guards against two holders of a permit: a claim requires the state that was seen, free or
// left over from an earlier start of this instance.
func TestClaimsAreConditional(t *testing.T) {
	is := is.New(t)
	tr := newTracker(1)
	tr.RecordDemand("s", start)
	c, wants := tr.NextChange(start)
	is.True(wants && c.Kind == Claim)
	is.Equal(c.Conditions, []kv.Condition{{Key: c.record.Key(), Revision: 0}})
	tr = newTracker(1)
	for i := range Count(1) {
		left := own(i)
		left.Holder, left.Lease = "front-2/b", 3
		if i == 2 {
			left.Holder = "front-1/z"
		}
		tr.Apply([]kv.Item{item(left, int64(10+i))}, false, start)
	}
	tr.RecordDemand("s", start)
	c, wants = tr.NextChange(start)
	is.True(wants && c.Kind == Claim)
	is.Equal(c.Conditions, []kv.Condition{{Key: item(own(2), 0).Key, Revision: 12}})
}

// BenchmarkPick measures what limits add to the choice of a target when all targets of a
// service set limits.
func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{3, 72, 670} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			tr := NewTracker("front-1", "a", rand.New(rand.NewPCG(1, 2)))
			tr.SetLease(7, start.Add(time.Hour), start)
			for i := range targets {
				limit := 1.0
				tr.Observe(Response{Target: fmt.Sprint(i), Service: "s", StartedAt: 1, Limit: &limit}, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				tr.RecordDemand("s", start)
			}
		})
	}
}

// inEra returns a number of the store in an era.
func inEra(era, n int64) int64 {
	r, err := kv.NewRevision(era, n)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against a sender that stops sending, or claims what others may hold, because the store has
// lost its permit and its lease.
func TestHeldPermitsAreClaimedAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	tr := NewTracker("front-1", "a", rand.New(rand.NewPCG(1, 2)))
	tr.SetLease(7, start.Add(10*time.Second), start)
	tr.Observe(answer(1, start.Add(-time.Second)), start)
	tr.Apply([]kv.Item{item(own(2), 30)}, false, start)
	now := start.Add(6 * time.Second)
	tr.Restored(1, now)
	tr.Apply(nil, true, now)
	is.True(tr.Ready("t", now)) // the lease would have been valid until now
	is.True(tr.NeedsLease(now))
	_, ok := tr.NextChange(now)
	is.True(!ok) // there is no lease
	tr.SetLease(inEra(1, 3), now.Add(10*time.Second), now)
	c, ok := tr.NextChange(now)
	is.True(ok)
	is.Equal(c.Kind, Reclaim)
	is.Equal(c.Conditions[0].Revision, int64(0))
	is.Equal(c.Puts[0].Lease, inEra(1, 3))
	tr.Complete(c, inEra(1, 20), true, now)
	now = now.Add(5 * time.Second)
	tr.RecordDemand("s", now)
	is.True(tr.Ready("t", now))
	_, ok = tr.NextChange(now)
	is.True(!ok) // others may hold permits that the store has lost
}

// Guards against a permit that the sender uses for longer than its lease was valid, and takes back
// from another one.
func TestRetainedPermitsEndWithTheirLease(t *testing.T) {
	is := is.New(t)
	tr := NewTracker("front-1", "a", rand.New(rand.NewPCG(1, 2)))
	tr.SetLease(7, start.Add(10*time.Second), start)
	tr.Observe(answer(1, start.Add(-time.Second)), start)
	tr.Apply([]kv.Item{item(own(2), 30)}, false, start)
	tr.Restored(1, start)
	is.True(tr.Ready("t", start.Add(10*time.Second-1)))
	is.True(!tr.Ready("t", start.Add(10*time.Second)))
	tr.SetLease(inEra(1, 3), start.Add(20*time.Second), start.Add(10*time.Second))
	_, ok := tr.NextChange(start.Add(10 * time.Second))
	is.True(!ok)
}

// Guards against claims that wait for ever after a restore, and against each sender writing that they
// may begin.
func TestClaimsBeginWhenFormerLeasesHaveEnded(t *testing.T) {
	is := is.New(t)
	tr := NewTracker("front-1", "a", rand.New(rand.NewPCG(1, 2)))
	tr.SetLease(inEra(2, 7), start.Add(time.Hour), start)
	tr.Observe(answer(1, start.Add(-time.Second)), start)
	tr.RecordDemand("s", start)
	_, ok := tr.NextChange(start)
	is.True(!ok)
	settled := kv.Item{Key: settledKey, Value: []byte(`{"era":1}`), Revision: inEra(2, 4)}
	tr.Apply([]kv.Item{settled}, true, start)
	_, ok = tr.NextChange(start)
	is.True(!ok) // it is of the era before
	now := start.Add(2 * time.Hour)
	tr.SetLease(inEra(2, 7), now.Add(time.Hour), now)
	_, ok = tr.NextChange(now)
	is.True(!ok) // one sender after the other
	now = now.Add(settleSpread)
	c, ok := tr.NextChange(now)
	is.True(ok)
	is.Equal(c.Kind, Settle)
	is.Equal(c.Conditions[0].Revision, inEra(2, 4))
	settled.Value, settled.Revision = c.Puts[0].Value, inEra(2, 5)
	tr.Apply([]kv.Item{settled}, false, now)
	tr.RecordDemand("s", now)
	c, ok = tr.NextChange(now)
	is.True(ok)
	is.Equal(c.Kind, Claim)
}

// Guards against permits that nobody uses any more, because their holder was dead before the store came
// back from a copy that has them under its lease.
func TestPermitOfAHolderDeadBeforeARestoreIsClaimed(t *testing.T) {
	is := is.New(t)
	tr := NewTracker("front-1", "a", rand.New(rand.NewPCG(1, 2)))
	tr.SetLease(inEra(1, 7), start.Add(time.Hour), start)
	tr.Observe(answer(1, start.Add(-time.Second)), start)
	settled := kv.Item{Key: settledKey, Value: []byte(`{"era":1}`), Revision: inEra(1, 4)}
	items := []kv.Item{settled}
	for i := range Count(1) {
		held := own(i)
		held.Holder, held.Lease = "front-2/b", 3 // a lease of the era before
		if i > 0 {
			held.Holder, held.Lease = "front-3/c", inEra(1, 9)
		}
		items = append(items, item(held, inEra(1, int64(10+i))))
	}
	tr.Apply(items, true, start)
	tr.RecordDemand("s", start)
	c, ok := tr.NextChange(start)
	is.True(ok)
	is.Equal(c.Kind, Claim)
	is.Equal(c.Conditions, []kv.Condition{{Key: item(own(0), 0).Key, Revision: inEra(1, 10)}})
	// The permits under leases of this era stay with their holders.
	tr.Complete(c, inEra(1, 20), true, start)
	is.Equal(len(tr.free(tr.targets["t"])), 0)
}
