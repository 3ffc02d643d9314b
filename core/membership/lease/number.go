// Package lease gives a role to one holder at a time, and prevents orders of
// former holders from doing harm.
//
// A Holder acquires and renews a lease in the platform's store. It relies on
// the lease only until its own monotonic deadline, counted from when the last
// successful call was sent. That is not enough, since the holder may be paused
// between the check and the send. So every order carries a Number, and the
// Guard in the agent beside the target refuses old ones. See M. Kleppmann, "How
// to do distributed locking" (2016), and C. Gray and D. Cheriton, "Leases"
// (SOSP 1989).
//
// The types make no calls and read no clock: they take the time as an argument,
// and return the calls to make.
//
// # Usage
//
//	h := lease.NewHolder(lease.Config{Role: "group/captions", Owner: "rank-3/17", TTL: 10 * time.Second})
//	h.Want(true)
//	for _, call := range h.Tick(now) {
//		send(call) // its answer goes to h.Answer
//	}
//	if h.Valid(now) {
//		order.Number.Fence = h.Fence()
//	}
package lease

import "cmp"

// Number orders everything that the holders of one role do: first by the
// fencing token of the lease, then by the holder's own sequence. The zero
// Number comes before every order.
type Number struct {
	Fence    uint64 `json:"fence"`
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 as n is before, equal to or after o.
func (n Number) Compare(o Number) int {
	if c := cmp.Compare(n.Fence, o.Fence); c != 0 {
		return c
	}
	return cmp.Compare(n.Sequence, o.Sequence)
}

// Less reports whether n is before o.
func (n Number) Less(o Number) bool {
	return n.Compare(o) < 0
}

// IsZero reports whether n is the zero Number.
func (n Number) IsZero() bool {
	return n == Number{}
}

// Add returns the number that is k sequences after n with the same fencing token.
func (n Number) Add(k uint64) Number {
	return Number{Fence: n.Fence, Sequence: n.Sequence + k}
}
