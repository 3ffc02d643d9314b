package main

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/request/permit"
	"verbenashift/core/request/route"
	"verbenashift/standin/scripted"
)

// Guards against requests to a server that has set a limit, from a gateway without a permit.
func TestLimitedTargetGetsNothingWithoutAPermit(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		limited := scripted.Serve(t, func(x *scripted.Exchange) { x.Limited("1", "ok") })
		free := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
		r := newRig(t, routeOf(kind), limited, free)
		for range 40 {
			_, got := r.send()
			r.Equal(got.Status, 200)
		}
		r.Equal(len(limited.Seen()), 1)
	}
}

// Guards against callers that are held, or get no retry time, when all targets have set limits.
func TestAllTargetsLimited(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Limited("0.5", "ok") })
	r := newRig(t, routeOf(deployment.Unsafe), s)
	_, got := r.send()
	r.Equal(got.Status, 200)
	c := r.call()
	c.Timeout = time.Second
	got = c.Do(t.Context())
	r.Equal(got.Status, 503)
	r.True(got.RetryAfter() > 0)
	r.Equal(len(s.Seen()), 1)
}

// Guards against holding callers whose expected wait is long, and against refusing others.
func TestOnlyShortWaitsAreHeld(t *testing.T) {
	is := is.New(t)
	g := &gateway{fleet: newFleet("front-1", "z1", slog.New(slog.DiscardHandler))}
	g.fleet.update(&mirror.Snapshot{Targets: map[string]deployment.Target{"t0": {ID: "t0", Service: "pool", Slots: 1}}})
	now := time.Now()
	_, ok := g.fleet.pick(&route.Query{Service: "pool"}, now)
	is.True(ok)
	g.fleet.mu.Lock()
	g.fleet.pause(g.fleet.targetStates["t0"], "r1", time.Second, now)
	g.fleet.mu.Unlock()
	for timeout, near := range map[time.Duration]bool{time.Second: false, 20 * time.Second: true} {
		c := &call{gateway: g, request: request{service: "pool", route: &deployment.Route{}, arrived: now, deadline: now.Add(timeout)}}
		is.Equal(c.shouldWait(0), near)
		is.Equal(c.retryAfter > 0, !near)
	}
}

// leasingStore is a store that grants one lease and records all changes, until it is down.
type leasingStore struct {
	recordingStore
	down    bool
	granted int64
	// era is the number of restores.
	era int64
}

var errAway = errors.New("no answer")

func (s *leasingStore) Grant(context.Context, time.Duration) (int64, time.Duration, error) {
	if s.down {
		return 0, 0, errAway
	}
	s.granted++
	lease, err := kv.NewRevision(s.era, s.granted)
	return lease, permitLease, err
}

func (s *leasingStore) Keep(_ context.Context, lease int64) (time.Duration, error) {
	if s.down {
		return 0, errAway
	}
	if kv.Era(lease) != s.era || kv.Counter(lease) != s.granted {
		return 0, &kv.StatusError{Status: 404, Era: s.era}
	}
	return permitLease, nil
}

func (s *leasingStore) Change(ctx context.Context, c kv.Txn) (int64, error) {
	if s.down {
		return 0, errAway
	}
	revision, err := s.recordingStore.Change(ctx, c)
	if err != nil {
		return 0, err
	}
	return kv.NewRevision(s.era, revision)
}

// Guards against a gateway that keeps using permits which others may have claimed, after the
// store has not renewed its lease.
func TestPermitsEndWithTheirLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store leasingStore
		l := newLimits("front-1", slog.New(slog.DiscardHandler))
		l.store = &store
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go l.run(ctx)
		rate := 2.0
		l.observe(permit.Response{Target: "t0", Service: "pool", Limit: &rate, Sent: time.Now()}, time.Now())
		ready := func() bool { return !l.unready("pool", time.Now())["t0"] }
		is.True(!ready())
		uses := 0
		wait := func(d time.Duration) {
			for range d / limitsTick {
				if ready() {
					l.recordSent("t0", time.Now())
					uses++
				}
				time.Sleep(limitsTick)
			}
			synctest.Wait()
		}
		wait(20 * time.Second)
		is.True(len(store.changes) > 0)
		is.Equal(store.granted, int64(1)) // it was renewed
		sent := func(d time.Duration) int {
			before := uses
			wait(d)
			return uses - before
		}
		is.True(sent(10*time.Second) > 0)
		store.down = true
		wait(permitLease)
		is.Equal(sent(10*time.Second), 0)
		store.down = false
		is.True(sent(10*time.Second) > 0) // its permits were still valid
		store.granted++                   // its lease has ended
		claims := len(store.changes)
		wait(10 * time.Second)
		is.True(store.granted > 2)
		is.True(len(store.changes) > claims) // they are claimed anew under another
		is.True(sent(10*time.Second) > 0)
	})
}

// Guards against a gateway that stops sending to a limited target because the store was restored, and
// that lets others claim what it holds.
func TestPermitsAreClaimedAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store leasingStore
		l := newLimits("front-1", slog.New(slog.DiscardHandler))
		l.store = &store
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go l.run(ctx)
		rate := 8.0
		l.observe(permit.Response{Target: "t0", Service: "pool", Limit: &rate, Sent: time.Now()}, time.Now())
		for range 10 {
			l.unready("pool", time.Now())
			time.Sleep(limitsTick)
		}
		synctest.Wait()
		claims := len(store.changes)
		is.True(claims > 0)
		store.era, store.granted = 1, 0
		l.storeRestored(1)
		l.apply(nil, true)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.True(!l.unready("pool", time.Now())["t0"])
		is.Equal(store.granted, int64(1))
		is.Equal(len(store.changes), 2*claims)
		is.Equal(kv.Era(store.changes[claims].Puts[0].Lease), int64(1))
		is.Equal(store.changes[claims].Puts[0].Key, store.changes[0].Puts[0].Key)
	})
}
