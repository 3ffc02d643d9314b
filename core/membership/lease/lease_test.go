package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

// acquire gives h a lease whose call was sent at now and answered after late.
func acquire(t *testing.T, h *Holder, now, late time.Duration) {
	t.Helper()
	h.Want(true)
	calls := h.Tick(now)
	if len(calls) != 1 || calls[0].Kind != Acquire {
		t.Fatalf("calls %+v, want one acquisition", calls)
	}
	h.Answer(now+late, Answer{ID: calls[0].ID, Done: true, Owner: calls[0].Owner, Fence: 7})
}

func newHolder() *Holder {
	return NewHolder(Config{Role: "group/captions", Owner: "rank-3/17", TTL: 10 * second, Timeout: 5 * second})
}

// Guards against two coordinators that send orders at once. If a holder counted its lease
// from a slow answer to its renewal, the store, which counts from the call, would admit a
// second holder before the first stops.
func TestDeadlineCountsFromSend(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	acquire(t, h, 100*second, 4*second)
	is.Equal(h.Deadline(), 109*second) // TTL less the margin, from the send
	is.True(h.Valid(109*second - 1))
	is.True(!h.Valid(109 * second))
}

// Guards against a holder that is paused for longer than its lease and then acts on it:
// it must detect by itself, before it does anything, that the lease has expired.
func TestPausedHolderIsInvalid(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	acquire(t, h, 100*second, 0)
	is.True(!h.Valid(160 * second))
	calls := h.Tick(160 * second)
	is.Equal(calls[0].Kind, Renew)
	h.Answer(160*second, Answer{ID: calls[0].ID, Owner: "rank-5/2", Fence: 9})
	is.True(!h.Valid(160 * second))
	is.Equal(h.Fence(), uint64(0))
}

// Guards against a role that nobody exercises for a TTL because the store's answer was
// lost after the write took effect: the holder must read back. The lease it finds may be
// about to expire, so that it must be renewed before it is used.
func TestLostAcquireIsReadBackAndRenewed(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	h.Want(true)
	lost := h.Tick(100 * second)[0]
	is.Equal(len(h.Tick(101*second)), 0) // one call at a time
	is.Equal(len(h.Tick(106*second)), 0) // its answer counts as lost
	read := h.Tick(107 * second)[0]
	is.Equal(read.Kind, Read)
	h.Answer(107*second, Answer{ID: lost.ID, Done: true, Owner: lost.Owner, Fence: 7}) // too late
	h.Answer(107*second, Answer{ID: read.ID, Owner: read.Owner, Fence: 7})
	is.Equal(h.Fence(), uint64(7))
	is.True(!h.Valid(107 * second))
	renew := h.Tick(107 * second)[0]
	is.Equal(renew.Kind, Renew)
	h.Answer(107*second, Answer{ID: renew.ID, Done: true, Owner: renew.Owner, Fence: 7})
	is.True(h.Valid(115 * second))
}

// Guards against lost renewals, as in an outage of the store, that extend the lease: it
// ends at the deadline of the last renewal that was answered.
func TestLostRenewalDoesNotExtendLease(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	acquire(t, h, 100*second, 0)
	for now := 100 * second; now < 120*second; now += second {
		for _, c := range h.Tick(now) {
			h.Answer(now, Answer{ID: c.ID, Lost: true})
		}
		is.Equal(h.Valid(now), now < 109*second)
	}
}

// Guards against a draining agent that exercises a role after releasing it.
func TestReleaseEndsAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	acquire(t, h, 100*second, 0)
	h.Want(false)
	is.True(!h.Valid(100 * second))
	calls := h.Tick(100 * second)
	is.Equal(calls[0].Kind, Release)
	is.Equal(calls[0].Fence, uint64(7))
	h.Answer(100*second, Answer{ID: calls[0].ID})
	is.Equal(len(h.Tick(200*second)), 0)
}

// Guards against executing the order of a holder that was paused between its check and
// its send, after a newer holder has sent one, and against executing a repeated order
// twice.
func TestGuardRefusesOldNumbers(t *testing.T) {
	tests := []struct {
		name  string
		n     Number
		stale bool
	}{
		{"older fence", Number{Fence: 6, Sequence: 90}, true},
		{"same order", Number{Fence: 7, Sequence: 3}, true},
		{"older sequence", Number{Fence: 7, Sequence: 2}, true},
		{"next sequence", Number{Fence: 7, Sequence: 4}, false},
		{"newer fence", Number{Fence: 8, Sequence: 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := NewGuard(HonoursFencing, 0)
			g.SetApplied(0, Number{Fence: 7, Sequence: 3})
			var stale *StaleError
			is.Equal(errors.As(g.Admit(tt.n), &stale), tt.stale)
		})
	}
	is := is.New(t)
	g := NewGuard(HonoursFencing, 0)
	g.SetApplied(0, Number{Fence: 7})
	is.NoErr(g.ObserveFence(9)) // a newer holder was observed, but has sent no order
	is.True(g.Admit(Number{Fence: 8, Sequence: 1}) != nil)
	is.Equal(g.Fence(), uint64(9))
}

