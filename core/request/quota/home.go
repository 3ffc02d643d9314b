package quota

import (
	"math"
	"time"
)

const (
	// repayOver is the time over which the bucket is brought back to zero. It
	// is longer than a report takes to come and to be answered, so that the
	// fraction settles and does not swing.
	repayOver = 4 * time.Second
	// settleOver is the time constant of the slow demand estimate. While the
	// demand is steadyWithin of it the entries may report seldom.
	settleOver   = 3 * time.Second
	steadyWithin = 0.1
	// calmBelow is the part of the limit below which a workspace is calm. The
	// estimate errs high, by up to a half, where each entry sees a request now
	// and then: the mean of one over a gap is more than one over the mean gap.
	calmBelow = 0.7
	// calmReports and busyReports are how many reports a second a home wants
	// for a calm workspace and for one near its limit; calmInterval and
	// busyInterval the longest times between two reports of one entry.
	calmReports, busyReports   = 5, 10
	calmInterval, busyInterval = time.Minute, 10 * time.Second
	// expireEvery is how often reporters that have stopped are dropped.
	expireEvery = 500 * time.Millisecond
	// forgetAfter is when a home drops a workspace that no entry reports.
	forgetAfter = 2 * time.Minute
)

// reporter is the last word of one entry on one workspace.
type reporter struct {
	// rate is the demand and admitted what was let through, in tokens a second;
	// they came at the time at and count to until.
	rate, admitted float64
	at, until      time.Time
}

// expected is what the entry is expected to have admitted since it reported.
func (r reporter) expected(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return exact(r.admitted * now.Sub(r.at).Seconds())
}

// exact rounds to a multiple of a power of two, of which sums are exact.
func exact(x float64) float64 { return math.Round(x*exactUnit) / exactUnit }

const exactUnit = 1 << 12

// account is what a home knows of one workspace.
type account struct {
	limit Limit
	// balance is the token bucket of what was admitted; below zero it is what
	// went through too much. Between two reports of an entry it falls at the
	// rate that the entry told, and is put right by the next report: else it
	// would swing by all that the entries admit in an interval.
	balance float64
	// spilled is what the bucket could not hold, in tokens. A report that
	// comes late may still use what was spilled in its span.
	spilled float64
	// demand and flow are the sums over the reporters of what is asked for and
	// let through; slow follows demand.
	demand, flow, slow float64
	reporters          map[uint64]reporter
	at, expired        time.Time
	// learned is when each entry has reported to this home since it begun.
	begun, learned time.Time
	fraction       float64
	interval       time.Duration
}

// Home is the agent's side: the accounts of the workspaces that the entries
// report to it. Use NewHome to make one.
type Home struct {
	limits   map[uint64]Limit
	accounts map[uint64]*account
	visible  float64
	swept    time.Time
}

// NewHome returns a home without limits.
func NewHome() *Home {
	return &Home{limits: make(map[uint64]Limit), accounts: make(map[uint64]*account), visible: 1}
}

// SetLimit sets the limit of a workspace.
func (h *Home) SetLimit(workspace string, limit Limit) {
	id := ID(workspace)
	h.limits[id] = limit.withDefaults()
	if a, ok := h.accounts[id]; ok {
		a.limit = h.limits[id]
	}
}

// Forget drops a workspace that has left the configuration.
func (h *Home) Forget(workspace string) {
	delete(h.limits, ID(workspace))
	delete(h.accounts, ID(workspace))
}

// SetVisibleFraction tells which part of the entries, between 0 and 1, this side of a
// partition can see. The home gives out only that part of each limit: without
// it, every side has a home of its own and each gives out the whole limit.
func (h *Home) SetVisibleFraction(part float64) { h.visible = math.Min(1, math.Max(0, part)) }

// Merge takes in the report of an entry and appends the reply to dst. A report
// that is malformed is refused whole.
func (h *Home) Merge(dst, report []byte, now time.Time) ([]byte, error) {
	entry, at := readEntry(report)
	if at == 0 {
		return dst, &MalformedError{}
	}
	for at := at; at < len(report); {
		_, n := readRecord(report[at:])
		if n <= 0 {
			return dst, &MalformedError{Offset: at}
		}
		at += n
	}
	for at < len(report) {
		r, n := readRecord(report[at:])
		at += n
		if a := h.take(entry, r, now); a != nil {
			dst = appendReply(dst, reply{r.id, a.answer(r, now), a.interval})
		}
	}
	h.sweep(now)
	return dst, nil
}

