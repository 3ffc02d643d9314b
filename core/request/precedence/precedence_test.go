package precedence

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func ExampleOrder() {
	urgent := 0
	// Three routes, and workspaces of which one has a priority of its own.
	order := New([]int{1, 2, 4}, []*int{nil, &urgent})
	fmt.Println(order.Classes())
	fmt.Println(order.Class(1, nil), order.Class(4, nil))
	fmt.Println(order.Class(1, &urgent), order.Class(4, &urgent))
	// Output:
	// 6
	// 3 5
	// 0 2
}

func ExampleTurns() {
	waiting := []int{30, 30}
	waits := func(class int) bool { return waiting[class] > 0 }
	may := func(int) bool { return true }
	var turns Turns
	started := make([]int, 2)
	for range 30 {
		turn, _ := turns.Next(2, waits, may)
		waiting[turn.Class]--
		started[turn.Class]++
		turns.Started(turn.Class, 2, waits)
	}
	fmt.Println(started)
	// Output: [28 2]
}

func ptr(n int) *int { return &n }

// Guards against workspaces that lose their order, or all share a class, where many have priorities
// of their own.
func TestOrders(t *testing.T) {
	every := []*int{}
	for p := range Lowest + 1 {
		every = append(every, ptr(p))
	}
	for _, tt := range []struct {
		name       string
		routes     []int
		workspaces []*int
		classes    int
	}{
		{"one route", []int{3}, every, 1},
		{"routes alike", []int{3, 3, 3}, every, 1},
		{"no routes", nil, every, 1},
		{"no workspaces", []int{0, 1}, nil, 2},
		{"workspaces without a priority", []int{0, 1, 2}, []*int{nil, nil}, 3},
		{"workspaces alike", []int{0, 1, 2}, []*int{ptr(5), ptr(5)}, 3},
		{"a few differ", []int{0, 1, 2}, []*int{ptr(0), ptr(1)}, 6},
		{"all differ", []int{0, 1, 2}, every, MaxClasses},
		{"out of range", []int{-1, 99}, nil, 1},
		{"one out of range", []int{0, 99}, nil, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(New(tt.routes, tt.workspaces).Classes(), tt.classes)
		})
	}
	is := is.New(t)
	o := New([]int{0, 1, 2}, every)
	for p := range MaxClasses - 1 {
		is.Equal(o.Class(2, ptr(p)), p)
		is.Equal(o.Class(0, ptr(p)), p)
	}
	is.Equal(o.Class(0, ptr(Lowest)), MaxClasses-1)
}

// Guards against a request that is ranked before one of a higher priority, or out of range.
func TestOrderIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priority := rapid.IntRange(-2, Lowest+2)
		own := rapid.Custom(func(t *rapid.T) *int {
			if rapid.Bool().Draw(t, "none") {
				return nil
			}
			return ptr(priority.Draw(t, "workspace"))
		})
		o := New(rapid.SliceOfN(priority, 0, 6).Draw(t, "routes"), rapid.SliceOfN(own, 0, 12).Draw(t, "workspaces"))
		// The requests may be of a later configuration.
		a, b := newLevel(priority.Draw(t, "a"), own.Draw(t, "of a")), newLevel(priority.Draw(t, "b"), own.Draw(t, "of b"))
		if a.compare(b) > 0 {
			a, b = b, a
		}
		first, second := o.Class(a.route, &a.effective), o.Class(b.route, &b.effective)
		if first > second || first < 0 || second >= o.Classes() {
			t.Fatalf("%+v is of class %d, %+v of class %d, of %d", a, first, b, second, o.Classes())
		}
	})
}

// Guards against a class that is owed starts and gets none, or more than its part, and against a turn
// of a class that does not wait or may not start.
func TestTurnsKeepFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, MaxClasses).Draw(t, "classes")
		always := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "wait always")
		always[0] = true
		waits := func(c int) bool { return always[c] }
		blocked := -1
		may := func(c int) bool { return c != blocked }
		behind := -1
		for _, w := range always {
			if w {
				behind++
			}
		}
		var turns Turns
		started := make([]int, n)
		const starts = 2000
		for range starts {
			blocked = rapid.IntRange(-1, 2*n).Draw(t, "blocked")
			turn, ok := turns.Next(n, waits, may)
			if !ok {
				continue
			}
			if !waits(turn.Class) || !may(turn.Class) || turn.Of > turn.Class {
				t.Fatalf("turn %+v, blocked %d", turn, blocked)
			}
			started[turn.Class]++
			turns.Started(turn.Class, n, waits)
		}
		for c := 1; c < n; c++ {
			if always[c] && float64(started[c]) < floorShare*starts/float64(behind)/3 {
				t.Fatalf("class %d of %v started %d times of %d", c, always, started[c], starts)
			}
		}
	})
}
