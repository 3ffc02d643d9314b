package fairness

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// All gated figures are within their bounds.
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

// A second run gives the same results.
func TestRunsAreAlike(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first, err := runOverload()
	is.NoErr(err)
	second, err := runOverload()
	is.NoErr(err)
	is.Equal(first, second)
	one, err := simulateMembers(memberSizes[1], 2)
	is.NoErr(err)
	two, err := simulateMembers(memberSizes[1], 2)
	is.NoErr(err)
	is.Equal(one, two)
	busy, err := simulateTraffic(limitSizes[1], busyHeadroom)
	is.NoErr(err)
	again, err := simulateTraffic(limitSizes[1], busyHeadroom)
	is.NoErr(err)
	is.Equal(busy, again)
}
