package precedence

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// Each change of a configuration with a thousand routes and many workspaces stops a small gateway for
// some tens of milliseconds: the order is of as many levels as there are pairs.
func TestOrderOfManyRoutesHasFewLevels(t *testing.T) {
	is := is.New(t)
	var routes []int
	var workspaces []*int
	for i := range 1000 {
		priority := i % 2
		routes, workspaces = append(routes, i%3), append(workspaces, &priority)
	}
	o := New(routes, workspaces)
	is.Equal(o.Classes(), 6)
	first, last := 0, 1
	is.Equal(o.Class(0, &first), 0)
	is.Equal(o.Class(1, &first), 1)
	is.Equal(o.Class(2, &last), 5)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	New(routes, workspaces)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20) // a pair of each takes 16 MB
}
