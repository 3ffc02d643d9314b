package booking

import (
	"runtime"

	"verbenashift/bench/figure"
	core "verbenashift/core/request/booking"
)

// homeAllocs counts the allocations of the choice of a home and of a claim
// that repeats an earlier one.
func homeAllocs() figure.Figure {
	h := newHome(fleet)
	c := request(ownKeys(fleet)[0], "r", "caption-001")
	h.Claim(c, 0)
	return figure.Figure{
		Name: "booking-claim-allocs", Value: perRun(func() { h.Claim(c, 0) }), Unit: "allocs",
		Bound: 0, Better: figure.Lower, Gate: true, Note: "repeated claim among 670 targets",
	}
}

// acceptAllocs counts the allocations of a submission that comes again.
func acceptAllocs() figure.Figure {
	e := &core.Executor{Name: "a", Incarnation: 1, First: true}
	s := core.Submission{Grant: core.Grant{Home: "b"}, RequestID: "r", Incarnation: 1}
	e.Accept(s, 0)
	return figure.Figure{
		Name: "booking-accept-allocs", Value: perRun(func() { e.Accept(s, 0) }), Unit: "allocs",
		Bound: 0, Better: figure.Lower, Gate: true, Note: "repeated submission",
	}
}

// perRun returns the mean allocations of f, rounded down: the runtime's own
// are a few in all the runs.
func perRun(f func()) float64 {
	const runs = 1000
	f()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64((after.Mallocs - before.Mallocs) / runs)
}
