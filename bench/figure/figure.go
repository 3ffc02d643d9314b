// Package figure is the form of one measured figure with its bound.
//
// # Usage
//
//	f := figure.Figure{Name: "route-pick-allocs", Unit: "allocs", Bound: 0, Better: figure.Lower, Gate: true}
//	f.Value = testing.AllocsPerRun(100, pick)
//	ok := f.OK()
package figure

import "encoding/json"

// The directions in which a figure may be better than its bound.
const (
	// Lower says that the value must not exceed the bound.
	Lower = "lower"
	// Higher says that the value must not fall below the bound.
	Higher = "higher"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is the accepted limit; Better says on which side of it.
	Bound  float64 `json:"bound"`
	Better string  `json:"better,omitempty"`
	// Gate makes a breach fail the run; other figures only inform.
	Gate bool `json:"gate"`
	// Baseline is the same measure of the simplest way, where there is one.
	Baseline float64 `json:"baseline,omitempty"`
	Note     string  `json:"note,omitempty"`
}

// OK reports whether the value keeps its bound. A figure without a direction
// has no bound and is always OK.
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

// MarshalJSON adds the verdict as "ok".
func (f Figure) MarshalJSON() ([]byte, error) {
	type plain Figure
	return json.Marshal(struct {
		plain
		OK bool `json:"ok"`
	}{plain(f), f.OK()})
}
