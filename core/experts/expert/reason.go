package expert

import (
	"encoding/json"
	"fmt"
)

// Reason is the reason why a plan moves experts or doesn't.
type Reason int

// The reasons. Plans with Moving or BoundReached have moves, unless the bounds
// are used up.
const (
	// Balanced means that no known change reduces the skew enough.
	Balanced Reason = iota
	// Moving means that the moves are worth their cost.
	Moving
	// GainBelowCost means that the expected gain over the horizon is less than
	// the cost of the bytes or than the hysteresis.
	GainBelowCost
	// StaleLoads means that the load reports are too old, too few or too
	// inaccurate for planning.
	StaleLoads
	// ProtectedWork means that too much protected work is in progress.
	ProtectedWork
	// SwitchInProgress means that an earlier plan isn't active yet.
	SwitchInProgress
	// BoundReached means that the confirmed bounds allow only a part of what
	// the planner would load: the rest needs a new confirmation.
	BoundReached
	// InvalidInput means that a map or the loads don't match the group.
	InvalidInput
	reasonCount
)

var reasonNames = [...]string{
	Balanced: "balanced", Moving: "moving", GainBelowCost: "gain-below-cost", StaleLoads: "stale-loads",
	ProtectedWork: "protected-work", SwitchInProgress: "switch-in-progress", BoundReached: "bound-reached",
	InvalidInput: "invalid-input",
}

// String returns the reason in kebab case.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}

// MarshalText encodes the reason in kebab case.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes the output of MarshalText. It returns a
// *json.UnsupportedValueError for any other text.
func (r *Reason) UnmarshalText(text []byte) error {
	for i, name := range reasonNames {
		if name == string(text) {
			*r = Reason(i)
			return nil
		}
	}
	return &json.UnsupportedValueError{Str: string(text)}
}

// Explain returns the plan's reason as a sentence for operators.
func (p Plan) Explain() string {
	switch p.Reason {
	case Moving:
		return fmt.Sprintf("moving %d replicas (%s, %.1f s): expected skew %.3f -> %.3f, confidence %.2f",
			len(p.Moves), gigabytes(p.Bytes), p.Seconds, p.SkewBefore, p.SkewAfter, p.Confidence)
	case BoundReached:
		return fmt.Sprintf("moving %d of %d wanted replicas: the confirmed bounds allow no more; "+
			"expected skew %.3f -> %.3f; confirm wider bounds to move the rest", len(p.Moves), p.Wanted, p.SkewBefore, p.SkewAfter)
	case GainBelowCost:
		return fmt.Sprintf("not moving: expected skew %.3f; a change must save %.3f of it over the horizon to be worth its bytes, and none does",
			p.SkewBefore, p.Limit)
	case StaleLoads:
		return fmt.Sprintf("not moving: confidence in the load reports is %.2f, %.2f is needed", p.Confidence, p.Limit)
	case ProtectedWork:
		return fmt.Sprintf("not moving: more than %.0f protected requests are in progress; %d replicas wait", p.Limit, p.Wanted)
	case SwitchInProgress:
		return "not moving: an earlier plan is still being loaded or switched"
	case InvalidInput:
		return "not moving: a map or the loads don't fit the group"
	default:
		return fmt.Sprintf("not moving: expected skew %.3f, at best %.3f with these slots", p.SkewBefore, p.Bound)
	}
}

func gigabytes(n int64) string { return fmt.Sprintf("%.2f GB", float64(n)/1e9) }
