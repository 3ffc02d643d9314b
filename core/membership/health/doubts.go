package health

import (
	"slices"
	"time"
)

const (
	// doubtFor is how long a target is avoided after it was doubted last, and maxDoubt the
	// same once that was in vain before: when it ends, the target costs its callers as
	// many requests again as it takes to doubt it.
	doubtFor = 5 * time.Second
	maxDoubt = 4 * doubtFor
	// returnSpan is the time over which the entries send to it again: the first of them
	// find out for all whether it still fails.
	returnSpan = 2 * time.Second
	// reportValid is how long a report counts: as long as it takes some entries to meet
	// the same fault.
	reportValid = 3 * time.Second
	// reportsNeeded is how many other entries must report a target. The word of one may
	// be the fault of its own network.
	reportsNeeded = 2
	// maxReports bounds the reports that are kept of one target, maxDoubted the targets.
	maxReports = 4
	maxDoubted = 1024
	// keepPart is the part of a service's targets, one in so many, that is never avoided:
	// what fails everywhere is not the fault of the targets, and the others have to take
	// the requests of those that are avoided.
	keepPart = 3
)

// Suspicions collects reports of targets that fail while their peers do not, by this entry and
// by others, and tells which targets are to be avoided for a while. The zero value has
// none.
//
// The load pattern it answers is a fault of seconds at one of a few targets before many
// entries. Each entry alone meets it about once a second, and has seen enough when it is
// over; together they have after some tenths of a second.
type Suspicions struct {
	// ReturnOrder is when this entry sends to a target again among all entries, from 0, which is
	// first, to 1.
	ReturnOrder float64
	targets     map[string]*doubted
}

// doubted is what was reported of one target.
type doubted struct {
	reports []report
	// until is until when it is avoided, or was last; span is for how long that is.
	until time.Time
	span  time.Duration
	// agreed is until when all entries that have heard the reports avoid it.
	agreed time.Time
}

type report struct {
	source string
	at     time.Time
}

// Report takes the word of an entry, this one or another, that a target fails.
func (d *Suspicions) Report(target, source string, own bool, now time.Time) {
	t := d.targets[target]
	if t == nil {
		if len(d.targets) >= maxDoubted {
			d.Expire(now)
		}
		if len(d.targets) >= maxDoubted {
			return
		}
		if d.targets == nil {
			d.targets = map[string]*doubted{}
		}
		t = &doubted{}
		d.targets[target] = t
	}
	t.add(source, now)
	enough := t.count(now) >= reportsNeeded
	if own || enough {
		t.avoid(now, time.Duration(d.ReturnOrder*float64(returnSpan)))
	}
	if enough {
		t.agreed = t.until
	}
}

// Agreed reports whether enough entries have reported a target for all to avoid it now.
func (d *Suspicions) Agreed(target string, now time.Time) bool {
	t := d.targets[target]
	return t != nil && now.Before(t.agreed)
}

func (t *doubted) add(source string, now time.Time) {
	t.reports = slices.DeleteFunc(t.reports, func(r report) bool {
		return r.source == source || now.Sub(r.at) > reportValid
	})
	if len(t.reports) < maxReports {
		t.reports = append(t.reports, report{source, now})
	}
}

func (t *doubted) count(now time.Time) int {
	n := 0
	for _, r := range t.reports {
		if now.Sub(r.at) <= reportValid {
			n++
		}
	}
	return n
}

// avoid has the target avoided from now on: longer each time that it was doubted again
// soon after its last time had ended.
func (t *doubted) avoid(now time.Time, turn time.Duration) {
	switch {
	case now.Before(t.until):
		return
	case now.Sub(t.until) < maxDoubt:
		t.span = min(2*t.span, maxDoubt)
	default:
		t.span = doubtFor
	}
	t.until = now.Add(t.span + turn)
}

// Count returns how many entries have reported a target lately.
func (d *Suspicions) Count(target string, now time.Time) int {
	if t := d.targets[target]; t != nil {
		return t.count(now)
	}
	return 0
}

// Avoided returns those of a service's targets that are to be avoided, so many of them that
// enough others are left; the ones that most entries have reported go first.
func (d *Suspicions) Avoided(targets []string, now time.Time) []string {
	var out []string
	for _, id := range targets {
		if t := d.targets[id]; t != nil && now.Before(t.until) {
			out = append(out, id)
		}
	}
	most := len(targets) - max(1, len(targets)/keepPart)
	if len(out) <= most {
		return out
	}
	slices.SortStableFunc(out, func(a, b string) int { return d.Count(b, now) - d.Count(a, now) })
	return out[:max(most, 0)]
}

// Drop forgets a target that is gone, or that has started again.
func (d *Suspicions) Drop(target string) { delete(d.targets, target) }

// Any reports whether any target is doubted.
func (d *Suspicions) Any() bool { return len(d.targets) > 0 }

// Expire drops what is too old to matter.
func (d *Suspicions) Expire(now time.Time) {
	for id, t := range d.targets {
		if now.Sub(t.until) > maxDoubt && t.count(now) == 0 {
			delete(d.targets, id)
		}
	}
}
