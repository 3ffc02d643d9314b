package lease

import (
	"fmt"
	"time"
)

// FencingSupport says what a target does with the number on an order.
type FencingSupport int

// The two habits. The zero value is the one that needs more care.
const (
	// IgnoresFencing is a target that carries out any order.
	IgnoresFencing FencingSupport = iota
	// HonoursFencing is a target that refuses an order older than its last.
	HonoursFencing
)

// StaleError says that an order is older than one already known.
type StaleError struct {
	Got     Number
	Highest Number
}

// Error names both numbers.
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

// Error names the reason.
func (e *WaitError) Error() string {
	return "order has to wait: " + e.Reason
}

// Guard stands before one target in its agent, the only writer to it. It
// refuses old numbers, lets one order out at a time, and after a lost answer or
// a start with empty memory lets nothing out until the target has been read.
//
// For a target that ignores fencing it also waits until an order of unknown
// fate can no longer arrive; without it, an order of this agent's earlier
// process could be carried out after a newer one. The zero value is a guard
// before such a target that has learned nothing.
type Guard struct {
	Fencing FencingSupport
	// Lifetime is how long an order can wait at a target that answers readings
	// before it is carried out or dropped. It matters only for a target that
	// ignores fencing.
	Lifetime time.Duration

	learned bool
	// settling means that an order of unknown fate may still arrive; answered
	// that the target has answered since, and that it settles at notBefore.
	settling  bool
	answered  bool
	notBefore time.Duration
	applied   Number
	fence     uint64
	busy      bool
	out       Number
}

// NewGuard returns a guard for an agent that starts with empty memory.
func NewGuard(habit FencingSupport, lifetime time.Duration) *Guard {
	g := &Guard{Fencing: habit, Lifetime: lifetime}
	g.doubt()
	return g
}

// doubt forgets what the target has applied, because an order sent before may
// still arrive.
func (g *Guard) doubt() {
	g.learned = false
	if g.Fencing == IgnoresFencing {
		g.settling, g.answered = true, false
	}
}

// ObserveFence notes a fencing number seen in the store or on a message. It returns a
// *StaleError if a higher one is known: the sender's lease has passed on.
func (g *Guard) ObserveFence(fence uint64) error {
	if fence < g.fence {
		return &StaleError{Got: Number{Fence: fence}, Highest: Number{Fence: g.fence}}
	}
	g.fence = fence
	return nil
}

// Fence returns the highest fencing number heard of.
func (g *Guard) Fence() uint64 {
	return g.fence
}

// CanRead returns a *WaitError while a reading of the target would prove
// nothing, because an order of unknown fate may come after it.
func (g *Guard) CanRead(now time.Duration) error {
	if g.settling && g.answered && now < g.notBefore {
		return &WaitError{Until: g.notBefore, Reason: "an earlier order may still arrive"}
	}
	return nil
}

// SetApplied takes the number of the order the target applied last, from a reading
// that was begun when CanRead allowed it and no order was out. It reports
// whether the reading can be trusted.
//
// While the target settles, the first answer only starts the time: a target
// that stood still keeps orders waiting in its sockets for as long as it likes,
// and carries them out when it goes on.
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

// Begin lets an order out, or returns a *StaleError or a *WaitError. After
// Begin, Done must be called before the next order.
func (g *Guard) Begin(n Number) error {
	if g.busy {
		return &WaitError{Reason: "another order is out"}
	}
	if !g.learned {
		return &WaitError{Until: g.notBefore, Reason: "the target's last order is not known"}
	}
	if !g.applied.Less(n) {
		return &StaleError{Got: n, Highest: g.applied}
	}
	g.busy, g.out = true, n
	return nil
}

// Admit is Hear and Begin in one, for an order that a holder sends for a target
// directly.
func (g *Guard) Admit(n Number) error {
	if err := g.ObserveFence(n.Fence); err != nil {
		return err
	}
	return g.Begin(n)
}

// Result says how an order ended.
type Result int

// The results. The zero value is the one that proves nothing.
const (
	// Lost means that no answer came: the order may be applied now, later or
	// never.
	Lost Result = iota
	// Applied means that the target said so.
	Applied
	// Refused means that the target said that it did not apply the order.
	Refused
)

// Done ends the order that Begin let out. An order that is given up as lost must
// not be sent after Done; a pause between Begin and the send then does no harm,
// because the settling time begins with an answer that comes later.
func (g *Guard) Done(r Result) {
	if !g.busy {
		return
	}
	g.busy = false
	switch r {
	case Applied:
		g.applied = g.out
	case Lost:
		g.doubt()
	}
}
