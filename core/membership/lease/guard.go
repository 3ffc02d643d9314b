package lease

import (
	"fmt"
	"time"
)

// FencingSupport says whether a target checks the number on an order.
type FencingSupport int

// The kinds of support. The zero value is the one that requires more care.
const (
	// IgnoresFencing is a target that executes any order.
	IgnoresFencing FencingSupport = iota
	// HonoursFencing is a target that refuses an order older than its last.
	HonoursFencing
)

// StaleError says that an order is older than one already known.
type StaleError struct {
	Got     Number
	Highest Number
}

// Error returns both numbers.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stale order: fence %d sequence %d is not after fence %d sequence %d",
		e.Got.Fence, e.Got.Sequence, e.Highest.Fence, e.Highest.Sequence)
}

// WaitError says that no order may be sent before a time.
type WaitError struct {
	// Until is zero if the target has to be read first.
	Until  time.Duration
	Reason string
}

// Error returns the reason.
func (e *WaitError) Error() string {
	return "order has to wait: " + e.Reason
}

// Guard controls the orders to one target in its agent, the only sender of orders
// to it. It refuses old numbers, allows one order at a time, and after a lost answer or
// a restart of the agent allows none until the target has been read.
//
// For a target that ignores fencing it also waits until an order with an unknown
// outcome can no longer arrive; otherwise an order of this agent's earlier
// process could be executed after a newer one. The zero value is a guard
// for such a target that has not been read yet.
type Guard struct {
	Fencing FencingSupport
	// Lifetime is how long an order can wait at a target that answers readings
	// before it is executed or dropped. It matters only for a target that
	// ignores fencing.
	Lifetime time.Duration

	learned bool
	// settling means that an order with an unknown outcome may still arrive; answered
	// that the target has answered since, and that settling ends at notBefore.
	settling  bool
	answered  bool
	notBefore time.Duration
	applied   Number
	fence     uint64
	busy      bool
	inFlight  Number
}

// NewGuard returns a guard for an agent that has just started and knows nothing of
// the target.
func NewGuard(support FencingSupport, lifetime time.Duration) *Guard {
	g := &Guard{Fencing: support, Lifetime: lifetime}
	g.invalidate()
	return g
}

// invalidate discards what the target is known to have applied, because an order
// sent before may still arrive.
func (g *Guard) invalidate() {
	g.learned = false
	if g.Fencing == IgnoresFencing {
		g.settling, g.answered = true, false
	}
}

// ObserveFence records a fencing token seen in the store or on a message. It returns
// a *StaleError if a higher one is known: the sender's lease has passed to another.
func (g *Guard) ObserveFence(fence uint64) error {
	if fence < g.fence {
		return &StaleError{Got: Number{Fence: fence}, Highest: Number{Fence: g.fence}}
	}
	g.fence = fence
	return nil
}

// Fence returns the highest fencing token observed.
func (g *Guard) Fence() uint64 {
	return g.fence
}

// CanRead returns a *WaitError while a reading of the target would prove
// nothing, because an order with an unknown outcome may be executed after it.
func (g *Guard) CanRead(now time.Duration) error {
	if g.settling && g.answered && now < g.notBefore {
		return &WaitError{Until: g.notBefore, Reason: "an earlier order may still arrive"}
	}
	return nil
}

// SetApplied sets the number of the order that the target applied last, from a reading
// that was begun when CanRead allowed it and no order was in flight. It reports
// whether the reading can be trusted.
//
// While the target settles, the first answer only starts the settling time: a target
// that was stalled retains orders in its socket buffers without limit, and executes
// them when it resumes.
func (g *Guard) SetApplied(now time.Duration, applied Number) bool {
	switch {
	case g.busy:
		return false
	case g.settling && !g.answered:
		g.answered, g.notBefore = true, now+g.Lifetime
		return false
	case g.settling && now < g.notBefore:
		return false
	}
	g.settling = false
	g.learned = true
	g.applied = applied
	g.fence = max(g.fence, applied.Fence)
	return true
}

// Begin allows an order to be sent, or returns a *StaleError or a *WaitError. After
// Begin, Done must be called before the next order.
func (g *Guard) Begin(n Number) error {
	if g.busy {
		return &WaitError{Reason: "another order is in flight"}
	}
	if !g.learned {
		return &WaitError{Until: g.notBefore, Reason: "the target's last order is not known"}
	}
	if !g.applied.Less(n) {
		return &StaleError{Got: n, Highest: g.applied}
	}
	g.busy, g.inFlight = true, n
	return nil
}

// Admit combines ObserveFence and Begin, for an order that a holder sends to a target
// directly.
func (g *Guard) Admit(n Number) error {
	if err := g.ObserveFence(n.Fence); err != nil {
		return err
	}
	return g.Begin(n)
}

// Result is the outcome of an order.
type Result int

// The results. The zero value is the one that proves nothing.
const (
	// Lost means that no answer came: the order may be applied now, later or
	// never.
	Lost Result = iota
	// Applied means that the target confirmed the order.
	Applied
	// Refused means that the target reported that it did not apply the order.
	Refused
)

// Done ends the order that Begin allowed. An order that is abandoned as lost must
// not be sent after Done. A pause between Begin and the send does no harm,
// because the settling time begins with an answer that comes later.
func (g *Guard) Done(r Result) {
	if !g.busy {
		return
	}
	g.busy = false
	switch r {
	case Applied:
		g.applied = g.inFlight
	case Lost:
		g.invalidate()
	}
}
