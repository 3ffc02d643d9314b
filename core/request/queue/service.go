package queue

import "time"

const (
	// firstService is the first guess of how long an engine takes to the first part
	// of an answer, leastService and mostService bound what is learned.
	firstService = 150 * time.Millisecond
	leastService = 50 * time.Millisecond
	mostService  = 400 * time.Millisecond
	// serviceUp and serviceDown are how far one answer moves what is learned. It
	// stands still where nine answers of ten move it down and one moves it up.
	serviceUp   = 4500 * time.Microsecond
	serviceDown = serviceUp / 9
)

// ServiceTime learns how long engines take from the start of a request to the first
// part of its answer: nine of ten take less. It says when a request must have
// started to be on time. The time grows with the load, to twice of what it is at
// rest; a fixed one let requests start that could only be late. The zero value
// begins with a guess.
type ServiceTime struct {
	learned time.Duration
}

// Observe takes the time of one answer.
func (s *ServiceTime) Observe(d time.Duration) {
	if d > s.P90() {
		s.learned = min(s.P90()+serviceUp, mostService)
		return
	}
	s.learned = max(s.P90()-serviceDown, leastService)
}

// P90 returns the time within which nine of ten answers begin.
func (s *ServiceTime) P90() time.Duration {
	if s.learned == 0 {
		return firstService
	}
	return s.learned
}
