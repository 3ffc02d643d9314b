package relay_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
)

// TestMain fixes the seed; the flag -rapid.seed=0 draws a new one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var limits = relay.Limits{Tries: 3, Submits: 6, Claims: 2, Attaches: 3, Backoff: time.Millisecond, RetryAfter: time.Second}

// play feeds events to a machine and returns the last action.
func play(r *relay.Relay, events ...relay.Event) relay.Action {
	a := r.Start()
	for _, e := range events {
		a = r.Next(e)
	}
	return a
}

// A studio sends a billed caption job; the connection to the agent breaks when
// the job may have begun. A second submission would bill the job twice: the
// entry may only read on, and in the end say that it does not know.
func TestBrokenOnceIsNeverSubmittedAgain(t *testing.T) {
	is := is.New(t)
	r := relay.New(relay.Request{CallerKey: true}, limits)
	a := play(r, relay.Event{Kind: relay.Picked}, relay.Event{Kind: relay.Granted}, relay.Event{Kind: relay.Disconnected})
	for range limits.Attaches {
		is.Equal(a.Kind, relay.Attach)
		a = r.Next(relay.Event{Kind: relay.Disconnected})
	}
	is.Equal(a.Kind, relay.Finish)
	is.Equal(a.Err.Outcome, outcome.Unknown)
}

// The agent is restarted before the job reached it. Its word that the attempt
// never ran, and never will, lets the entry give the key back and try another.
func TestSealedAttemptIsReleasedAndTriedElsewhere(t *testing.T) {
	is := is.New(t)
	r := relay.New(relay.Request{CallerKey: true}, limits)
	a := play(r, relay.Event{Kind: relay.Picked}, relay.Event{Kind: relay.Granted}, relay.Event{Kind: relay.Disconnected}, relay.Event{Kind: relay.NotSeen})
	is.Equal(a.Kind, relay.Seal)
	is.Equal(r.Next(relay.Event{Kind: relay.Sealed}).Kind, relay.Release)
	is.Equal(r.Next(relay.Event{Kind: relay.Released}).Kind, relay.Pick)
}

// An agent drains and hands the answer of a billed job over. The entry reads on
// where the answer is; to give up would tell the caller "unknown" of an answer
// that is there.
func TestHandedOverAnswerIsReadOn(t *testing.T) {
	is := is.New(t)
	r := relay.New(relay.Request{CallerKey: true}, limits)
	handover := relay.Event{Kind: relay.Ended, Outcome: outcome.Unknown, Handover: true}
	a := play(r, relay.Event{Kind: relay.Picked}, relay.Event{Kind: relay.Granted}, handover)
	is.Equal(a.Kind, relay.Attach)
}

// The register of a key is down. A caller that may have tried the key before
// must not hear "not run", since its earlier try may have run; a key that the
// entry made itself has no earlier try.
func TestRegisterDown(t *testing.T) {
	for _, tt := range []struct {
		callerKey bool
		want      outcome.Outcome
	}{{true, outcome.Unknown}, {false, outcome.NotRun}} {
		is := is.New(t)
		r := relay.New(relay.Request{CallerKey: tt.callerKey}, limits)
		a := play(r, relay.Event{Kind: relay.Picked}, relay.Event{Kind: relay.ClaimFailed}, relay.Event{Kind: relay.ClaimFailed})
		is.Equal(a.Kind, relay.Finish)
		is.Equal(a.Err.Outcome, tt.want)
	}
}

// An obituary breaks off at one target after another, each time a little
// further on. It goes on as long as it makes progress, and a stream without
// progress ends with an explicit failure.
func TestStreamGoesOnWhileItProgresses(t *testing.T) {
	is := is.New(t)
	r := relay.New(relay.Request{Repeatable: true}, limits)
	a := play(r, relay.Event{Kind: relay.Picked})
	for range limits.Submits - 1 {
		is.Equal(a.Kind, relay.Submit)
		is.Equal(r.Next(relay.Event{Kind: relay.Disconnected, Progress: true}).Kind, relay.Pick)
		a = r.Next(relay.Event{Kind: relay.Picked})
		is.True(a.Resume)
	}
	a = r.Next(relay.Event{Kind: relay.Disconnected, Progress: true})
	is.Equal(a.Kind, relay.Finish)
	is.Equal(a.Err.Outcome, outcome.Failed)
}

