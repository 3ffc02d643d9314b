package quota

import (
	"math"
	"time"
)

// Allow decides on a request of the given cost in tokens. If it says no, the
// request was not run, and retryAfter says when to come back. It allocates
// nothing.
func (l *Limiter) Allow(workspace string, cost int64, now time.Time) (ok bool, retryAfter time.Duration) {
	s, found := l.states[workspace]
	if !found || s.Rate <= 0 {
		return true, 0
	}
	cost = max(1, cost)
	l.demand(s, now)
	l.refill(s, now)
	ok, wait := l.decide(s, float64(cost), now)
	if ok {
		s.offered += cost
		s.admitted += cost
		l.spend(s, float64(cost), now)
		return true, 0
	}
	// What was refused is weighed like what was admitted: by its true cost.
	s.offered += max(1, int64(float64(cost)*s.ratio))
	return false, l.spread(wait)
}

// decide returns the decision, or how many seconds to wait.
func (l *Limiter) decide(s *state, cost float64, now time.Time) (ok bool, wait float64) {
	if !s.fresh(now) {
		return s.safe > 0, (cost - s.safe) / (s.Rate / l.entries)
	}
	if !s.phased {
		// Entries that see one request each must not all admit or refuse it.
		s.credit, s.phased = -l.rnd.Float64()*cost, true
	}
	if s.room < cost && s.room < l.slack(s) {
		return false, MinReportInterval.Seconds()
	}
	s.credit = math.Min(s.credit+s.fraction*cost, cost)
	if s.credit <= 0 {
		return false, 1 / math.Max(s.fraction, 0.1)
	}
	s.credit -= cost
	return true, 0
}

// slack is what may be admitted beyond the usual rate between two words from
// the home: the allowance, or two seconds of that rate, so that a growing
// demand is followed. A usual rate that is not used saves up no more than that.
func (l *Limiter) slack(s *state) float64 {
	return math.Max(l.allowance(s), 2*s.recent)
}

func (l *Limiter) refill(s *state, now time.Time) {
	// While a report is unanswered the entry lives on its slack; the safe share
	// comes after it and not on top of it.
	waiting := s.fresh(now) && !s.asked.IsZero()
	if !s.filled.IsZero() && !waiting {
		gained := s.Rate / l.entries * now.Sub(s.filled).Seconds()
		s.safe = math.Min(l.allowance(s), s.safe+gained)
	}
	s.room = math.Min(l.slack(s), s.room+s.recent*now.Sub(s.filled).Seconds())
	s.filled = now
}

// Reconcile corrects an admitted request of the given expected cost that took
// actual tokens.
func (l *Limiter) Reconcile(workspace string, cost, actual int64, now time.Time) {
	s, ok := l.states[workspace]
	if !ok || s.Rate <= 0 {
		return
	}
	cost = max(1, cost)
	s.ratio += ratioGain * (float64(actual)/float64(cost) - s.ratio)
	s.ratio = math.Min(math.Max(s.ratio, 1/maxRatio), maxRatio)
	if actual == cost {
		return
	}
	l.demand(s, now)
	s.offered = max(1, s.offered+actual-cost)
	s.admitted += actual - cost
	l.spend(s, float64(actual-cost), now)
}

// spend takes tokens from the safe share. While the home's word is in force
// the debt there is bounded, or an entry that carried much of the demand would
// refuse everything for minutes after it was cut off.
func (l *Limiter) spend(s *state, tokens float64, now time.Time) {
	s.safe -= tokens
	s.room -= tokens
	if s.fresh(now) {
		s.safe = math.Max(s.safe, -l.allowance(s)/2)
	}
}
