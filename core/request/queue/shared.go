package queue

import "time"

// Throughput estimates the tokens a second of a target, or of a part of its requests. Use
// NewThroughput to make one.
type Throughput struct{ meter }

// NewThroughput returns an estimate that begins with the given rate in tokens a second.
func NewThroughput(rate float64) *Throughput { return &Throughput{meter{rate: rate}} }

// Observe records that tokens have been served by now. While the target is not saturated, the
// estimate can rise but not fall.
func (t *Throughput) Observe(tokens int64, saturated bool, now time.Time) {
	t.observe(tokens, saturated, now)
}

// Rate returns the estimate in tokens a second.
func (t *Throughput) Rate() float64 { return t.rate }

// Share is the part of a target that one of several queues has, in tokens and tokens a second.
type Share struct {
	// Total is the rate of the target.
	Total float64
	// Ahead is the work in other queues that goes before, Rate the rate at which both are served.
	Ahead int64
	Rate  float64
	// Floor is the rate at which the queue is served whatever goes before.
	Floor float64
}

// SetShare tells the queue its share of a target that has several queues. With the zero value it
// expects to be the only one, and learns the rate.
//
// The load pattern it handles is a queue whose requests go first and are few. What it was served
// says how much was asked of it, not how long a request has to wait.
func (q *Queue) SetShare(s Share) { q.share = s }

// SetOthers sets how many requests of the target's other queues run. They take slots.
func (q *Queue) SetOthers(n int) { q.others = n }

// WithoutReserve lets any workspace take the last slots, until the next SetSlots.
//
// The load pattern it handles is a queue whose requests go first, all of them of workspaces that run
// much. A slot that is kept from them would go to the queues behind.
func (q *Queue) WithoutReserve() { q.limits.Reserve = 0 }

// saturated reports whether all slots are taken.
func (q *Queue) saturated() bool { return q.running+q.others >= q.limits.Slots }

// seconds returns how long the target takes for the given tokens of work of this queue.
func (q *Queue) seconds(tokens float64) float64 {
	if q.share.Rate <= 0 {
		return q.meter.seconds(tokens)
	}
	s := (tokens + float64(q.share.Ahead)) / q.share.Rate
	if q.share.Floor > 0 {
		s = min(s, tokens/q.share.Floor)
	}
	return s
}

// untilStart returns how long a request waits behind the given tokens of work of this queue and the
// rest of a running request. A request of any queue that ends makes room.
func (q *Queue) untilStart(work, rest float64) float64 {
	if q.share.Total <= 0 {
		return q.seconds(work + rest)
	}
	return q.seconds(work) + rest/q.share.Total
}
