package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the demand estimate.
	demandMemory = 2 * time.Second
	// repayOver is the time over which the bucket is brought back to zero. It
	// is longer than a report takes to come and to be answered, so that the
	// fraction settles and does not swing.
	repayOver = 4 * time.Second
	// forgetAfter is when a home drops a workspace that no entry reports.
	forgetAfter = 2 * time.Minute
)

// account is what a home knows of one workspace.
type account struct {
	limit Limit
	// balance is the token bucket of what was admitted; below zero it is what
	// went through too much.
	balance float64
	// spilled is what the bucket could not hold, in tokens. A report that
	// comes late may still use what was spilled in its span.
	spilled float64
	// demand is the weight of recent offers, decayed at the time at.
	demand   float64
	first    time.Time
	at       time.Time
	fraction float64
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

// SetVisible tells which part of the entries, between 0 and 1, this side of a
// partition can see. The home gives out only that part of each limit: without
// it, every side has a home of its own and each gives out the whole limit.
func (h *Home) SetVisible(part float64) { h.visible = math.Min(1, math.Max(0, part)) }

// Merge takes in the report of an entry and appends the reply to dst. A report
// that is malformed is refused whole.
func (h *Home) Merge(dst, report []byte, now time.Time) ([]byte, error) {
	for at := 0; at < len(report); {
		_, n := readRecord(report[at:])
		if n <= 0 {
			return dst, &MalformedError{Offset: at}
		}
		at += n
	}
	for at := 0; at < len(report); {
		r, n := readRecord(report[at:])
		at += n
		if units, ok := h.take(r, now); ok {
			dst = appendReply(dst, r.id, units)
		}
	}
	h.sweep(now)
	return dst, nil
}

// take books one record and returns the fraction in force, or false if this
// home does not know the workspace yet. A new account begins with an empty
// bucket, since a home that took over would else give out a second burst; what
// the entries admitted by right while there was no home is not held against them.
func (h *Home) take(r record, now time.Time) (uint64, bool) {
	limit, ok := h.limits[r.id]
	if !ok {
		return 0, false
	}
	a, ok := h.accounts[r.id]
	if !ok {
		a = &account{limit: limit, first: now.Add(-r.span), at: now, fraction: 1}
		a.spilled = limit.Rate * h.visible * math.Max(0, (r.span-ReportEvery).Seconds())
		h.accounts[r.id] = a
	}
	a.advance(limit.Rate*h.visible, limit.Burst*h.visible, now)
	a.demand += float64(r.offered) * decayOver(r.span)
	a.book(limit.Rate*h.visible, r)
	a.decide(limit.Rate*h.visible, now)
	return toUnits(a.fraction), true
}

// decayOver returns what is left of demand that came evenly over the span
// before now. Without it one entry that reports each second looks a quarter
// busier than ten that report in turns.
func decayOver(span time.Duration) float64 {
	x := span.Seconds() / demandMemory.Seconds()
	if x <= 0 {
		return 1
	}
	return (1 - math.Exp(-x)) / x
}

// advance lets time pass: demand decays and the bucket fills.
func (a *account) advance(rate, burst float64, now time.Time) {
	span := now.Sub(a.at).Seconds()
	if span <= 0 {
		return
	}
	a.demand *= math.Exp(-span / demandMemory.Seconds())
	full := a.balance + rate*span
	a.balance = math.Min(burst, full)
	a.spilled = math.Min(a.spilled+full-a.balance, rate*maxSpan.Seconds())
	a.at = now
}

// book takes what was admitted out of the bucket. It guards against a false
// debt after an outage: entries that kept to their safe share for a minute
// report it all at once, and the bucket has room for a second or so only.
func (a *account) book(rate float64, r record) {
	admitted := float64(r.admitted)
	late := math.Min(a.spilled, math.Min(math.Max(0, admitted), rate*r.span.Seconds()))
	a.spilled -= late
	a.balance += late - admitted
}

// decide sets the fraction so that the demand takes the rate and brings the
// bucket back to zero over repayOver.
func (a *account) decide(rate float64, now time.Time) {
	age := now.Sub(a.first).Seconds()
	// The divisor corrects the estimate for the time before the first report.
	memory := demandMemory.Seconds()
	demand := a.demand / (memory * (1 - math.Exp(-math.Max(age, ReportEvery.Seconds())/memory)))
	aim := math.Max(0, rate+a.balance/repayOver.Seconds())
	a.fraction = 1
	if demand > aim {
		a.fraction = aim / demand
	}
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
