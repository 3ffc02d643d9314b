package residency

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
)

var regionOf = map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}

func TestZones(t *testing.T) {
	for name, tt := range map[string]struct {
		bindings [][]string
		// want is nil if all zones are allowed.
		want []string
	}{
		"not bound":               {[][]string{nil, {}}, nil},
		"no binding":              {nil, nil},
		"the route":               {[][]string{{"a"}, nil}, []string{"a1", "a2"}},
		"the workspace":           {[][]string{nil, {"b", "c"}}, []string{"b1", "c1"}},
		"both":                    {[][]string{{"a", "b"}, {"b", "c"}}, []string{"b1"}},
		"both, nothing in common": {[][]string{{"a"}, {"b"}}, []string{}},
		"an unknown region":       {[][]string{{"x"}}, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			zones := Zones(regionOf, tt.bindings...)
			is.Equal(zones == nil, tt.want == nil)
			if tt.want != nil {
				is.Equal(append([]string{}, slices.Sorted(maps.Keys(zones))...), tt.want)
			}
			is.Equal(zones.Allow("a1"), tt.want == nil || slices.Contains(tt.want, "a1"))
			is.Equal(zones.Allow("unknown"), tt.want == nil) // its region is not known
		})
	}
}

func ExampleZones() {
	zones := Zones(map[string]string{"north-1": "north", "south-1": "south"}, []string{"north"}, nil)
	fmt.Println(zones.Allow("north-1"), zones.Allow("south-1"))
	// Output: true false
}