// Guards against orders of a restarted agent, which knows neither its predecessor's last
// order nor whether one is still in flight. It must refuse every order until it has read
// the target, and at a target that ignores fencing it must not trust a reading before a
// late order can no longer arrive.
func TestGuardLearnsBeforeFirstOrder(t *testing.T) {
	is := is.New(t)
	var wait *WaitError
	g := NewGuard(IgnoresFencing, second)
	is.True(errors.As(g.Admit(Number{Fence: 9, Sequence: 1}), &wait))
	is.True(!g.SetApplied(100*second, Number{Fence: 8, Sequence: 4}))
	is.True(errors.As(g.CanRead(100*second+second/2), &wait))
	is.NoErr(g.CanRead(101 * second))
	is.True(g.SetApplied(101*second, Number{Fence: 8, Sequence: 4}))
	is.NoErr(g.Admit(Number{Fence: 9, Sequence: 1}))

	is.True(errors.As(g.Begin(Number{Fence: 9, Sequence: 2}), &wait)) // one at a time
	g.Done(Lost)
	is.True(errors.As(g.Begin(Number{Fence: 9, Sequence: 2}), &wait)) // the outcome is unknown
	is.True(!g.SetApplied(102*second, Number{Fence: 8, Sequence: 4}))
	is.True(g.CanRead(102*second+second/2) != nil)
	is.NoErr(g.CanRead(103 * second))
}

// Guards against trusting a reading too early after an engine stalled while its agent was
// replaced: an order of the old agent waits in the engine's socket for as long as the
// stall lasts, and is executed when the engine resumes. The settling time must therefore
// begin when the engine answers.
func TestGuardSettlesAfterTargetAnswers(t *testing.T) {
	is := is.New(t)
	g := NewGuard(IgnoresFencing, second)
	is.NoErr(g.CanRead(100 * second)) // to see whether the target answers
	is.True(!g.SetApplied(160*second, Number{Fence: 8, Sequence: 4}))
	is.True(g.Admit(Number{Fence: 9, Sequence: 1}) != nil)
	is.True(g.CanRead(160*second+second/2) != nil)
	is.True(!g.SetApplied(160*second+second/2, Number{Fence: 8, Sequence: 4})) // a late order may still arrive
	is.NoErr(g.CanRead(161 * second))
	is.True(g.SetApplied(161*second, Number{Fence: 8, Sequence: 5})) // the late order has been executed
	is.NoErr(g.Admit(Number{Fence: 9, Sequence: 1}))
}

func TestCandidatesSpreadAndStay(t *testing.T) {
	is := is.New(t)
	var agents []string
	for i := range 64 {
		agents = append(agents, fmt.Sprintf("agent-%02d", i))
	}
	const roles = 6400
	count, moved := make(map[string]int), 0
	for d := range roles {
		role := fmt.Sprintf("duty-%d", d)
		first := Candidates(role, agents)[0]
		count[first]++
		if after := Candidates(role, agents[1:])[0]; first != agents[0] && after != first {
			moved++
		}
	}
	is.Equal(moved, 0) // only the lost agent's roles move
	for _, n := range count {
		is.True(n > roles/64/2 && n < roles/64*2)
	}
}

func TestCandidatesTakeOverInTurn(t *testing.T) {
	is := is.New(t)
	agents := []string{"a", "b", "c", "d"}
	order := Candidates("duty", agents)
	take := Takeover{HolderTimeout: 3 * second, Stagger: second, MaxCandidates: 2}
	is.True(!take.Due(3*second-1, 0, "duty", order[0], agents))
	is.True(take.Due(3*second, 0, "duty", order[0], agents))
	is.True(!take.Due(3*second, 0, "duty", order[1], agents))
	is.True(take.Due(4*second, 0, "duty", order[1], agents))
	is.True(!take.Due(60*second, 0, "duty", order[2], agents))
	is.True(!take.Due(60*second, 0, "duty", "draining", agents))
}
