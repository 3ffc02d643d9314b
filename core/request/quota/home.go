package quota

import (
	"math"
	"time"
)

const (
	// repayTime is the time over which the bucket is brought back to zero. It is longer than
	// the time to the next report and its reply, so that the fraction converges and does not
	// oscillate.
	repayTime = 4 * time.Second
	// slowTimeConstant is the time constant of the slow demand estimate. While the demand is
	// within steadyTolerance of that estimate, the entries may report seldom.
	slowTimeConstant = 3 * time.Second
	steadyTolerance  = 0.1
	// calmShare is the part of the limit below which a workspace is calm. The demand estimate
	// errs high, by up to a half, where each entry sees a request now and then: the mean of one
	// over a gap is more than one over the mean gap.
	calmShare = 0.7
	// calmReportRate and busyReportRate are how many reports a second a home wants for a calm
	// workspace and for one near its limit; calmInterval and busyInterval are the longest times
	// between two reports of one entry.
	calmReportRate, busyReportRate = 5, 10
	calmInterval, busyInterval     = time.Minute, 10 * time.Second
	// expireInterval is how often reporters that have stopped are removed.
	expireInterval = 500 * time.Millisecond
	// accountTTL is when a home removes a workspace that no entry reports.
	accountTTL = 2 * time.Minute
)

// reporter is the last report of one entry on one workspace.
type reporter struct {
	// rate is the demand and admitted the admitted rate, in tokens a second; they were received
	// at the time at and are valid until the time until.
	rate, admitted float64
	at, until      time.Time
}

// expected returns what the entry is expected to have admitted since it reported.
func (r reporter) expected(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return exact(r.admitted * now.Sub(r.at).Seconds())
}

// exact rounds to a multiple of a power of two, so that sums are exact.
func exact(x float64) float64 { return math.Round(x*exactUnit) / exactUnit }

const exactUnit = 1 << 12

// account is the state of one workspace at its home.
type account struct {
	limit Limit
	// balance is the token bucket of what was admitted; a negative balance is what was admitted
	// in excess. Between two reports of an entry it falls at the rate that the entry reported,
	// and the next report corrects it: otherwise it would swing by all that the entries admit
	// in an interval.
	balance float64
	// overflow is what the full bucket could not take, in tokens. A late report may still use
	// the overflow of the time that it covers.
	overflow float64
	// demand and admittedRate are the sums over the reporters of what is requested and what is
	// admitted; slowDemand follows demand slowly.
	demand, admittedRate, slowDemand float64
	reporters                        map[uint64]reporter
	at, expiredAt                    time.Time
	// completeAt is when every entry has reported to this home since startedAt, when the
	// account was created.
	startedAt, completeAt time.Time
	fraction              float64
	interval              time.Duration
}

// Home is the agent's side: the accounts of the workspaces that the entries report to it. Use
// NewHome to make one.
type Home struct {
	limits          map[uint64]Limit
	accounts        map[uint64]*account
	visibleFraction float64
	cleanedAt       time.Time
}

// NewHome returns a home without limits.
func NewHome() *Home {
	return &Home{limits: make(map[uint64]Limit), accounts: make(map[uint64]*account), visibleFraction: 1}
}

// SetLimit sets the limit of a workspace.
func (h *Home) SetLimit(workspace string, limit Limit) {
	id := ID(workspace)
	h.limits[id] = limit.withDefaults()
	if a, ok := h.accounts[id]; ok {
		a.limit = h.limits[id]
	}
}

// Forget removes a workspace that is no longer in the configuration.
func (h *Home) Forget(workspace string) {
	delete(h.limits, ID(workspace))
	delete(h.accounts, ID(workspace))
}

// SetVisibleFraction sets which part of the entries, between 0 and 1, this side of a network
// partition can see. The home grants only that part of each limit: otherwise every side, with a
// home of its own, grants the whole limit.
func (h *Home) SetVisibleFraction(part float64) { h.visibleFraction = math.Min(1, math.Max(0, part)) }

// Merge applies the report of an entry and appends the reply to dst. A malformed report is
// rejected as a whole.
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
		if a := h.apply(entry, r, now); a != nil {
			dst = appendReply(dst, reply{r.id, a.fractionFor(r, now), a.interval})
		}
	}
	h.removeIdleAccounts(now)
	return dst, nil
}

// apply records one workspace of a report, or returns nil if this home does not know the
// workspace yet. A new account begins with an empty bucket, since a home that took over would
// otherwise grant a second burst; what the entries rightly admitted while there was no home is
// not charged to them.
func (h *Home) apply(entry uint64, r record, now time.Time) *account {
	limit, ok := h.limits[r.id]
	if !ok {
		return nil
	}
	rate, burst := limit.Rate*h.visibleFraction, limit.Burst*h.visibleFraction
	a, ok := h.accounts[r.id]
	if !ok {
		a = &account{limit: limit, at: now, fraction: 1, reporters: make(map[uint64]reporter)}
		a.overflow = rate * math.Max(0, (r.span-ReportInterval).Seconds())
		a.startedAt, a.completeAt = now, now.Add(ReportInterval)
		h.accounts[r.id] = a
	}
	a.advance(rate, burst, now)
	a.adjustBalance(rate, entry, r, now)
	a.setRates(entry, r, now)
	a.decide(rate)
	if end := a.startedAt.Add(r.span); !now.After(a.completeAt) && end.After(a.completeAt) {
		a.completeAt = end
	}
	return a
}

