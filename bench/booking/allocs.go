package booking

import (
	"runtime"

	"verbenashift/bench/figure"
	core "verbenashift/core/request/booking"
)

// homeAllocs measures the allocations of a claim that repeats an earlier one,
// including the selection of the home.
func homeAllocs() figure.Figure {
	h := newHome(fleet)
	c := newClaim(homeKeys(fleet)[0], "r", "caption-001")
	h.Claim(c, 0)
	return figure.Figure{
		Name: "booking-claim-allocs", Value: allocsPerRun(func() { h.Claim(c, 0) }), Unit: "allocs",
		Bound: 0, Better: figure.Lower, Gate: true, Note: "repeated claim among 670 targets",
	}
}

// acceptAllocs measures the allocations of a repeated submission.
func acceptAllocs() figure.Figure {
	e := &core.Executor{Name: "a", Incarnation: 1, First: true}
	s := core.Submission{Grant: core.Grant{Home: "b"}, RequestID: "r", Incarnation: 1}
	e.Accept(s, 0)
	return figure.Figure{
		Name: "booking-accept-allocs", Value: allocsPerRun(func() { e.Accept(s, 0) }), Unit: "allocs",
		Bound: 0, Better: figure.Lower, Gate: true, Note: "repeated submission",
	}
}

// allocsPerRun returns the mean number of allocations of f, rounded down, since
// the runtime itself makes a few in all the runs together.
func allocsPerRun(f func()) float64 {
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
