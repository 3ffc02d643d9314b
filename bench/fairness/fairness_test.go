package fairness

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// The gated figures hold.
func TestRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out bytes.Buffer
	figures, err := Run(&out)
	is.NoErr(err)
	for _, f := range figures {
		if f.Gate && !f.OK() {
			t.Errorf("%s = %v %s, bound %v", f.Name, f.Value, f.Unit, f.Bound)
		}
	}
	t.Log("\n" + out.String())
}

// A second run gives the same figures.
func TestRunsAreAlike(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first, err := runOverload()
	is.NoErr(err)
	second, err := runOverload()
	is.NoErr(err)
	is.Equal(first, second)
	one, err := playMembers(memberSizes[1], 2)
	is.NoErr(err)
	two, err := playMembers(memberSizes[1], 2)
	is.NoErr(err)
	is.Equal(one, two)
	busy, err := playTraffic(limitSizes[1], busyHeadroom)
	is.NoErr(err)
	again, err := playTraffic(limitSizes[1], busyHeadroom)
	is.NoErr(err)
	is.Equal(busy, again)
}