// fractionFor returns the fraction for one entry. A home that has just started knows only a
// part of the demand; until all entries have reported, an entry keeps the fraction that it
// received from another home, unless this home's is lower.
func (a *account) fractionFor(r record, now time.Time) uint64 {
	units := toUnits(a.fraction)
	if now.Before(a.completeAt) {
		return min(units, r.fraction)
	}
	return units
}

// advance moves the account to the given time: the bucket fills, and entries that have stopped
// reporting no longer count.
func (a *account) advance(rate, burst float64, now time.Time) {
	span := now.Sub(a.at).Seconds()
	if span > 0 {
		full := a.balance + (rate-a.admittedRate)*span
		a.balance = math.Min(burst, full)
		a.overflow = math.Min(a.overflow+full-a.balance, rate*maxSpan.Seconds())
		a.slowDemand += (a.demand - a.slowDemand) * (1 - math.Exp(-span/slowTimeConstant.Seconds()))
		a.at = now
	}
	if now.Sub(a.expiredAt) < expireInterval {
		return
	}
	// The rates are exact, so that the sums do not depend on the order.
	a.expiredAt, a.demand, a.admittedRate = now, 0, 0
	back := 0.0
	for entry, r := range a.reporters {
		if now.Before(r.until) {
			a.demand += r.rate
			a.admittedRate += r.admitted
			continue
		}
		back += r.expected(now)
		delete(a.reporters, entry)
	}
	a.balance += back
}

// setRates replaces the entry's rates by those of its new report. They are valid for twice the
// time to the next report.
func (a *account) setRates(entry uint64, r record, now time.Time) {
	span := max(r.span, MinReportInterval)
	old, next := a.reporters[entry], reporter{at: now}
	next.rate = exact(math.Max(0, float64(r.offered)) / span.Seconds())
	next.admitted = exact(math.Max(0, float64(r.admitted)) / span.Seconds())
	next.until = now.Add(2*max(span, a.interval) + ReportInterval)
	a.demand = math.Max(0, a.demand+next.rate-old.rate)
	a.admittedRate = math.Max(0, a.admittedRate+next.admitted-old.admitted)
	if next.rate == 0 {
		delete(a.reporters, entry)
		return
	}
	a.reporters[entry] = next
}

// adjustBalance corrects the bucket by what was admitted beyond the expected. It guards against
// a false debt after an outage: entries that were limited to their safe share for a minute
// report it all at once, and the bucket holds only a second or so.
func (a *account) adjustBalance(rate float64, entry uint64, r record, now time.Time) {
	more := float64(r.admitted) - a.reporters[entry].expected(now)
	late := math.Min(a.overflow, math.Min(math.Max(0, more), rate*r.span.Seconds()))
	a.overflow -= late
	a.balance += late - more
}

// decide sets the fraction so that the demand matches the rate and the bucket returns to zero
// over repayTime; and how soon the entries report again.
func (a *account) decide(rate float64) {
	over := max(repayTime, a.interval).Seconds()
	allowedRate := math.Max(0, rate+a.balance/over)
	a.fraction = 1
	if a.demand > allowedRate {
		a.fraction = allowedRate / a.demand
	}
	n := float64(len(a.reporters))
	calm := a.balance >= 0 && math.Max(a.demand, a.slowDemand) < calmShare*rate
	switch {
	case calm:
		a.interval = boundInterval(n/calmReportRate, calmInterval)
	case math.Abs(a.demand-a.slowDemand) > steadyTolerance*a.demand:
		a.interval = ReportInterval
	default:
		a.interval = boundInterval(n/busyReportRate, busyInterval)
	}
}

// boundInterval converts seconds to a report interval between ReportInterval and longest. It
// guards against overloading a home with reports: a workspace that all entries use would
// otherwise bring one from each of them every second.
func boundInterval(seconds float64, longest time.Duration) time.Duration {
	return min(longest, max(ReportInterval, time.Duration(seconds*float64(time.Second))))
}

// removeIdleAccounts deletes idle accounts, at most once in accountTTL.
func (h *Home) removeIdleAccounts(now time.Time) {
	if now.Sub(h.cleanedAt) < accountTTL {
		return
	}
	h.cleanedAt = now
	for id, a := range h.accounts {
		if now.Sub(a.at) >= accountTTL {
			delete(h.accounts, id)
		}
	}
}