// Whatever happens, in whatever order, a request ends after a bounded number
// of steps; it is not-run only if no target can have run it; and one that may
// not be repeated is submitted again only after a word that it never ran.
func TestEveryRequestEndsTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := relay.Request{Repeatable: rapid.Bool().Draw(t, "repeatable")}
		req.CallerKey = !req.Repeatable && rapid.Bool().Draw(t, "caller-key")
		w := world{req: req}
		w.earlier = req.CallerKey && rapid.Bool().Draw(t, "earlier")
		w.mayHaveRun = w.earlier
		if rapid.Bool().Draw(t, "refused") {
			req.Refused = &outcome.Error{Outcome: outcome.NotRun, Reason: "workspace-limit"}
			w.refused = true
		}
		r := relay.New(req, limits)
		a := r.Start()
		for step := 0; a.Kind != relay.Finish; step++ {
			if step > 100 {
				t.Fatal("the request does not end")
			}
			a = r.Next(w.react(t, a))
		}
		if a.Err != nil && a.Err.Outcome == outcome.NotRun && w.mayHaveRun {
			t.Fatalf("not-run, but it may have run: %s", a.Err.Reason)
		}
		if a.Err == nil && !w.complete {
			t.Fatal("complete without a complete answer")
		}
	})
}

// world answers actions at random and keeps the truth.
type world struct {
	req        relay.Request
	mayHaveRun bool
	complete   bool
	// refused says that the entry does not run the request.
	refused bool
	// pickFailed says that no target could take it.
	pickFailed bool
	// earlier says that an earlier try of the key ran.
	earlier bool
}

func (w *world) react(t *rapid.T, a relay.Action) relay.Event {
	pick := func(events ...relay.Event) relay.Event {
		return events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]
	}
	switch a.Kind {
	case relay.Pick:
		e := pick(relay.Event{Kind: relay.Picked}, relay.Event{Kind: relay.Picked}, relay.Event{Kind: relay.NoTarget})
		w.pickFailed = e.Kind == relay.NoTarget
		w.refused = false
		return e
	case relay.Claim:
		return w.claim(pick)
	case relay.Submit:
		if w.refused {
			t.Fatal("submitted although it was refused")
		}
		if w.mayHaveRun && !w.req.Repeatable {
			t.Fatal("submitted again although it may have run")
		}
		return w.answer(t, pick)
	case relay.Attach:
		return w.answer(t, pick)
	case relay.Seal:
		events := []relay.Event{{Kind: relay.Seen}, {Kind: relay.RecordLost}, {Kind: relay.Disconnected}}
		if !w.earlier {
			events = append(events, relay.Event{Kind: relay.Sealed})
		}
		e := pick(events...)
		w.mayHaveRun = e.Kind != relay.Sealed
		return e
	default:
		return relay.Event{Kind: relay.Released}
	}
}

// claim answers as a home would: of a key that ran it never says that it is
// free, and it grants nothing to a claim without a target.
func (w *world) claim(pick func(...relay.Event) relay.Event) relay.Event {
	events := []relay.Event{{Kind: relay.Held}, {Kind: relay.Uncertain}, {Kind: relay.ClaimFailed}}
	switch {
	case w.earlier:
	case w.refused || w.pickFailed:
		events = append(events, relay.Event{Kind: relay.Free}, relay.Event{Kind: relay.Mismatch})
	default:
		events = append(events, relay.Event{Kind: relay.Granted}, relay.Event{Kind: relay.Mismatch})
	}
	e := pick(events...)
	w.mayHaveRun = w.mayHaveRun || e.Kind == relay.Held || e.Kind == relay.Uncertain
	return e
}

func (w *world) answer(_ *rapid.T, pick func(...relay.Event) relay.Event) relay.Event {
	events := []relay.Event{
		{Kind: relay.Ended, Outcome: outcome.Complete},
		{Kind: relay.Ended, Outcome: outcome.Failed, Reason: "target-error"},
		{Kind: relay.Ended, Outcome: outcome.Unknown, Reason: "target-broken"},
		{Kind: relay.Ended, Outcome: outcome.Unknown, Handover: true},
		{Kind: relay.Disconnected},
		{Kind: relay.Disconnected, NotSent: true},
		{Kind: relay.NotSeen},
		{Kind: relay.RecordLost},
	}
	if !w.earlier {
		events = append(events, relay.Event{Kind: relay.Ended, Outcome: outcome.NotRun, Reason: "queue-full"})
	}
	e := pick(events...)
	switch {
	case e.Outcome == outcome.Complete:
		w.complete = true
	case e.Outcome == outcome.NotRun && !w.req.Repeatable:
		w.mayHaveRun = false
	case e.Kind == relay.NotSeen, e.NotSent, e.Outcome == outcome.NotRun:
	default:
		w.mayHaveRun = true
	}
	return e
}
