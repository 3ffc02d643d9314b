package retry

import "time"

// firstPart is the part of the longest patience above which a caller is at its
// first try. Callers of one route differ in what they are ready to wait, by up to 15 in
// 100. One that comes back has spent its first wait and the time until its return, a
// quarter of its patience and more.
const firstPart = 0.84

// ReturnDetector tells callers that come back from those at their first try by the time
// that they are still ready to wait. Nothing else does: each try has an identifier
// of its own, and mostly another entry. The zero value has seen nobody.
//
// The load pattern it answers is overload, when both kinds wait together: a second
// refusal is mostly the last, and an answer to who comes back is late in any case.
type ReturnDetector struct {
	longest time.Duration
	seen    int
}

const (
	// enoughSeen is how many callers have to be seen before the longest patience of all
	// is taken to be known: those that a process meets right after its start have mostly
	// lost an attempt to the one before.
	enoughSeen = 50
	// boundPart is the part of the operator's timeout, one in so many, that callers must
	// wait at least for the timeout to tell how long they wait.
	boundPart = 2
)

// Returning reports whether a caller that is ready to wait so long has been here
// before. A caller that does not say counts as one at its first try. Bound is the longest
// time that the operator lets such a caller wait, 0 if there is none.
func (p *ReturnDetector) Returning(patience, bound time.Duration) bool {
	if patience <= 0 {
		return false
	}
	p.seen++
	p.longest = max(p.longest, patience)
	longest := p.longest
	if p.seen < enoughSeen && p.longest >= bound/boundPart {
		longest = max(longest, bound)
	}
	return float64(patience) < firstPart*float64(longest)
}
