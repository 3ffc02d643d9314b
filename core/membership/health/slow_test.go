package health

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against passes that wait for the streams of a slow rank, and moving more streams than
// the others can take.
func TestLeave(t *testing.T) {
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
	is.True(!SlowRank(1.2)) // its part of a pass is as long as noise makes it
	is.True(SlowRank(2.74))
}
