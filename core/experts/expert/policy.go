package expert

import "time"

// Policy holds an operator's weights for skew and for moves, with the bounds
// that the operator has confirmed.
type Policy struct {
	// Skew is the weight of a skew of 1 over the horizon, and Cost the weight of
	// loading every slot of a layer once, on the same scale. Only their ratio
	// matters.
	Skew float64 `json:"skew"`
	Cost float64 `json:"cost"`
	// MinGain is the minimum reduction of the skew over the horizon that a
	// change to a layer must bring. This hysteresis prevents moves due to noise.
	MinGain float64 `json:"min-gain"`
	// Horizon is the time over which the gain of a plan is counted.
	Horizon time.Duration `json:"horizon"`
	// Lead is the time from planning to the switch, without the loading.
	Lead time.Duration `json:"lead"`
	// MinConfidence is the minimum confidence in the loads of a layer that
	// allows a change to it.
	MinConfidence float64 `json:"min-confidence"`
	// Protect makes the planner wait while more than MaxProtected requests
	// of protected work are in progress.
	Protect      bool `json:"protect,omitempty"`
	MaxProtected int  `json:"max-protected,omitempty"`
	// Interval, MaxBytes and MaxMoves are the confirmed bounds: at most
	// MaxBytes bytes and MaxMoves replicas are loaded in each interval; 0 means
	// no bound.
	Interval time.Duration `json:"interval"`
	MaxBytes int64         `json:"max-bytes,omitempty"`
	MaxMoves int           `json:"max-moves,omitempty"`
}

// Lightbox returns the preset that gives more weight to skew: urgent notices
// can't wait for a slow rank.
func Lightbox() Policy {
	return Policy{
		Skew: 1, Cost: 0.03, MinGain: 0.002, MinConfidence: 0.1,
		Horizon: 5 * time.Minute, Lead: 30 * time.Second, Interval: time.Minute,
	}
}

// Lakeshore returns the preset that gives more weight to the cost of moves: a
// move during a draft puts the draft at risk. It waits while more than eight
// protected requests are in progress.
func Lakeshore() Policy {
	return Policy{
		Skew: 1, Cost: 1, MinGain: 0.01, MinConfidence: 0.25,
		Horizon: 5 * time.Minute, Lead: 30 * time.Second, Interval: time.Minute,
		Protect: true, MaxProtected: 8,
	}
}

// Budget is the part of the confirmed bounds that is used in an interval.
type Budget struct {
	Start time.Time `json:"start"`
	Bytes int64     `json:"bytes"`
	Moves int       `json:"moves"`
}

// Spend returns the budget after a plan has started.
func (b Budget) Spend(now time.Time, p Policy, plan Plan) Budget {
	b = b.at(now, p)
	b.Bytes += plan.Bytes
	b.Moves += len(plan.Moves)
	return b
}

// at returns the budget of the interval that contains now.
func (b Budget) at(now time.Time, p Policy) Budget {
	if b.Start.IsZero() || now.Sub(b.Start) >= p.Interval {
		return Budget{Start: now}
	}
	return b
}

// remaining returns how many replicas may still be loaded in the interval, or
// unbounded when there is no bound.
func (b Budget) remaining(now time.Time, p Policy, expertBytes int64) int {
	b = b.at(now, p)
	remaining := unbounded
	if p.MaxMoves > 0 {
		remaining = min(remaining, max(p.MaxMoves-b.Moves, 0))
	}
	if p.MaxBytes > 0 && expertBytes > 0 {
		remaining = min(remaining, int(max(p.MaxBytes-b.Bytes, 0)/expertBytes))
	}
	return remaining
}

const unbounded = 1 << 30
