package group

import (
	"fmt"
	"slices"

	"verbenashift/core/membership/lease"
)

// Version identifies one expert map by the digest of its content, so that the same version is
// the same placement everywhere. The zero Version is no map.
type Version uint64

// Kind says what an order makes a rank do.
type Kind int

// The kinds of orders. The zero value is no order.
const (
	// LoadMap starts loading the weights that a map needs, beside those in use.
	LoadMap Kind = iota + 1
	// ArmMap makes the rank stop before Step until it receives the outcome.
	ArmMap
	// ResolveMap sets the outcome of a switch; refusing one in advance is resolving it with
	// Commit false.
	ResolveMap
	// FormGroup makes the rank leave its epoch and join a new one.
	FormGroup
)

// The offsets of order numbers: each base number of a coordinator is followed by one number
// for each order that may result from it, in this order.
const (
	loadOffset    = 1
	mainOffset    = 2
	resolveOffset = 3
	// numberStride is the distance between two base numbers.
	numberStride = 4
)

// Switch is one attempt to change a group's map. Its content is fixed by its number: another
// step or map is another switch.
type Switch struct {
	// Number is the base number that the coordinator gave it.
	Number lease.Number `json:"number,omitzero"`
	// Epoch is the epoch of the group it belongs to.
	Epoch   lease.Number `json:"epoch,omitzero"`
	Version Version      `json:"version,omitzero"`
	// Step is the first step on the new map.
	Step uint64 `json:"step,omitzero"`
}

// Order is one order to a rank, from its agent.
type Order struct {
	// Number is the order's own number; Base is that of the switch or epoch.
	Number  lease.Number `json:"number,omitzero"`
	Base    lease.Number `json:"base,omitzero"`
	Kind    Kind         `json:"kind,omitzero"`
	Epoch   lease.Number `json:"epoch,omitzero"`
	Version Version      `json:"version,omitzero"`
	Step    uint64       `json:"step,omitzero"`
	Commit  bool         `json:"commit,omitzero"`
	Members []string     `json:"members,omitempty"`
}

// RankState is the state of a rank. It lives in the engine, survives the agent, and is lost
// with the engine.
type RankState struct {
	// Incarnation changes with every start of the engine.
	Incarnation uint64 `json:"incarnation,omitzero"`
	// Epoch is the base number of the order that formed the group; zero in an
	// engine that has just started.
	Epoch   lease.Number `json:"epoch,omitzero"`
	Members []string     `json:"members,omitempty"`
	Version Version      `json:"version,omitzero"`
	// Since is the base number of the switch or epoch that put Version in force.
	Since lease.Number `json:"since,omitzero"`
	// Next is the first step that the rank has not begun.
	Next uint64 `json:"next,omitzero"`
	// Waiting says that the rank has done its part of the step before Next and
	// waits for the others.
	Waiting bool `json:"waiting,omitzero"`
	// Armed is the switch the rank stops for; zero if there is none.
	Armed Switch `json:"armed,omitzero"`
	// Committed says that the outcome of Armed is known to be commit.
	Committed bool `json:"committed,omitzero"`
	// Loaded is a map whose weights are in memory beside those in use.
	Loaded Version `json:"loaded,omitzero"`
	// Loading is a map whose weights are being loaded.
	Loading Version `json:"loading,omitzero"`
	// Last is the number of the order applied last.
	Last lease.Number `json:"last,omitzero"`
}

// Has reports whether the weights of a map are in memory.
func (s RankState) Has(v Version) bool {
	return v == s.Version && v != s.Loading || v == s.Loaded
}

// Ready reports whether the rank can run steps: it is in an epoch and has the
// weights of the epoch's map.
func (s RankState) Ready() bool {
	return !s.Epoch.IsZero() && s.Loading != s.Version
}

// Undecided reports whether the rank is armed and has not received the outcome yet.
func (s RankState) Undecided() bool {
	return !s.Armed.Number.IsZero() && !s.Committed
}

// Held reports whether the rank has stopped because it lacks an outcome.
func (s RankState) Held() bool {
	return s.Undecided() && s.Next == s.Armed.Step
}

// RefusedError says why a rank did not apply an order.
type RefusedError struct {
	Order  Order
	Reason string
}

// Error names the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order %d.%d refused: %s", e.Order.Number.Fence, e.Order.Number.Sequence, e.Reason)
}

