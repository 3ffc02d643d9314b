package retry

import "time"

// firstTryShare is the share of the longest timeout above which a caller counts as being at its
// first attempt. Callers of one route differ by up to 15 % in how long they wait. A returning
// caller has spent its first wait and the time until its return: a quarter of its timeout or
// more.
const firstTryShare = 0.84

// ReturnDetector distinguishes returning callers from those at their first attempt by how long
// they are still ready to wait. No other signal is available: each attempt has its own
// identifier and usually reaches another entry. The zero value is ready to use.
//
// It serves overload, when both kinds of callers wait at the same time: a caller that is
// refused twice mostly does not come back, and a late answer to a returning caller is too late
// in any case.
type ReturnDetector struct {
	longest time.Duration
	samples int
}

const (
	// minSamples is how many callers have to be observed before the longest wait among them is
	// taken as the longest of all. Most of the callers that a process meets right after its
	// start have lost an attempt to the process before it.
	minSamples = 50
	// boundDivisor sets the minimum wait, as a fraction of the operator's timeout, that must
	// have been observed for the timeout to be taken as the callers' wait.
	boundDivisor = 2
)

// Returning reports whether a caller with the given remaining wait has been here before. A
// caller that states no wait counts as being at its first attempt. Bound is the longest time
// that the operator lets such a caller wait, or 0 if there is none.
func (p *ReturnDetector) Returning(remaining, bound time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	p.samples++
	p.longest = max(p.longest, remaining)
	longest := p.longest
	if p.samples < minSamples && p.longest >= bound/boundDivisor {
		longest = max(longest, bound)
	}
	return float64(remaining) < firstTryShare*float64(longest)
}
