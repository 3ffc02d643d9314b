package lease

import "time"

// The defaults of Config.
const (
	// DefaultTTL is how long the store retains a lease that is not renewed.
	DefaultTTL = 10 * time.Second
	// marginDivisor gives the default margin as a part of the TTL.
	marginDivisor = 10
	// renewDivisor gives the default interval of renewals as a part of the TTL.
	renewDivisor = 3
	// retryDivisor gives the default pause after a failed call.
	retryDivisor = 10
)

// Config holds the settings of one Holder. Zero durations take their defaults
// from the TTL, and a zero TTL is DefaultTTL.
type Config struct {
	Role string
	// Owner identifies this process and its incarnation. No other process may ever
	// use it: a process that found its predecessor's name in the store would take
	// over a lease whose orders it does not know.
	Owner string
	TTL   time.Duration
	// Margin is subtracted from the deadline to allow for clocks of different rates.
	Margin time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Retry is the pause after a call that failed or found another holder.
	Retry time.Duration
	// Timeout is how long to wait for an answer before it counts as lost.
	Timeout time.Duration
}

func (c Config) withDefaults() Config {
	c.TTL = orElse(c.TTL, DefaultTTL)
	c.Margin = orElse(c.Margin, c.TTL/marginDivisor)
	c.Renew = orElse(c.Renew, c.TTL/renewDivisor)
	c.Retry = orElse(c.Retry, c.TTL/retryDivisor)
	c.Timeout = orElse(c.Timeout, c.Retry)
	return c
}

func orElse(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// CallKind is the operation that a Call requests of the store.
type CallKind int

// The kinds of calls. The zero value is no call.
const (
	// Acquire creates the role's key under a new lease if there is none.
	Acquire CallKind = iota + 1
	// Renew extends the lease under which Fence was given.
	Renew
	// Read returns who holds the role.
	Read
	// Release ends the lease under which Fence was given.
	Release
)

// Call is one call to the store.
type Call struct {
	ID    uint64
	Kind  CallKind
	Role  string
	Owner string
	Fence uint64
	TTL   time.Duration
}

// Answer is the store's answer to a Call.
type Answer struct {
	// ID is that of the call.
	ID uint64
	// Done reports that this call took effect: Acquire created the key, or Renew
	// extended the lease.
	Done bool
	// Lost reports that no answer came: the call may have taken effect or not.
	Lost bool
	// Owner and Fence are those of the holder after the call; empty and 0 when
	// nobody holds the role. The fence is the store revision at which the holder's
	// key was created, so that it only grows.
	Owner string
	Fence uint64
}

type holderState int

const (
	idle holderState = iota
	// unsure means that an acquisition may have taken effect.
	unsure
	held
	releasing
)

// Holder acquires and renews the lease of one role. Use NewHolder to make one.
// A Holder has at most one call in flight.
type Holder struct {
	cfg      Config
	state    holderState
	want     bool
	fence    uint64
	deadline time.Duration
	due      time.Duration
	calls    uint64
	inFlight Call
	sent     time.Duration
}

// NewHolder returns a holder that does not want the role yet.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg.withDefaults()}
}

// Want sets whether this process should have the role. Giving it up makes the
// lease invalid at once; the next Tick releases it in the store.
func (h *Holder) Want(want bool) {
	if h.want && !want {
		h.due = 0
	}
	h.want = want
}

// Valid reports whether the role may be exercised at now, a reading of the
// process's monotonic clock. It must be checked right before each use.
func (h *Holder) Valid(now time.Duration) bool {
	return h.state == held && h.want && now < h.deadline
}

// Fence returns the fencing token of the lease that the process holds according
// to the store's last answer, or 0. Only Valid reports whether it may be used.
func (h *Holder) Fence() uint64 {
	return h.fence
}

// Deadline returns when the lease becomes invalid without a renewal.
func (h *Holder) Deadline() time.Duration {
	return h.deadline
}

// Calls returns how many calls to the store the holder has made.
func (h *Holder) Calls() uint64 {
	return h.calls
}

// Tick returns the calls that are due.
func (h *Holder) Tick(now time.Duration) []Call {
	if h.inFlight.Kind != 0 {
		if now-h.sent < h.cfg.Timeout {
			return nil
		}
		h.Answer(now, Answer{ID: h.inFlight.ID, Lost: true})
	}
	if now < h.due {
		return nil
	}
	kind := h.next()
	if kind == 0 {
		return nil
	}
	return []Call{h.send(now, kind)}
}

func (h *Holder) next() CallKind {
	switch {
	case h.state == unsure:
		return Read
	case h.state == releasing, h.state == held && !h.want:
		return Release
	case h.state == held:
		return Renew
	case h.want:
		return Acquire
	default:
		return 0
	}
}

func (h *Holder) send(now time.Duration, kind CallKind) Call {
	h.calls++
	h.sent = now
	if kind == Release {
		h.state = releasing
	}
	h.inFlight = Call{
		ID: h.calls, Kind: kind, Role: h.cfg.Role, Owner: h.cfg.Owner, Fence: h.fence, TTL: h.cfg.TTL,
	}
	return h.inFlight
}

// Answer handles the answer to a call. Answers that arrive after their timeout are
// ignored.
func (h *Holder) Answer(now time.Duration, a Answer) {
	if h.inFlight.Kind == 0 || a.ID != h.inFlight.ID {
		return
	}
	kind := h.inFlight.Kind
	h.inFlight = Call{}
	h.due = now + h.cfg.Retry
	if a.Lost {
		h.handleLost(kind)
		return
	}
	switch {
	case kind == Release, a.Owner != h.cfg.Owner:
		// A release whose answer was lost finds no holder or a successor.
		h.state, h.fence, h.deadline = idle, 0, 0
	case a.Done:
		h.extend(a.Fence)
	default:
		h.adoptFound(now, a.Fence)
	}
}

// adoptFound handles a lease that an earlier call acquired without its answer
// arriving. Its start is unknown, so that it is not valid until a renewal has
// been answered.
func (h *Holder) adoptFound(now time.Duration, fence uint64) {
	h.state, h.fence, h.deadline = held, fence, 0
	h.due = now
}

// handleLost handles a call whose answer never came. An acquisition may have taken
// effect without the holder's knowledge; without reading back, nobody would exercise
// the role for a TTL. A lost renewal does not extend the deadline.
func (h *Holder) handleLost(kind CallKind) {
	if kind == Acquire {
		h.state = unsure
	}
}

// extend counts the deadline from when the call was sent. The store's own clock
// starts no earlier, so that the holder always stops before the store admits
// another; counted from a slow answer, both could be valid at once.
func (h *Holder) extend(fence uint64) {
	h.state, h.fence = held, fence
	h.deadline = h.sent + h.cfg.TTL - h.cfg.Margin
	h.due = h.sent + h.cfg.Renew
}
