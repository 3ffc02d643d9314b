package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/logreader"
	"verbenashift/core/request/quarantine"
	"verbenashift/standin/scripted"
)

// fakeStore is a store that an isolator writes to and watches.
type fakeStore struct {
	mu       sync.Mutex
	down     bool
	revision int64
	items    map[string]kv.Item
	changes  int
}

func (s *fakeStore) Change(_ context.Context, c kv.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, &kv.StatusError{Status: http.StatusServiceUnavailable}
	}
	for _, e := range c.Conditions {
		if s.items[e.Key].Revision != e.Revision {
			return 0, &kv.StatusError{Status: http.StatusPreconditionFailed}
		}
	}
	s.revision++
	s.changes++
	for _, p := range c.Puts {
		s.items[p.Key] = kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, key := range c.Deletes {
		delete(s.items, key)
	}
	return s.revision, nil
}

// all returns the items of the store.
func (s *fakeStore) all() []kv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []kv.Item
	for _, it := range s.items {
		items = append(items, it)
	}
	return items
}

// quarantineRig is a rig whose gateway has a store for quarantined requests.
type quarantineRig struct {
	*rig
	store *fakeStore
}

func newQuarantineRig(t *testing.T, kind deployment.RouteKind, servers ...*scripted.Server) *quarantineRig {
	r := newRig(t, routeOf(kind), servers...)
	s := &fakeStore{items: map[string]kv.Item{}}
	r.gateway.isolator.store = s
	return &quarantineRig{r, s}
}

// fingerprint returns the fingerprint of the calls of a rig.
func (r *quarantineRig) fingerprint() quarantine.Fingerprint {
	c := quarantine.Content{Method: http.MethodPost, Host: rigHost, Target: r.call().Path, Workspace: rigSpace, Body: []byte(rigBody)}
	return c.Fingerprint()
}

// hold quarantines the calls of the rig.
func (r *quarantineRig) hold(h quarantine.Hold) {
	is := r.gateway.isolator
	over := is.decide(r.fingerprint()).Revision
	r.True(is.writeHold(r.t.Context(), r.fingerprint(), over, h))
}

// Guards against queueing or sending a request that crashes servers, and against refusing
// others.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe, deployment.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
			r := newQuarantineRig(t, kind, s)
			r.hold(quarantine.Hold{Crashes: 3})
			_, answer := r.send()
			r.Equal(answer.Status, http.StatusServiceUnavailable)
			r.True(answer.RetryAfter() > 9*time.Minute)
			r.Equal(total(s), 0)
			for _, change := range []func(*scripted.Call){
				func(c *scripted.Call) { c.Body += "." },
				func(c *scripted.Call) { c.Path += "1" },
				func(c *scripted.Call) { c.Method = http.MethodPut },
			} {
				c := r.call()
				change(&c)
				c.Do(t.Context())
			}
			r.Equal(total(s), 3)
		})
	}
}

// Guards against a request that crashes servers and waits for a slot.
func TestQuarantineInAFullQueue(t *testing.T) {
	hold := make(chan struct{})
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		<-hold
		x.Respond(200, "ok")
	})
	r := newQuarantineRig(t, deployment.Safe, s)
	read := r.logged()
	r.view.Config.Services[0].Engine = &deployment.Engine{Slots: 1}
	r.gateway.update(&r.view)
	r.gateway.admitterOf("pool").resize(map[string]int{"": 1})
	other := r.call()
	other.Body += "."
	served := make(chan scripted.Answer)
	go func() { served <- other.Do(t.Context()) }()
	for len(s.Seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	r.hold(quarantine.Hold{Crashes: 3})
	c, answer := r.send()
	r.Equal(answer.Status, http.StatusServiceUnavailable)
	r.True(answer.RetryAfter() > 9*time.Minute) // that of the hold, not of the queue
	close(hold)
	r.Equal((<-served).Status, http.StatusOK)
	own := logreader.RequestTrace(c.ID, read())
	r.Equal(logreader.CauseOf(c.ID, own), logreader.Cause{Kind: logreader.Quarantined, Detail: "print " + r.fingerprint().Short()})
}

