package health

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against passes that wait for the streams of a slow rank, and against moving more
// streams than the other ranks have capacity for.
func TestShouldMoveStreams(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		name        string
		slow, ranks int
		want        bool
	}{
		{"one of sixteen", 1, 16, true},
		{"four of sixteen", 4, 16, true},
		{"five of sixteen", 5, 16, false},
		{"none", 0, 16, false},
		{"no ranks", 0, 0, false},
		{"one of three", 1, 3, false},
	} {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(ShouldMoveStreams(tt.slow, tt.ranks), tt.want) })
	}
	is.True(!SlowRank(1.2)) // within the normal variation of a pass
	is.True(SlowRank(2.74))
}