// take books one record, or returns nil if this home does not know the
// workspace yet. A new account begins with an empty bucket, since a home that
// took over would else give out a second burst; what the entries admitted by
// right while there was no home is not held against them.
func (h *Home) take(entry uint64, r record, now time.Time) *account {
	limit, ok := h.limits[r.id]
	if !ok {
		return nil
	}
	rate, burst := limit.Rate*h.visible, limit.Burst*h.visible
	a, ok := h.accounts[r.id]
	if !ok {
		a = &account{limit: limit, at: now, fraction: 1, reporters: make(map[uint64]reporter)}
		a.spilled = rate * math.Max(0, (r.span-ReportInterval).Seconds())
		a.begun, a.learned = now, now.Add(ReportInterval)
		h.accounts[r.id] = a
	}
	a.advance(rate, burst, now)
	a.book(rate, entry, r, now)
	a.count(entry, r, now)
	a.decide(rate)
	if end := a.begun.Add(r.span); !now.After(a.learned) && end.After(a.learned) {
		a.learned = end
	}
	return a
}

// answer returns the fraction for one entry. A home that has just begun knows a
// part of the demand only; until it has heard all, an entry keeps the fraction
// that it heard from another home, unless this one's is lower.
func (a *account) answer(r record, now time.Time) uint64 {
	units := toUnits(a.fraction)
	if now.Before(a.learned) {
		return min(units, r.fraction)
	}
	return units
}

// advance lets time pass: the bucket fills, and entries that have stopped
// reporting no longer count.
func (a *account) advance(rate, burst float64, now time.Time) {
	span := now.Sub(a.at).Seconds()
	if span > 0 {
		full := a.balance + (rate-a.flow)*span
		a.balance = math.Min(burst, full)
		a.spilled = math.Min(a.spilled+full-a.balance, rate*maxSpan.Seconds())
		a.slow += (a.demand - a.slow) * (1 - math.Exp(-span/settleOver.Seconds()))
		a.at = now
	}
	if now.Sub(a.expired) < expireEvery {
		return
	}
	// The rates are exact, so that the sums do not depend on the order.
	a.expired, a.demand, a.flow = now, 0, 0
	back := 0.0
	for entry, r := range a.reporters {
		if now.Before(r.until) {
			a.demand += r.rate
			a.flow += r.admitted
			continue
		}
		back += r.expected(now)
		delete(a.reporters, entry)
	}
	a.balance += back
}

// count puts the entry's rates in place of what it last said. They hold until
// twice the time to the next report.
func (a *account) count(entry uint64, r record, now time.Time) {
	span := max(r.span, MinReportInterval)
	old, next := a.reporters[entry], reporter{at: now}
	next.rate = exact(math.Max(0, float64(r.offered)) / span.Seconds())
	next.admitted = exact(math.Max(0, float64(r.admitted)) / span.Seconds())
	next.until = now.Add(2*max(span, a.interval) + ReportInterval)
	a.demand = math.Max(0, a.demand+next.rate-old.rate)
	a.flow = math.Max(0, a.flow+next.admitted-old.admitted)
	if next.rate == 0 {
		delete(a.reporters, entry)
		return
	}
	a.reporters[entry] = next
}

// book puts the bucket right by what was admitted beyond the expected. It
// guards against a false debt after an outage: entries that kept to their safe
// share for a minute report it all at once, and the bucket has room for a
// second or so only.
func (a *account) book(rate float64, entry uint64, r record, now time.Time) {
	more := float64(r.admitted) - a.reporters[entry].expected(now)
	late := math.Min(a.spilled, math.Min(math.Max(0, more), rate*r.span.Seconds()))
	a.spilled -= late
	a.balance += late - more
}

// decide sets the fraction so that the demand takes the rate and brings the
// bucket back to zero over repayOver; and how soon the entries report again.
func (a *account) decide(rate float64) {
	over := max(repayOver, a.interval).Seconds()
	aim := math.Max(0, rate+a.balance/over)
	a.fraction = 1
	if a.demand > aim {
		a.fraction = aim / a.demand
	}
	n := float64(len(a.reporters))
	calm := a.balance >= 0 && math.Max(a.demand, a.slow) < calmBelow*rate
	switch {
	case calm:
		a.interval = paced(n/calmReports, calmInterval)
	case math.Abs(a.demand-a.slow) > steadyWithin*a.demand:
		a.interval = ReportInterval
	default:
		a.interval = paced(n/busyReports, busyInterval)
	}
}

// paced guards against a home that drowns in reports: a workspace that all
// entries use would bring one from each of them in every second.
func paced(seconds float64, longest time.Duration) time.Duration {
	return min(longest, max(ReportInterval, time.Duration(seconds*float64(time.Second))))
}

// sweep forgets idle accounts, at most once in forgetAfter.
func (h *Home) sweep(now time.Time) {
	if now.Sub(h.swept) < forgetAfter {
		return
	}
	h.swept = now
	for id, a := range h.accounts {
		if now.Sub(a.at) >= forgetAfter {
			delete(h.accounts, id)
		}
	}
}
