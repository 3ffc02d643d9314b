package queue

import (
	"math"
	"time"
)

// updateCredits charges service to the credit of the entry's class, if a lower class was
// waiting when the entry was started, and gives the classes above it the credit that this
// service earns them. The credit guards against a flood of urgent requests that stops all other
// work: it runs out, and comes back only as the lower classes are served.
func (q *Queue) updateCredits(e *entry, tokens int64) {
	burst := float64(q.limits.Burst)
	if e.contested {
		c := &q.classes[e.Priority]
		c.credit = math.Min(burst, c.credit-float64(tokens))
	}
	for p := Urgent; p < e.Priority; p++ {
		c := &q.classes[p]
		earned := float64(tokens) * c.share / (1 - c.share)
		c.credit = math.Min(burst, c.credit+earned)
	}
}

// Served records that the target has produced the given number of further tokens for a running
// request. Work beyond the expected cost is charged as it comes, so that a response much longer
// than expected is not served at the expense of the others.
func (q *Queue) Served(id string, tokens int64, now time.Time) {
	e, ok := q.entries[id]
	if !ok || !e.running || tokens <= 0 {
		return
	}
	q.progress(e, tokens)
	q.meter.observe(tokens, q.saturated(), now)
}

func (q *Queue) progress(e *entry, tokens int64) {
	rest := max(0, e.Cost-e.served)
	q.remaining -= min(rest, tokens)
	e.served += tokens
	if over := e.served - e.charged; over > 0 {
		q.adjustCharge(e, over)
	}
}

func (q *Queue) adjustCharge(e *entry, tokens int64) {
	q.classes[e.Priority].charge(e, tokens)
	q.updateCredits(e, tokens)
}

// Done ends a running request that was served tokens in total. An overcharge is given back. An
// unknown ID is ignored.
func (q *Queue) Done(id string, tokens int64, now time.Time) {
	e, ok := q.entries[id]
	if !ok || !e.running {
		return
	}
	saturated := q.saturated()
	fresh := max(0, tokens-e.served)
	q.remaining -= max(0, e.Cost-e.served)
	e.served += fresh
	if diff := e.served - e.charged; diff != 0 {
		q.adjustCharge(e, diff)
	}
	q.running--
	q.classes[e.Priority].finish(e)
	q.release(e)
	q.meter.observe(fresh, saturated, now)
}

// dropWaiting removes a waiting entry.
func (q *Queue) dropWaiting(e *entry) {
	q.classes[e.Priority].removeWaiting(e)
	q.deadlines.remove(e)
	q.queued -= e.Cost
	q.items--
	q.release(e)
}

func (q *Queue) release(e *entry) {
	delete(q.entries, e.ID)
	*e = entry{next: q.free}
	q.free = e
}
