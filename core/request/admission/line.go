package admission

import (
	"math/rand/v2"
	"time"

	"verbenashift/core/request/precedence"
	"verbenashift/core/request/queue"
)

// line is the requests of one class.
type line struct {
	queue *queue.Queue
	// emptyAt is when the queue was last empty.
	emptyAt time.Time
	// objective is that of the last request that arrived.
	objective time.Duration
	// served is the work that its requests were served.
	served *queue.Throughput
	tally  Tally
	// hold is what kept the waiting requests from starting when the Pool last decided. The last
	// request of a class before theirs started after passedAt arrivals.
	hold     Hold
	passedAt uint64
}

func newLine(rng *rand.Rand) *line {
	return &line{
		queue:  queue.New(queue.Limits{Slots: 1, Rate: initialRate, UrgentShare: retryShare}, rng),
		served: queue.NewThroughput(0),
	}
}

// backlogAge returns for how long requests have been waiting without a break. It also records
// when the queue is empty.
func (l *line) backlogAge(now time.Time) time.Duration {
	if l.queue.Load().Items == 0 {
		l.emptyAt = now
	}
	return now.Sub(l.emptyAt)
}

// SetClasses sets the number of classes of the requests that arrive from now on. Requests that
// wait keep theirs.
func (p *Pool) SetClasses(n int, now time.Time) {
	p.classes = min(max(n, 1), precedence.MaxClasses)
	for len(p.lines) < p.classes {
		l := newLine(p.rng)
		l.emptyAt = now
		p.lines = append(p.lines, l)
	}
}

// observeServed records the tokens that a request of a class has cost.
func (p *Pool) observeServed(class int, cost int64, now time.Time) {
	p.served.Observe(cost, p.waiting() > 0, now)
	for c, l := range p.lines {
		tokens := int64(0)
		if c == class {
			tokens = cost
		}
		l.served.Observe(tokens, true, now)
	}
}

// shareRates tells the queue of each class what it can expect: it waits for the requests before it
// and is served what these leave, or its floor.
func (p *Pool) shareRates() {
	behind := len(p.lines) - 1
	if behind == 0 {
		return
	}
	rate := p.served.Rate()
	share := queue.Share{Total: rate, Rate: rate}
	for _, l := range p.lines {
		l.queue.SetShare(share)
		share.Floor = precedence.FloorShare * rate / float64(behind)
		share.Ahead += l.queue.Load().Queued
		share.Rate = max(share.Rate-l.served.Rate(), share.Floor)
	}
}

// lineOf returns the line of a class. One that is out of range counts as the last.
func (p *Pool) lineOf(class int) *line {
	return p.lines[p.classOf(class)]
}

func (p *Pool) classOf(class int) int {
	if class < 0 || class >= len(p.lines) {
		return len(p.lines) - 1
	}
	return class
}

// waiting returns how many requests wait.
func (p *Pool) waiting() int {
	n := 0
	for _, l := range p.lines {
		n += l.queue.Load().Items
	}
	return n
}

// running returns how many requests run.
func (p *Pool) running() int {
	n := 0
	for _, l := range p.lines {
		n += l.queue.Load().Running
	}
	return n
}

// WaitingByClass returns how many requests of each class wait.
func (p *Pool) WaitingByClass() []int {
	out := make([]int, len(p.lines))
	for i, l := range p.lines {
		out[i] = l.queue.Load().Items
	}
	return out
}

// reserve returns how many slots a class leaves free for requests of the classes before it. The
// groups share it.
func (p *Pool) reserve(class int, now time.Time) int {
	if class == 0 {
		return 0
	}
	return (p.arrivals.Before(class, now) + len(p.groups) - 1) / max(len(p.groups), 1)
}
