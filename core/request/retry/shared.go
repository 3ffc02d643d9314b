package retry

import (
	"time"

	"verbenashift/core/membership/senders"
)

const (
	// usedFraction is the part of the allowed ratio that is used: retries reach targets some time
	// after they were decided.
	usedFraction = 0.95
	// minAssumed is the least number of senders to assume until one is reported.
	minAssumed = 64
)

// Allowance is how many attempts beyond the first of each request all senders together may make at
// one service within any span of Window: Ratio of the requests for it, and Burst more.
type Allowance struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// SharedBudgets limits the retries of one sender so that those of all senders together stay within
// an Allowance. There is a budget for each service. It is not safe for concurrent use.
//
// No sender knows what others have used, nor what processes have used that were lost. Each retry is
// therefore paid for by a request of its own process, or by its part of the burst, which a new
// process has only once it could have been refilled.
type SharedBudgets struct {
	*Budgets
	allowed Allowance
	senders senders.Count
}

// NewSharedBudgets returns the budgets of a sender that started at startedAt; zero if no sender has
// run before.
func NewSharedBudgets(a Allowance, startedAt time.Time) *SharedBudgets {
	s := &SharedBudgets{
		Budgets: NewBudgets(Limits{Window: a.Window, StartedAt: startedAt}),
		allowed: a,
		senders: senders.Count{Window: a.Window},
	}
	s.limits.Ratio = a.Ratio * usedFraction
	s.divide(minAssumed)
	return s
}

// divide divides the burst among a number of senders.
func (s *SharedBudgets) divide(senders int) { s.limits.KeyBurst = s.allowed.Burst / float64(senders) }

// Part is the part of one sender in an Allowance: in any window it may make Ratio of its own requests,
// and Burst more.
type Part struct {
	// Senders is the number of senders that the burst is divided among; Assumed says that they were
	// not counted.
	Senders int
	Assumed bool
	Ratio   float64
	Burst   float64
}

// Part returns the part that applies now.
func (s *SharedBudgets) Part() Part {
	n := s.senders.Value()
	return Part{Senders: n, Assumed: n == 0, Ratio: s.limits.Ratio, Burst: s.limits.KeyBurst}
}

// ServiceKey returns the key of the budget of a service.
func ServiceKey(service string) Key { return Key{Workspace: service, Hop: service} }

// Senders returns the number of senders, or 0 if it is not known.
func (s *SharedBudgets) Senders() int { return s.senders.Value() }

// ReportSenders records how many senders there are; 0 means that it is not known.
func (s *SharedBudgets) ReportSenders(n int, now time.Time) {
	if n <= 0 {
		return
	}
	s.senders.Report(n, now)
	s.divide(s.senders.Value())
}

// ReportTargets records how many targets there are: until the number of senders is known, as many
// are assumed.
func (s *SharedBudgets) ReportTargets(n int) {
	if s.senders.Value() == 0 {
		s.divide(max(n, minAssumed))
	}
}
