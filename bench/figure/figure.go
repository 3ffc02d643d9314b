// Package figure defines a benchmark figure: a measured value and its bound.
//
// # Usage
//
//	f := figure.Figure{Name: "route-pick-allocs", Unit: "allocs", Bound: 0, Better: figure.Lower, Gate: true}
//	f.Value = testing.AllocsPerRun(100, pick)
//	ok := f.OK()
package figure

import "encoding/json"

// The values of Figure.Better: which direction is an improvement.
const (
	// Lower means that the value must not exceed the bound.
	Lower = "lower"
	// Higher means that the value must not fall below the bound.
	Higher = "higher"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the limit on the value. Better, Lower or Higher, tells whether
	// it is an upper or a lower limit; if Better is empty, there is no limit.
	Bound  float64 `json:"bound"`
	Better string  `json:"better,omitempty"`
	// Gate makes a violation of the bound fail the run. Violations of other
	// figures are only reported.
	Gate bool `json:"gate"`
	// Baseline is the same measurement of the simplest alternative, if there
	// is one.
	Baseline float64 `json:"baseline,omitempty"`
	Note     string  `json:"note,omitempty"`
}

// OK reports whether the value is within its bound. A figure with an empty
// Better has no bound and is always OK.
func (f Figure) OK() bool {
	switch f.Better {
	case Lower:
		return f.Value <= f.Bound
	case Higher:
		return f.Value >= f.Bound
	default:
		return true
	}
}

// MarshalJSON encodes the figure with the result of OK as the member "ok".
func (f Figure) MarshalJSON() ([]byte, error) {
	type plain Figure
	return json.Marshal(struct {
		plain
		OK bool `json:"ok"`
	}{plain(f), f.OK()})
}
