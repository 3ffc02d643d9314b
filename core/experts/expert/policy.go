package expert

import "time"

// Policy is how an operator weighs skew against moves, with the bounds that
// the operator has confirmed.
type Policy struct {
	// Skew is what a skew of 1 over the horizon is worth, and Cost what
	// loading every slot of a layer once is worth, on the same scale. Only
	// their ratio matters.
	Skew float64 `json:"skew"`
	Cost float64 `json:"cost"`
	// MinGain is the least skew that a change of a layer must save over the
	// horizon: the hysteresis that keeps noise from moving experts.
	MinGain float64 `json:"min-gain"`
	// Horizon is how long the gain of a plan is counted.
	Horizon time.Duration `json:"horizon"`
	// Lead is the time from planning to the switch, beside the loading.
	Lead time.Duration `json:"lead"`
	// MinConfidence is the least confidence in the loads of a layer that
	// allows a change of it.
	MinConfidence float64 `json:"min-confidence"`
	// Protect makes the planner wait while more than MaxProtected requests
	// of protected work are in progress.
	Protect      bool `json:"protect,omitempty"`
	MaxProtected int  `json:"max-protected,omitempty"`
	// Interval, MaxBytes and MaxMoves are the confirmed bounds: in each
	// interval at most so many bytes and replicas are loaded; 0 means no
	// bound.
	Interval time.Duration `json:"interval"`
	MaxBytes int64         `json:"max-bytes,omitempty"`
	MaxMoves int           `json:"max-moves,omitempty"`
}

// Lightbox returns the preset that weighs skew more: urgent notices can't
// wait behind a slow rank.
func Lightbox() Policy {
	return Policy{
		Skew: 1, Cost: 0.03, MinGain: 0.002, MinConfidence: 0.1,
		Horizon: 5 * time.Minute, Lead: 30 * time.Second, Interval: time.Minute,
	}
}

// Lakeshore returns the preset that weighs the cost of moves more: a move in
// the middle of a draft puts the draft at risk. It waits while more than
// eight protected requests are in progress.
func Lakeshore() Policy {
	return Policy{
		Skew: 1, Cost: 1, MinGain: 0.01, MinConfidence: 0.25,
		Horizon: 5 * time.Minute, Lead: 30 * time.Second, Interval: time.Minute,
		Protect: true, MaxProtected: 8,
	}
}

// Budget is what has been spent of the confirmed bounds in an interval.
type Budget struct {
	Start time.Time `json:"start"`
	Bytes int64     `json:"bytes"`
	Moves int       `json:"moves"`
}

// Spend returns the budget after a plan that was started.
func (b Budget) Spend(now time.Time, p Policy, plan Plan) Budget {
	b = b.at(now, p)
	b.Bytes += plan.Bytes
	b.Moves += len(plan.Moves)
	return b
}

// at returns the budget of the interval that now falls in.
func (b Budget) at(now time.Time, p Policy) Budget {
	if b.Start.IsZero() || now.Sub(b.Start) >= p.Interval {
		return Budget{Start: now}
	}
	return b
}

// left returns how many replicas may still be loaded in the interval, and
// unbounded for no bound.
func (b Budget) left(now time.Time, p Policy, expertBytes int64) int {
	b = b.at(now, p)
	left := unbounded
	if p.MaxMoves > 0 {
		left = min(left, max(p.MaxMoves-b.Moves, 0))
	}
	if p.MaxBytes > 0 && expertBytes > 0 {
		left = min(left, int(max(p.MaxBytes-b.Bytes, 0)/expertBytes))
	}
	return left
}

const unbounded = 1 << 30
