package intake

import "time"

const (
	// watchInterval is the time between two observations.
	watchInterval = 50 * time.Millisecond
	// meanGain is the weight of one observation in the mean.
	meanGain = 0.1
	// overloadedAfter is the mean lateness of timers from which the process counts as overloaded,
	// and calmBelow that below which it no longer does. Each step of a request waits as long.
	overloadedAfter = 100 * time.Millisecond
	calmBelow       = 30 * time.Millisecond
	// maxLate bounds one observation: a process that was suspended is not busy.
	maxLate = 500 * time.Millisecond
	// shareStep is by how much the refused share changes with an observation, up to maxShare.
	shareStep = 0.05
	maxShare  = 0.95
)

// Overload decides which share of the new connections to refuse, from how late timers fire. Its zero
// value refuses none.
type Overload struct {
	mean  time.Duration
	share float64
}

// Observe records how late a timer has fired, each watchInterval.
func (o *Overload) Observe(late time.Duration) {
	late = min(max(late, 0), maxLate)
	o.mean += time.Duration(meanGain * float64(late-o.mean))
	switch {
	case o.mean >= overloadedAfter:
		o.share = min(o.share+shareStep, maxShare)
	case o.mean < calmBelow:
		o.share = max(o.share-shareStep, 0)
	}
}

// Share returns the share of the new connections to refuse.
func (o *Overload) Share() float64 { return o.share }
