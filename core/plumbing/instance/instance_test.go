package instance

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against a mistyped collector address or trace ratio: the program must not start
// and then trace no requests, or all of them.
func TestCheckTrace(t *testing.T) {
	for _, tt := range []struct {
		name string
		env  Env
		ok   bool
	}{
		{"off", Env{}, true},
		{"on", Env{Trace: "10.0.0.9:4318", TraceRatio: 0.01}, true},
		{"host name", Env{Trace: "collector:4318"}, false},
		{"no port", Env{Trace: "10.0.0.9"}, false},
		{"ratio over 1", Env{Trace: "10.0.0.9:4318", TraceRatio: 1.1}, false},
		{"ratio below 0", Env{TraceRatio: -0.1}, false},
		{"ratio not a number", Env{TraceRatio: math.NaN()}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.env.checkTrace() == nil, tt.ok)
		})
	}
}

// Guards against garbage that makes a process exceed its memory while what it holds is within bounds.
func TestMemoryLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(memoryLimit(0), int64(math.MaxInt64))
	is.Equal(memoryLimit(200<<20), int64(150<<20))
}
