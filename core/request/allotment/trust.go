package allotment

import "time"

const (
	// maxIdle is for how long slots may stay free while requests wait for them, in addition to the
	// age of the load that shows it: entries get it at different moments, and some have nothing left
	// to start.
	maxIdle = 600 * time.Millisecond
	// maxIdleShare is the part of the slots that may be free at any time while requests wait: some are
	// reserved for workspaces that have few, and some are about to be taken.
	maxIdleShare = 1.0 / 8
	// maxRunningFactor is how many times over the sums may count what the group runs. An entry that
	// has changed the process it reports to counts twice for a moment.
	maxRunningFactor = 2
	// distrustTime is for how long sums that are wrong are not used.
	distrustTime = 10 * time.Second
)

// Trust decides whether the sums of a group are used. The zero value trusts them.
//
// The load pattern it handles is sums that are false: an entry that claims more urgent requests
// than it has is left slots that it does not take, and those of others wait.
type Trust struct {
	// idleSince is since when slots have been free although requests wait, as far as the report at
	// seenAt showed.
	idleSince, seenAt time.Time
	// until is when the sums are used again, reason why they are not before.
	until  time.Time
	reason Reason
}

// Reason is why sums are not trusted.
type Reason string

// The reasons.
const (
	// ReasonIdle means that slots stay free while more requests wait than there are slots.
	ReasonIdle Reason = "slots left free"
	// ReasonRunning means that the entries report many more running requests than the group has.
	ReasonRunning Reason = "more requests than the group runs"
)

// Observe checks the sums of a new report, whose load is of the given age, given the allotment that
// follows from them.
func (t *Trust) Observe(in *Input, a *Allotment, age time.Duration, now time.Time) {
	if now.Before(t.until) {
		return
	}
	usable := in.usable() - a.Kept
	unseen := now.Sub(t.seenAt) > maxIdle
	t.seenAt = now
	if !a.Contended || float64(usable-in.Running) <= maxIdleShare*float64(usable) {
		t.idleSince = time.Time{}
	} else if t.idleSince.IsZero() || unseen {
		t.idleSince = now
	}
	switch slack := int(maxIdleShare * float64(in.Slots)); {
	case in.Sums.Running.Total() > maxRunningFactor*in.Running+slack:
		t.distrust(ReasonRunning, now)
	case !t.idleSince.IsZero() && now.Sub(t.idleSince) > maxIdle+age:
		t.distrust(ReasonIdle, now)
	}
}

func (t *Trust) distrust(why Reason, now time.Time) {
	t.idleSince, t.until, t.reason = time.Time{}, now.Add(distrustTime), why
}

// Distrusted returns why the sums are not used, or an empty reason if they are.
func (t *Trust) Distrusted(now time.Time) Reason {
	if now.Before(t.until) {
		return t.reason
	}
	return ""
}