// Guards against the outcome "not run" for a request that has crashed a server.
func TestQuarantineAfterAnAttemptHasRun(t *testing.T) {
	var r *quarantineRig
	script := func(x *scripted.Exchange) {
		r.hold(quarantine.Hold{Crashes: 3})
		x.Close()
	}
	s0, s1 := scripted.Serve(t, script), scripted.Serve(t, script)
	r = newQuarantineRig(t, deployment.Safe, s0, s1)
	_, answer := r.send()
	r.Equal(answer.Status, http.StatusBadGateway)
	r.Equal(answer.RetryAfter(), time.Duration(0))
	r.Equal(total(s0, s1), 1)
}

// Guards against a partial stream that looks complete when its request is quarantined.
func TestQuarantineInTheMiddleOfAStream(t *testing.T) {
	var r *quarantineRig
	script := func(x *scripted.Exchange) {
		x.Stream()
		x.Chunk(scripted.Event(1))
		r.hold(quarantine.Hold{Crashes: 3})
		x.Close()
	}
	s0, s1 := scripted.Serve(t, script), scripted.Serve(t, script)
	r = newQuarantineRig(t, deployment.Stream, s0, s1)
	_, answer := r.send()
	r.Equal(answer.Status, http.StatusOK)
	r.True(!answer.Complete)
	r.Equal(total(s0, s1), 1)
}

// Guards against keeping a request in quarantine that one complete answer clears.
func TestProbeIsServed(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newQuarantineRig(t, deployment.Unsafe, s)
	r.hold(quarantine.Hold{Crashes: 3, ProbeNow: true})
	for range 3 {
		_, answer := r.send()
		r.Equal(answer.Status, http.StatusOK)
	}
	r.True(r.gateway.isolator.writeReport(t.Context()))
	items := r.store.all()
	r.Equal(len(items), 1) // the hold is removed, the report to the others is there
	r.True(items[0].Key != quarantine.HoldKey(r.fingerprint()))
}

// Guards against repeating a probe that has crashed its server.
func TestProbeCrashes(t *testing.T) {
	var r *quarantineRig
	script := func(x *scripted.Exchange) {
		r.gateway.isolator.crashed(quarantine.Crash{Target: x.Expect(), Requests: []quarantine.Fingerprint{r.fingerprint()}})
		x.Close()
	}
	s0, s1 := scripted.Serve(t, script), scripted.Serve(t, script)
	r = newQuarantineRig(t, deployment.Safe, s0, s1)
	r.hold(quarantine.Hold{Crashes: 3, ProbeNow: true})
	_, first := r.send()
	r.Equal(first.Status, http.StatusBadGateway)
	time.Sleep(probeSettleTime + 100*time.Millisecond)
	_, second := r.send()
	r.Equal(second.Status, http.StatusServiceUnavailable)
	r.True(second.RetryAfter() > time.Minute)
	r.Equal(total(s0, s1), 1)
}

// Guards against treating an inconclusive probe as conclusive.
func TestProbeWithoutAnAnswer(t *testing.T) {
	for name, script := range map[string]func(*scripted.Exchange){
		"refused":    func(x *scripted.Exchange) { x.Refuse() },
		"broken off": func(x *scripted.Exchange) { x.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // It waits most of its time.
			s := scripted.Serve(t, script)
			r := newQuarantineRig(t, deployment.Safe, s)
			r.hold(quarantine.Hold{Crashes: 3, ProbeNow: true})
			for range 5 {
				_, answer := r.send()
				r.True(answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusBadGateway)
				time.Sleep(probeSettleTime + 100*time.Millisecond)
			}
			r.Equal(total(s), 3)
		})
	}
}

// Guards against ignoring crashes while the store is unavailable.
func TestCrashesWhileTheStoreIsAway(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe, scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") }))
	r.store.down = true
	s := r.gateway.isolator
	for _, target := range []string{"a", "b", "c"} {
		s.crashed(quarantine.Crash{Target: target, Requests: []quarantine.Fingerprint{r.fingerprint()}})
	}
	r.True(!s.writeReport(t.Context()))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go s.run(ctx)
	for !s.decide(r.fingerprint()).Quarantined {
		time.Sleep(isolatorTick)
	}
	_, answer := r.send()
	r.Equal(answer.Status, http.StatusServiceUnavailable)
	r.Equal(len(r.store.all()), 0)
	r.store.mu.Lock()
	r.store.down = false
	r.store.mu.Unlock()
	for len(r.store.all()) < 2 {
		time.Sleep(isolatorTick) // the report and the hold
	}
}

