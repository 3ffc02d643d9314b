package retry

import (
	"time"

	"verbenashift/core/membership/senders"
)

// usedFraction is the part of the allowed ratio that is used, since a request that a caller repeats
// at another sender is counted differently.
const usedFraction = 0.85

// Allowance is how many attempts beyond the first of each request all senders together may make at
// one service within any span of Window: Ratio of the requests for it, and Burst more.
type Allowance struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// SharedBudgets limits the retries of one sender so that those of all senders together stay within
// an Allowance. There is a budget for each service. It is not safe for concurrent use.
type SharedBudgets struct {
	*Budgets
	allowed Allowance
	burst   Burst
	senders senders.Count
}

// NewSharedBudgets returns the budgets of a sender that started at startedAt; zero if no sender has
// run before.
func NewSharedBudgets(a Allowance, startedAt, now time.Time) *SharedBudgets {
	s := &SharedBudgets{
		allowed: a,
		burst:   Burst{Total: a.Burst, Window: a.Window, StartedAt: startedAt},
		senders: senders.Count{Window: a.Window},
	}
	share := s.burst.Share(AssumedSenders(0), now)
	s.Budgets = NewBudgets(Limits{
		Ratio: a.Ratio * usedFraction, KeyBurst: share, HopBurst: share, KeyStart: share / 2, HopStart: share / 2, Window: a.Window,
	})
	return s
}

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
	s.SetKeyBurst(s.burst.Share(s.senders.Value(), now))
}

// ReportTargets records how many targets there are. It matters until the number of senders is known.
func (s *SharedBudgets) ReportTargets(n int, now time.Time) {
	if s.senders.Value() == 0 && s.burst.Total > 0 {
		s.SetKeyBurst(s.burst.Share(AssumedSenders(n), now))
	}
}
