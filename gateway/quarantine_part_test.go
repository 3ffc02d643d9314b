package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/request/quarantine"
	"verbenashift/standin/scripted"
)

// prompt returns a call whose prompt has the given parts, and is like no other.
func (r *quarantineRig) prompt(parts string) scripted.Call {
	c := r.call()
	c.Body += c.ID
	c.Header = scripted.PromptHeader("m", "100,50", parts)
	return c
}

// holdPart quarantines a part.
func (r *quarantineRig) holdPart(id string, h quarantine.Hold) {
	is, p := r.gateway.isolator, quarantine.PartFingerprint(id)
	h.Part = true
	r.True(is.writeHold(r.t.Context(), p, is.decide(p).Revision, h))
}

// Guards against sending requests with a part that crashes servers, and against refusing those that
// share other parts with them.
func TestQuarantinedPartIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe, deployment.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
			r := newQuarantineRig(t, kind, s)
			r.holdPart("bad", quarantine.Hold{Crashes: 3})
			for _, parts := range []string{"a:1,bad:2,own:3", "bad:2,own:3", "bad:9,b:1,own:3"} {
				answer := r.prompt(parts).Do(t.Context())
				r.Equal(answer.Status, http.StatusServiceUnavailable)
				r.True(answer.RetryAfter() > 9*time.Minute)
			}
			r.Equal(total(s), 0)
			for _, parts := range []string{"a:1,own:3", "a:1,b:1,bad:3", "bad:3", ""} {
				r.prompt(parts).Do(t.Context()) // the last part is the request's own
			}
			r.Equal(total(s), 4)
		})
	}
}

// Guards against keeping a part in quarantine that a complete answer to a probe clears, and against
// clearing it by a failure.
func TestProbeOfAPart(t *testing.T) {
	status := http.StatusInternalServerError
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(status, "ok") })
	r := newQuarantineRig(t, deployment.Unsafe, s)
	r.holdPart("bad", quarantine.Hold{Crashes: 3, ProbeNow: true})
	r.Equal(r.prompt("bad:1,own:2").Do(t.Context()).Status, status)
	r.True(r.gateway.isolator.hasQuarantined())
	r.holdPart("bad", quarantine.Hold{Crashes: 3, ProbeNow: true})
	status = http.StatusOK
	for range 3 {
		r.Equal(r.prompt("bad:1,own:2").Do(t.Context()).Status, status)
	}
	r.True(r.gateway.isolator.writeReport(t.Context()))
	items := r.store.all()
	r.Equal(len(items), 1) // the hold is removed, the report to the others is there
	r.True(items[0].Key != quarantine.HoldKey(quarantine.PartFingerprint("bad")))
}

// Guards against forgetting the parts of the requests that were in progress in a crash.
func TestCrashIsReportedWithParts(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe)
	s := r.gateway.isolator
	for range 20 {
		s.completed(quarantine.Request{Content: r.fingerprint(), Parts: []quarantine.Fingerprint{quarantine.PartFingerprint("a")}}, "pool", true)
	}
	c := quarantine.Crash{Target: "t", Service: "pool"}
	c.Add(quarantine.Request{Parts: []quarantine.Fingerprint{quarantine.PartFingerprint("a"), quarantine.PartFingerprint("b")}})
	s.crashed(c)
	r.True(s.writeReport(t.Context()))
	other := newIsolator("front-2", r.store, r.gateway.log)
	other.apply(r.store.all(), true)
	r.Equal(other.crashes(quarantine.PartFingerprint("b")), 1)
	answered := other.register.Answered(time.Now())
	r.Equal(len(answered), 0) // it has seen none itself
}

// crashUnderPart has targets crash under different requests with a part, as this gateway observes it.
func (r *quarantineRig) crashUnderPart(id string) {
	s := r.gateway.isolator
	for range 200 {
		s.completed(quarantine.Request{Parts: []quarantine.Fingerprint{quarantine.PartFingerprint("a")}}, "pool", true)
	}
	for n := range 3 {
		c := quarantine.Crash{Target: string(rune('a' + n)), Service: "pool"}
		c.Add(quarantine.Request{
			Content: quarantine.PartFingerprint(c.Target),
			Parts:   []quarantine.Fingerprint{quarantine.PartFingerprint("a"), quarantine.PartFingerprint(id)},
		})
		s.crashed(c)
	}
}

// Guards against ignoring what a part does while the store is unavailable, and against losing it when
// the store comes back from an older copy.
func TestPartsWhileTheStoreIsAwayAndRestored(t *testing.T) {
	r := newQuarantineRig(t, deployment.Safe, scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") }))
	r.store.down = true
	s := r.gateway.isolator
	r.crashUnderPart("bad")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go s.run(ctx)
	for !s.decide(quarantine.PartFingerprint("bad")).Quarantined {
		time.Sleep(isolatorTick)
	}
	r.Equal(r.prompt("a:1,bad:1,own:2").Do(t.Context()).Status, http.StatusServiceUnavailable)
	r.Equal(r.prompt("a:1,own:2").Do(t.Context()).Status, http.StatusOK)
	r.store.mu.Lock()
	r.store.down = false
	r.store.mu.Unlock()
	for len(r.store.all()) < 2 {
		time.Sleep(isolatorTick) // the report and the hold
	}
	r.store.mu.Lock()
	clear(r.store.items) // The copy is from before.
	r.store.mu.Unlock()
	s.storeRestored(0)
	s.apply(nil, true)
	for len(r.store.all()) < 2 {
		time.Sleep(isolatorTick)
	}
	later := newIsolator("front-2", r.store, r.gateway.log)
	later.apply(r.store.all(), true)
	r.True(later.decide(quarantine.PartFingerprint("bad")).Quarantined)
	r.True(!later.decide(quarantine.PartFingerprint("a")).Quarantined)
}