// Guards against memory that grows with the crashes while the store is unavailable.
func TestUnreportedCrashesAreBounded(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe)
	for n := range 10 * maxUnwritten {
		s := r.gateway.isolator
		s.crashed(quarantine.Crash{Target: string(rune(n + 'a')), Requests: []quarantine.Fingerprint{r.fingerprint()}})
		s.completed(quarantine.Request{Content: r.fingerprint()}, "pool", true)
	}
	s := r.gateway.isolator
	r.Equal(len(s.unwritten.Crashes), maxUnwritten)
	r.True(len(s.unwritten.Completed) <= maxUnwritten)
	r.True(len(s.removedHolds) <= maxUnwritten)
}

// Guards against a probe by each gateway.
func TestOnlyOneGatewayProbes(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe)
	r.hold(quarantine.Hold{Crashes: 3, ProbeNow: true})
	other := newIsolator("front-2", r.store, r.gateway.log)
	other.apply(r.store.all(), true)
	v := other.decide(r.fingerprint())
	r.True(v.Probe)
	r.True(other.claimProbe(t.Context(), r.fingerprint(), v))
	r.True(!r.gateway.isolator.claimProbe(t.Context(), r.fingerprint(), v))
}

// Guards against quarantining a request again by old reports after an operator has cleared it.
func TestOperatorClearsARequest(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newQuarantineRig(t, deployment.Safe, s)
	r.hold(quarantine.Hold{Crashes: 3})
	_, answer := r.send()
	r.Equal(answer.Status, http.StatusServiceUnavailable)
	r.gateway.isolator.apply([]kv.Item{{Key: quarantine.HoldKey(r.fingerprint()), Revision: 9, Deleted: true}}, false)
	_, answer = r.send()
	r.Equal(answer.Status, http.StatusOK)
	r.True(r.gateway.isolator.writeReport(t.Context()))
	for _, it := range r.store.all() {
		var report quarantine.Report
		if json.Unmarshal(it.Value, &report) == nil && len(report.Completed) == 1 {
			r.Equal(report.Completed[0], r.fingerprint())
			return
		}
	}
	t.Error("no report was written")
}

// Guards against a request that crashes servers and is sent again, at this gateway or at one that
// starts later, because the store has lost what was reported of it.
func TestQuarantineOutlivesARestore(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe)
	s := r.gateway.isolator
	for n := range 3 {
		s.crashed(quarantine.Crash{Target: string(rune('a' + n)), Requests: []quarantine.Fingerprint{r.fingerprint()}})
	}
	r.True(s.writeReport(t.Context()))
	s.apply([]kv.Item{{Key: quarantine.HoldKey(r.fingerprint()), Value: quarantine.Hold{Crashes: 3}.Bytes(), Revision: 9}}, false)
	r.True(s.hasQuarantined())
	clear(r.store.items) // The copy is from before.
	s.storeRestored(0)
	s.apply(nil, true)
	r.True(s.hasQuarantined())
	r.True(s.writeReport(t.Context()))
	s.writeHolds(t.Context())
	later := newIsolator("front-2", r.store, r.gateway.log)
	later.apply(r.store.all(), true)
	r.True(later.hasQuarantined())
	r.Equal(later.crashes(r.fingerprint()), 3)
}

// Guards against a report that counts as written although the store was restored before its answer.
func TestReportLostDuringItsWriteIsWrittenAgain(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe)
	s := r.gateway.isolator
	s.crashed(quarantine.Crash{Target: "a", Requests: []quarantine.Fingerprint{r.fingerprint()}})
	s.storeRestored(1)
	r.True(!s.writeReport(t.Context())) // the store has answered in the era before
	r.Equal(len(s.unwritten.Crashes), 1)
}

// Guards against releasing a request because an old report, from before it crashed servers again, is
// read again in a store that has lost its hold.
func TestOldReportsDoNotReleaseAfterARestore(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe)
	s := r.gateway.isolator
	report := quarantine.Report{Completed: []quarantine.Fingerprint{r.fingerprint()}}
	old := kv.Item{Key: quarantine.ReportKey("front-2", 1), Value: report.Bytes(), Revision: 5}
	s.apply([]kv.Item{old}, false)
	s.apply([]kv.Item{{Key: quarantine.HoldKey(r.fingerprint()), Value: quarantine.Hold{Crashes: 3}.Bytes(), Revision: 9}}, false)
	s.storeRestored(1)
	restored, err := kv.NewRevision(1, old.Revision)
	r.NoErr(err)
	old.Revision = restored
	s.apply([]kv.Item{old}, true)
	r.True(s.hasQuarantined())
}
