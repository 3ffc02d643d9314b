package histogram_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/histogram"
)

func TestHistogramShowsQuantiles(t *testing.T) {
	is := is.New(t)
	h := histogram.New("test-us")
	for i := range int64(100) {
		h.Record(i + 1)
	}
	h.Record(-5) // recorded as the smallest value
	var s struct{ Count, P50, Max int64 }
	is.NoErr(json.Unmarshal([]byte(h.String()), &s))
	is.Equal(s.Count, int64(101))
	is.Equal(s.P50, int64(50))
	is.Equal(s.Max, int64(100))
}
