package quota

import (
	"math"
	"time"
)

// Allow decides on a request of the given cost in tokens. If it reports false, the request was
// not run, and retryAfter says when to retry. It allocates nothing.
func (l *Limiter) Allow(workspace string, cost int64, now time.Time) (ok bool, retryAfter time.Duration) {
	s, found := l.states[workspace]
	if !found || s.Rate <= 0 {
		return true, 0
	}
	cost = max(1, cost)
	l.markActive(s, now)
	l.refill(s, now)
	ok, wait := l.decide(s, float64(cost), now)
	if ok {
		s.offered += cost
		s.admitted += cost
		l.spend(s, float64(cost), now)
		return true, 0
	}
	// A refused request counts like an admitted one: by its estimated true cost.
	s.offered += max(1, int64(float64(cost)*s.costRatio))
	return false, l.jitter(wait)
}

// decide returns the decision, or how many seconds to wait.
func (l *Limiter) decide(s *state, cost float64, now time.Time) (ok bool, wait float64) {
	if !s.fresh(now) {
		return s.safeTokens > 0, (cost - s.safeTokens) / (s.Rate / l.entries)
	}
	if !s.phaseSet {
		// Entries that see one request each must not all admit or all refuse it.
		s.credit, s.phaseSet = -l.rnd.Float64()*cost, true
	}
	if s.headroomLeft < cost && s.headroomLeft < l.headroom(s) {
		return false, MinReportInterval.Seconds()
	}
	s.credit = math.Min(s.credit+s.fraction*cost, cost)
	if s.credit <= 0 {
		return false, 1 / math.Max(s.fraction, 0.1)
	}
	s.credit -= cost
	return true, 0
}

// headroom returns what may be admitted beyond the recent rate between two replies of the home:
// the allowance, or two seconds of that rate, so that a growing demand is followed. An unused
// recent rate accumulates no more than that.
func (l *Limiter) headroom(s *state) float64 {
	return math.Max(l.allowance(s), 2*s.recentRate)
}

func (l *Limiter) refill(s *state, now time.Time) {
	// While a report is unanswered the entry uses its headroom; the safe share replaces it and
	// is not added to it.
	waiting := s.fresh(now) && !s.pendingSince.IsZero()
	if !s.filledAt.IsZero() && !waiting {
		gained := s.Rate / l.entries * now.Sub(s.filledAt).Seconds()
		s.safeTokens = math.Min(l.allowance(s), s.safeTokens+gained)
	}
	s.headroomLeft = math.Min(l.headroom(s), s.headroomLeft+s.recentRate*now.Sub(s.filledAt).Seconds())
	s.filledAt = now
}

// Reconcile corrects an admitted request of the given expected cost that took actual tokens.
func (l *Limiter) Reconcile(workspace string, cost, actual int64, now time.Time) {
	s, ok := l.states[workspace]
	if !ok || s.Rate <= 0 {
		return
	}
	cost = max(1, cost)
	s.costRatio += costRatioGain * (float64(actual)/float64(cost) - s.costRatio)
	s.costRatio = math.Min(math.Max(s.costRatio, 1/maxCostRatio), maxCostRatio)
	if actual == cost {
		return
	}
	l.markActive(s, now)
	s.offered = max(1, s.offered+actual-cost)
	s.admitted += actual - cost
	l.spend(s, float64(actual-cost), now)
}

// spend takes tokens from the safe share. While the home's reply is in force the debt there is
// bounded: otherwise an entry that carried much of the demand would refuse everything for
// minutes after it was cut off.
func (l *Limiter) spend(s *state, tokens float64, now time.Time) {
	s.safeTokens -= tokens
	s.headroomLeft -= tokens
	if s.fresh(now) {
		s.safeTokens = math.Max(s.safeTokens, -l.allowance(s)/2)
	}
}
