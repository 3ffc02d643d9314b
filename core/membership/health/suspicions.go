package health

import (
	"slices"
	"time"
)

const (
	// suspicionTime is how long a target is avoided after it was suspected, and
	// maxSuspicionTime the limit to which this grows if the target still failed
	// afterwards: each return costs callers as many requests as it takes to suspect the
	// target again.
	suspicionTime    = 5 * time.Second
	maxSuspicionTime = 4 * suspicionTime
	// returnWindow is the time over which the entries start to send to the target again: the
	// first of them find out for all whether it still fails.
	returnWindow = 2 * time.Second
	// reportValid is how long a report counts: the time that it takes several entries to
	// observe the same fault.
	reportValid = 3 * time.Second
	// reportsNeeded is how many other entries must report a target. A single report may be
	// due to a fault of the reporter's own network.
	reportsNeeded = 2
	// maxReports bounds the reports stored for one target, maxSuspected the targets.
	maxReports   = 4
	maxSuspected = 1024
	// keptPart is the part of a service's targets, one in so many, that is never avoided:
	// a fault that shows everywhere is not that of the targets, and the others have to take
	// over the requests of those that are avoided.
	keptPart = 3
)

// Suspicions collects reports of targets that fail while their peers do not, from this
// entry and from others, and returns the targets to avoid for a while. The zero value is
// empty and ready for use.
//
// It handles a fault of a few seconds at one of a few targets that serve many entries.
// Each entry alone observes it about once a second, and has enough evidence only when it
// is over; together they have it within some tenths of a second.
type Suspicions struct {
	// ReturnOrder is this entry's position, from 0 (first) to 1 (last), in the order in which
	// entries start to send to a target again.
	ReturnOrder float64
	targets     map[string]*suspicion
}

// suspicion is what was reported of one target.
type suspicion struct {
	reports []report
	// until is when avoiding the target ends or last ended; span is the duration, which
	// doubles on repetition.
	until time.Time
	span  time.Duration
	// agreedUntil is when all entries that have received the reports stop avoiding it.
	agreedUntil time.Time
}

type report struct {
	source string
	at     time.Time
}

// Report records a report by an entry, this one or another, that a target fails.
func (s *Suspicions) Report(target, source string, own bool, now time.Time) {
	t := s.targets[target]
	if t == nil {
		if len(s.targets) >= maxSuspected {
			s.Expire(now)
		}
		if len(s.targets) >= maxSuspected {
			return
		}
		if s.targets == nil {
			s.targets = map[string]*suspicion{}
		}
		t = &suspicion{}
		s.targets[target] = t
	}
	t.add(source, now)
	enough := t.sources(now) >= reportsNeeded
	if own || enough {
		t.avoid(now, time.Duration(s.ReturnOrder*float64(returnWindow)))
	}
	if enough {
		t.agreedUntil = t.until
	}
}

// Agreed reports whether enough entries have reported a target for all to avoid it now.
func (s *Suspicions) Agreed(target string, now time.Time) bool {
	t := s.targets[target]
	return t != nil && now.Before(t.agreedUntil)
}

func (t *suspicion) add(source string, now time.Time) {
	t.reports = slices.DeleteFunc(t.reports, func(r report) bool {
		return r.source == source || now.Sub(r.at) > reportValid
	})
	if len(t.reports) < maxReports {
		t.reports = append(t.reports, report{source, now})
	}
}

func (t *suspicion) sources(now time.Time) int {
	n := 0
	for _, r := range t.reports {
		if now.Sub(r.at) <= reportValid {
			n++
		}
	}
	return n
}

// avoid makes the target avoided from now on. The time doubles if the target is
// suspected again soon after the last time ended.
func (t *suspicion) avoid(now time.Time, delay time.Duration) {
	switch {
	case now.Before(t.until):
		return
	case now.Sub(t.until) < maxSuspicionTime:
		t.span = min(2*t.span, maxSuspicionTime)
	default:
		t.span = suspicionTime
	}
	t.until = now.Add(t.span + delay)
}

// Count returns how many entries have recently reported a target.
func (s *Suspicions) Count(target string, now time.Time) int {
	if t := s.targets[target]; t != nil {
		return t.sources(now)
	}
	return 0
}

// Avoided returns those of a service's targets that are to be avoided, but not so many
// that too few others are left; the targets reported by the most entries go first.
func (s *Suspicions) Avoided(targets []string, now time.Time) []string {
	var out []string
	for _, id := range targets {
		if t := s.targets[id]; t != nil && now.Before(t.until) {
			out = append(out, id)
		}
	}
	most := len(targets) - max(1, len(targets)/keptPart)
	if len(out) <= most {
		return out
	}
	slices.SortStableFunc(out, func(a, b string) int { return s.Count(b, now) - s.Count(a, now) })
	return out[:max(most, 0)]
}

// Drop removes a target that no longer exists or that has restarted.
func (s *Suspicions) Drop(target string) { delete(s.targets, target) }

// Any reports whether there are reports of any target.
func (s *Suspicions) Any() bool { return len(s.targets) > 0 }

// Expire removes records that are too old to matter.
func (s *Suspicions) Expire(now time.Time) {
	for id, t := range s.targets {
		if now.Sub(t.until) > maxSuspicionTime && t.sources(now) == 0 {
			delete(s.targets, id)
		}
	}
}