// Rank is the part of an engine that the switch relies on, as a reference for adapters and
// stand-ins. The engine has four obligations: it applies one order at a time, it refuses to
// arm for a step it has begun or a map it has not loaded, it does not begin the step it is
// armed for before it receives the outcome, and it reports its state truthfully.
type Rank struct {
	State   RankState
	Fencing lease.FencingSupport
	// Stops counts the calls of Begin that found the rank held.
	Stops uint64

	off guardsOff
}

// guardsOff disables guards, to show that each is needed. Only tests set it.
type guardsOff struct {
	arm, wait, fence, readBack bool
}

// Apply carries out an order, or returns a *RefusedError and changes nothing.
func (r *Rank) Apply(o Order) error {
	s := &r.State
	if r.Fencing == lease.HonoursFencing && !r.off.fence {
		if o.Number == s.Last {
			return nil
		}
		if o.Number.Less(s.Last) {
			return &RefusedError{Order: o, Reason: "stale-fence"}
		}
	}
	if reason := r.refusal(o); reason != "" {
		return &RefusedError{Order: o, Reason: reason}
	}
	s.Last = o.Number
	switch o.Kind {
	case LoadMap:
		r.load(o.Version)
	case ArmMap:
		s.Armed = Switch{Number: o.Base, Epoch: o.Epoch, Version: o.Version, Step: o.Step}
		s.Committed = false
	case ResolveMap:
		r.resolve(o)
	case FormGroup:
		r.form(o)
	}
	return nil
}

func (r *Rank) refusal(o Order) string {
	s := r.State
	switch {
	case o.Kind == ArmMap && o.Epoch != s.Epoch:
		return "other-epoch"
	case o.Kind == ArmMap && !s.Has(o.Version):
		return "not-loaded"
	// Loading frees memory first, and an armed rank needs both of its maps.
	case o.Kind == LoadMap && !s.Armed.Number.IsZero():
		return "armed"
	// A rank that has begun the step used the old map in it. If it armed, the others could
	// commit and use the new map in the same step.
	case o.Kind == ArmMap && o.Step < s.Next && !r.off.arm:
		return "step-begun"
	default:
		return ""
	}
}

func (r *Rank) load(v Version) {
	s := &r.State
	if s.Has(v) || s.Loading == v {
		return
	}
	s.Loaded, s.Loading = 0, v
}

// FinishLoad records that the weights being loaded have arrived.
func (r *Rank) FinishLoad() {
	s := &r.State
	if s.Loading != 0 && s.Loading != s.Version {
		s.Loaded = s.Loading
	}
	s.Loading = 0
}

// resolve ends the armed switch. An abort leaves the map in force and the loaded weights as
// they were.
func (r *Rank) resolve(o Order) {
	s := &r.State
	if s.Armed.Number != o.Base || s.Committed {
		return
	}
	if o.Commit {
		s.Committed = true
		return
	}
	s.Armed = Switch{}
}

// form joins a new epoch at once, whatever the rank was doing in the old one; if
// the weights are not in memory it runs no step before they are.
func (r *Rank) form(o Order) {
	s := &r.State
	has, old := s.Has(o.Version), s.Version
	s.Loading = 0
	if !has {
		s.Loading = o.Version
	}
	if o.Version != old {
		s.Loaded = old
	}
	s.Epoch, s.Since = o.Base, o.Base
	s.Members = slices.Clone(o.Members)
	s.Version = o.Version
	s.Next, s.Waiting = o.Step, true
	s.Armed, s.Committed = Switch{}, false
}

// Begin begins the next step and returns it with the map it uses. It returns false if the rank
// is not ready, or is held at the step of a switch whose outcome it does not know: continuing
// would mean guessing between two maps.
func (r *Rank) Begin() (uint64, Version, bool) {
	s := &r.State
	if !s.Ready() {
		return 0, 0, false
	}
	if s.Held() && !r.off.wait {
		r.Stops++
		return 0, 0, false
	}
	if s.Committed && s.Next >= s.Armed.Step {
		// The old weights stay in memory until the next load needs the memory.
		s.Loaded, s.Version, s.Since = s.Version, s.Armed.Version, s.Armed.Number
		s.Armed, s.Committed = Switch{}, false
	}
	step := s.Next
	s.Next++
	s.Waiting = false
	return step, s.Version, true
}

// Finish records that the rank has completed its part of the step it has begun.
func (r *Rank) Finish() {
	r.State.Waiting = true
}
