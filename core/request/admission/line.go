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
	tally   Tally
	// hold is what kept the waiting requests from starting when the Pool last decided. The last
	// request of a class before theirs started after passedAt arrivals.
	hold     Hold
	passedAt uint64
}

func newLine(rng *rand.Rand) *line {
	return &line{queue: queue.New(queue.Limits{Slots: 1, Rate: initialRate, UrgentShare: retryShare}, rng)}
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

// WaitingByClass returns how many requests of each class wait.
func (p *Pool) WaitingByClass() []int {
	out := make([]int, len(p.lines))
	for i, l := range p.lines {
		out[i] = l.queue.Load().Items
	}
	return out
}
