package instance

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// An operator mistypes the address of the collector or the part of the requests. The
// program must not start and send nothing, or everything.
func TestCheckTrace(t *testing.T) {
	for _, tt := range []struct {
		name string
		env  Env
		ok   bool
	}{
		{"off", Env{}, true},
		{"on", Env{Trace: "10.0.0.9:4318", TraceRatio: 0.01}, true},
		{"a name", Env{Trace: "collector:4318"}, false},
		{"no port", Env{Trace: "10.0.0.9"}, false},
		{"over all", Env{Trace: "10.0.0.9:4318", TraceRatio: 1.1}, false},
		{"below none", Env{TraceRatio: -0.1}, false},
		{"no number", Env{TraceRatio: math.NaN()}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.env.checkTrace() == nil, tt.ok)
		})
	}
}
