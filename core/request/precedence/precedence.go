// Package precedence orders the requests of one service that compete for its capacity: it ranks
// them in classes by the priorities of their workspaces and routes, and decides which class
// starts next.
//
// The load pattern it handles is more requests than a service can run, most of them of a route
// that matters less: a batch of summaries beside drafts for which somebody waits. Without an
// order the patient requests fill the places, and the urgent ones, which have less time, are the
// ones that are refused.
//
// A request's class is its rank in an Order, which follows from the configuration alone. All
// gateways with one configuration rank alike and need no messages for it. Turns starts the first
// class that waits, but for a floor: under any flood of the classes above it, a class that waits
// gets its part of floorShare of all starts.
//
// A value of this package has no clock and no lock, and does no input or output.
//
// # Usage
//
//	order := precedence.New([]int{0, 2, 1}, workspaces)
//	class := order.Class(route.Priority, workspace.Priority)
//	var turns precedence.Turns
//	for {
//		turn, ok := turns.Next(order.Classes(), waits, may)
//		if !ok {
//			break
//		}
//		start(turn.Class)
//		turns.Started(turn.Class, order.Classes(), waits)
//	}
package precedence

import (
	"cmp"
	"slices"
)

const (
	// Lowest is the priority of the least urgent requests; 0 is that of the most urgent.
	Lowest = 9
	// MaxClasses is the maximum number of classes of one service. A service with more levels is
	// ordered by the priorities in force alone, and the last of them share a class.
	MaxClasses = 8
)

// Valid reports whether a configured priority is in range.
func Valid(priority int) bool { return priority >= 0 && priority <= Lowest }

// InRange returns the priority, or Lowest if it is out of range.
func InRange(priority int) int {
	if !Valid(priority) {
		return Lowest
	}
	return priority
}

// level is the rank of a request: by the priority in force, and then by its route's.
type level struct {
	effective, route int
}

func newLevel(route int, workspace *int) level {
	l := level{effective: InRange(route), route: InRange(route)}
	if workspace != nil {
		l.effective = InRange(*workspace)
	}
	return l
}

func (l level) compare(other level) int {
	return cmp.Or(cmp.Compare(l.effective, other.effective), cmp.Compare(l.route, other.route))
}

// Order ranks the requests of one service. The zero value has a single class.
type Order struct {
	levels []level
	// coarse is set if only the priority in force ranks a request.
	coarse bool
}

// level returns the level of a request.
func (o Order) level(route int, workspace *int) level {
	l := newLevel(route, workspace)
	if o.coarse {
		l.route = 0
	}
	return l
}

// New returns the order of a service with routes of the given priorities, whose callers are
// workspaces with the given ones; nil stands for a workspace without a priority of its own.
//
// The priority of a workspace takes precedence over that of a route. Requests that it makes
// equal are ranked by their routes. A service whose routes all have the same priority has a
// single class: its configuration asks for no order among its requests.
func New(routes []int, workspaces []*int) Order {
	if !differ(routes) {
		return Order{}
	}
	routes, workspaces = distinct(routes), distinctOf(workspaces)
	if len(workspaces) == 0 {
		workspaces = []*int{nil}
	}
	var o Order
	if o.rank(routes, workspaces); len(o.levels) > MaxClasses {
		o = Order{coarse: true}
		o.rank(routes, workspaces)
	}
	return o
}

// rank sets the levels.
func (o *Order) rank(routes []int, workspaces []*int) {
	for _, r := range routes {
		for _, w := range workspaces {
			o.levels = append(o.levels, o.level(r, w))
		}
	}
	slices.SortFunc(o.levels, level.compare)
	o.levels = slices.Compact(o.levels)
}

// distinct returns the different ones of priorities: thousands of routes share a few.
func distinct(priorities []int) []int {
	out := slices.Clone(priorities)
	slices.Sort(out)
	return slices.Compact(out)
}

// distinctOf returns the different ones of the priorities of workspaces, each of which may be nil.
func distinctOf(workspaces []*int) []*int {
	var out []*int
	for _, w := range workspaces {
		same := func(o *int) bool { return o == w || o != nil && w != nil && *o == *w }
		if !slices.ContainsFunc(out, same) {
			out = append(out, w)
		}
	}
	return out
}

// differ reports whether the priorities are not all the same.
func differ(priorities []int) bool {
	for _, p := range priorities {
		if InRange(p) != InRange(priorities[0]) {
			return true
		}
	}
	return false
}

// Classes returns the number of classes, at least 1.
func (o Order) Classes() int { return min(max(len(o.levels), 1), MaxClasses) }

// Class returns the class of a request, 0 for the first. The workspace's priority is nil if it
// has none. A request with priorities that the order was not made for ranks behind those with a
// higher priority than its own.
func (o Order) Class(route int, workspace *int) int {
	if len(o.levels) == 0 {
		return 0
	}
	at, _ := slices.BinarySearchFunc(o.levels, o.level(route, workspace), level.compare)
	return min(at, o.Classes()-1)
}
