package queue

import "time"

const (
	// initialP90 is the initial estimate of how long an engine takes to the first event of a
	// response; minP90 and maxP90 bound the learned estimate.
	initialP90 = 150 * time.Millisecond
	minP90     = 50 * time.Millisecond
	maxP90     = 400 * time.Millisecond
	// p90StepUp and p90StepDown are how far one response moves the estimate. It is stable where
	// nine responses of ten move it down and one moves it up.
	p90StepUp   = 4500 * time.Microsecond
	p90StepDown = p90StepUp / 9
)

// ServiceTime estimates the 90th percentile of the time that engines take from the start of a
// request to the first event of its response. The estimate says when a request must have
// started to be on time. The time grows with the load, to twice its value at rest; with a fixed
// estimate, requests were started that could only be late. The zero value begins with a default
// estimate.
type ServiceTime struct {
	estimate time.Duration
}

// Observe records the time of one response.
func (s *ServiceTime) Observe(d time.Duration) {
	if d > s.P90() {
		s.estimate = min(s.P90()+p90StepUp, maxP90)
		return
	}
	s.estimate = max(s.P90()-p90StepDown, minP90)
}

// P90 returns the time within which nine of ten responses begin.
func (s *ServiceTime) P90() time.Duration {
	if s.estimate == 0 {
		return initialP90
	}
	return s.estimate
}
