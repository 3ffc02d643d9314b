// Package coldstart limits the requests to targets that are cold, which tolerate only so many a
// second from all senders together and crash well above that.
//
// The limit is divided among the senders without messages between them: each knows how many there
// are, and sends a cold target no more than its equal part in any second. Where that part is less
// than one request a second, a sender sends either nothing or one request a second, which follows
// from a hash of its name and the target's: so few send that their number stays within the limit,
// with a margin of four standard deviations, and each cold target has other senders.
//
// The load pattern it handles is a zone whose targets come back together, idle and cold: each
// sender sees the least loaded targets there, and all would send to them at once.
//
// # Usage
//
//	tr := coldstart.NewTracker("gateway-1")
//	tr.SetSenders(16)
//	tr.Mark(id, coldstart.Limit{PerSecond: 28, Factor: 1.5, Slack: 5}, now.Add(cold), now)
//	if at, rate, cold := tr.ReadyAt(id, now); !cold || !now.Before(at) {
//		tr.RecordSent(id, now)
//		send(id)
//	}
package coldstart

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// second is the time span of a limit, with a margin for requests that arrive closer to each
	// other than they were sent.
	second = 1050 * time.Millisecond
	// safety is the part of a limit that is used.
	safety = 0.8
	// deviations is by how many standard deviations the expected number of senders stays below
	// the limit if not all may send.
	deviations = 4
)

// Limit is the number of requests that a cold target tolerates in any second:
// PerSecond*Factor + Slack. There is no limit if PerSecond is not positive.
type Limit struct {
	PerSecond, Factor, Slack float64
}

// total returns the number of requests in a second that the senders together may use.
func (l Limit) total() float64 { return (l.PerSecond*max(l.Factor, 1) + max(l.Slack, 0)) * safety }

// share returns how many requests a second one of n senders may send, and the probability that it
// is one of those that send anything.
func (l Limit) share(n int) (perSecond int, part float64) {
	total := l.total()
	if each := int(total / float64(n)); each >= 1 {
		return each, 1
	}
	return 1, max(total-deviations*math.Sqrt(total), 1) / float64(n)
}

// target is one cold target.
type target struct {
	limit    Limit
	until    time.Time
	lastSent time.Time
}

// Tracker knows the cold targets of one sender. Use NewTracker to make one. It has no clock and no
// lock.
type Tracker struct {
	instance string
	senders  int
	targets  map[string]*target
}

// NewTracker returns a Tracker without cold targets for the only sender, on an instance.
func NewTracker(instance string) *Tracker {
	return &Tracker{instance: instance, senders: 1, targets: map[string]*target{}}
}

// SetSenders sets the number of senders.
func (tr *Tracker) SetSenders(n int) { tr.senders = max(n, 1) }

// Mark records that a target is cold until a time, or longer if that is known already.
func (tr *Tracker) Mark(id string, l Limit, until, now time.Time) {
	if l.PerSecond <= 0 || !until.After(now) {
		return
	}
	t := tr.targets[id]
	if t == nil {
		t = &target{}
		tr.targets[id] = t
	}
	t.limit = l
	if until.After(t.until) {
		t.until = until
	}
}

// Remove forgets a target.
func (tr *Tracker) Remove(id string) { delete(tr.targets, id) }

// RecordSent records that a request is sent to a target.
func (tr *Tracker) RecordSent(id string, now time.Time) {
	if t := tr.targets[id]; t != nil {
		t.lastSent = now
	}
}

// Unready returns the cold targets that may not be sent a request now.
func (tr *Tracker) Unready(now time.Time) []string {
	var unready []string
	for id := range tr.targets {
		if at, _, cold := tr.ReadyAt(id, now); cold && now.Before(at) {
			unready = append(unready, id)
		}
	}
	return unready
}

// ReadyAt returns when a cold target may be sent the next request, and how many a second. It
// reports false for a target that is not cold.
func (tr *Tracker) ReadyAt(id string, now time.Time) (at time.Time, rate float64, cold bool) {
	t := tr.targets[id]
	if t == nil {
		return time.Time{}, 0, false
	}
	if !now.Before(t.until) {
		delete(tr.targets, id)
		return time.Time{}, 0, false
	}
	each, part := t.limit.share(tr.senders)
	if part < 1 && tr.draw(id) >= part {
		return t.until, 0, true
	}
	at = t.lastSent.Add(second / time.Duration(each))
	if at.After(t.until) {
		at = t.until
	}
	return at, float64(each), true
}

// draw returns a number from 0 to 1 that depends only on the names of the sender and a target.
func (tr *Tracker) draw(id string) float64 {
	h := xxhash.New()
	// The hash never fails to write.
	_, _ = h.WriteString(tr.instance + "\x00" + id)
	return float64(h.Sum64()>>11) / (1 << 53)
}
