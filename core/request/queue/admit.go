package queue

import (
	"math"
	"time"

	"verbenashift/core/request/outcome"
)

// The reasons of refusals; outcome.Error carries them.
const (
	ReasonFull          = "queue-full"
	ReasonWorkspaceFull = "workspace-queue-full"
	ReasonDeadline      = "deadline-before-start"
	ReasonExpired       = "deadline-passed"
	ReasonDisplaced     = "displaced"
	ReasonDuplicate     = "request-already-queued"
	// ReasonAllTargetsRefuse says that all targets have refused for long.
	ReasonAllTargetsRefuse = "all-targets-refuse"
)

const (
	defaultSlots       = 16
	defaultItems       = 1024
	defaultTokens      = 1 << 18
	defaultUrgentShare = 0.6
	defaultNormalShare = 0.95
	defaultRate        = 1000
	// burstPart and workspacePart are the parts of the queue that the burst
	// of a class and one workspace in one class may have.
	burstPart     = 64
	workspacePart = 4
	// reservePart is the part of the slots that is kept.
	reservePart = 8
	// heavyPart is how many times its part a workspace runs that may not take
	// a kept slot.
	heavyPart = 1.5
	// maxPassed is how many heavy workspaces are passed over for a light one.
	maxPassed = 4

	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Enqueue accepts a request or refuses it. A refusal has the outcome not-run,
// but for an id that already waits or runs: that one is unknown, since the
// earlier request may still run. Accepting may shed others; see TakeShed.
func (q *Queue) Enqueue(item Item, now time.Time) *outcome.Error {
	item = item.normal()
	if _, ok := q.entries[item.ID]; ok {
		return &outcome.Error{Outcome: outcome.Unknown, Reason: ReasonDuplicate}
	}
	q.Expire(now)
	if refusal := q.checkDeadline(item, now); refusal != nil {
		return refusal
	}
	if refusal := q.makeRoom(item); refusal != nil {
		return refusal
	}
	q.add(item)
	return nil
}

func (i Item) normal() Item {
	i.Cost = max(1, i.Cost)
	i.Priority = min(i.Priority, BestEffort)
	if !(i.Weight > 0) || math.IsInf(i.Weight, 0) {
		i.Weight = 1
	}
	return i
}

func (q *Queue) add(item Item) {
	e := q.newEntry(item)
	q.entries[item.ID] = e
	q.classes[item.Priority].add(e)
	if !item.Deadline.IsZero() {
		q.deadlines.push(e)
	}
	q.queued += item.Cost
	q.items++
}

// checkDeadline refuses what could only expire. It guards against a caller
// who waits in silence for an answer that cannot come in time, and against a
// full queue of such requests: under twice the load the target would spend
// its time on answers that are late.
func (q *Queue) checkDeadline(item Item, now time.Time) *outcome.Error {
	if item.Deadline.IsZero() {
		return nil
	}
	if !now.Before(item.Deadline) {
		return q.refuse(ReasonExpired, 0)
	}
	if item.Patient {
		return nil
	}
	wait := q.wait(item)
	if !now.Add(duration(wait)).After(item.Deadline) {
		return nil
	}
	excess := wait - item.Deadline.Sub(now).Seconds()
	return q.refuse(ReasonDeadline, excess)
}

// Wait returns the expected time until a new item would start.
func (q *Queue) Wait(item Item) time.Duration { return duration(q.wait(item.normal())) }

func (q *Queue) wait(item Item) float64 {
	// While the owner starts nothing, because its targets refuse for a moment,
	// requests wait although there are slots: all that fit start together.
	if q.items < q.limits.Slots-q.running {
		return 0
	}
	work := q.classes[item.Priority].ahead(item.Workspace, item.Weight)
	for p := Urgent; p < item.Priority; p++ {
		work += q.workAbove(p, item.Priority, work)
	}
	if c := &q.classes[item.Priority]; q.waitsBelow(item.Priority) && work > c.credit {
		// Beyond its credit a class gets only its share of the service.
		work += (work - math.Max(0, c.credit)) * (1 - c.share) / c.share
	}
	if q.running > 0 {
		work += float64(q.remaining) / float64(q.running)
	}
	return q.meter.seconds(work)
}

// workAbove returns how much of a higher class's backlog goes before work of
// the class below: all of it, or as much as its credit and share allow. Best
// effort work is told the worst, that a long backlog above goes on: it is the
// first to be refused.
func (q *Queue) workAbove(p, below Priority, work float64) float64 {
	c := &q.classes[p]
	most := math.Max(0, c.credit) + work*c.share/(1-c.share)
	if below == BestEffort && float64(c.queued) > float64(q.limits.Burst) {
		return most
	}
	return math.Min(float64(c.queued), most)
}

// makeRoom refuses the item or sheds others for it. Room is taken from the
// lowest class first, and inside the item's own class only from a workspace
// that has more waiting, so that one workspace's burst fills its own part and
// never pushes out another's few requests.
func (q *Queue) makeRoom(item Item) *outcome.Error {
	if refusal := q.checkShare(item); refusal != nil {
		return refusal
	}
	for level := item.Priority; level < classCount; level++ {
		for q.full(level, item) {
			victim := q.victim(level, item)
			if victim == nil {
				return q.refuse(ReasonFull, q.meter.seconds(float64(q.queued)))
			}
			q.giveUp(victim, ReasonDisplaced, q.meter.seconds(float64(q.queued)))
		}
	}
	return nil
}

func (q *Queue) checkShare(item Item) *outcome.Error {
	c := &q.classes[item.Priority]
	f, ok := c.flows[item.Workspace]
	if !ok || f.items == 0 {
		return nil
	}
	if f.items < q.limits.WorkspaceItems && f.queued+item.Cost <= q.limits.WorkspaceTokens {
		return nil
	}
	return q.refuse(ReasonWorkspaceFull, q.meter.seconds(f.backlog()*c.weight))
}

// full reports whether the classes down to level have no room for the item.
// Each level has its class's share of the queue, as it has of the service:
// else a flood of urgent requests would fill the queue or displace what waits
// below, and the service kept for the lower classes would find nobody there.
func (q *Queue) full(level Priority, item Item) bool {
	items, tokens := 0, int64(0)
	for p := Urgent; p <= level; p++ {
		items += q.classes[p].items
		tokens += q.classes[p].queued
	}
	if items == 0 {
		return false
	}
	room := q.classes[level].room()
	return float64(items+1) > math.Max(1, room*float64(q.limits.Items)) ||
		float64(tokens+item.Cost) > room*float64(q.limits.Tokens)
}

func (q *Queue) victim(level Priority, item Item) *entry {
	for p := level; p > item.Priority; p-- {
		if c := &q.classes[p]; c.items > 0 {
			return c.longest.members[0].tail
		}
	}
	c := &q.classes[item.Priority]
	if c.items == 0 {
		return nil
	}
	own := float64(item.Cost) / item.Weight
	if f, ok := c.flows[item.Workspace]; ok {
		own += float64(f.queued) / item.Weight
	}
	if longest := c.longest.members[0]; longest.backlog() > own {
		return longest.tail
	}
	return nil
}

// Expire sheds the waiting requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) {
	for q.deadlines.len() > 0 {
		e := q.deadlines.members[0]
		if now.Before(e.Deadline) {
			return
		}
		q.giveUp(e, ReasonExpired, q.meter.seconds(float64(q.queued)))
	}
}

// NextDeadline returns when Expire next has something to do.
func (q *Queue) NextDeadline() (time.Time, bool) {
	if q.deadlines.len() == 0 {
		return time.Time{}, false
	}
	return q.deadlines.members[0].Deadline, true
}

// TakeShed appends the requests shed since the last call to dst. Each of them
// was accepted earlier and needs its final answer now.
func (q *Queue) TakeShed(dst []Shed) []Shed {
	dst = append(dst, q.shed...)
	clear(q.shed)
	q.shed = q.shed[:0]
	return dst
}

func (q *Queue) giveUp(e *entry, reason string, drain float64) {
	q.shed = append(q.shed, Shed{Item: e.Item, Refusal: q.refuse(reason, drain)})
	q.drop(e)
}

// refuse returns a not-run refusal with a Retry-After around the drain time in
// seconds, between half and one and a half times it. The spread guards against
// a second wave: with one common time all refused callers come back at once.
func (q *Queue) refuse(reason string, drain float64) *outcome.Error {
	after := min(max(minRetryAfter, duration(drain)), maxRetryAfter)
	spread := time.Duration((0.5 + q.rnd.Float64()) * float64(after))
	return &outcome.Error{Outcome: outcome.NotRun, Reason: reason, RetryAfter: spread}
}

// duration converts seconds, and stops short of an overflow.
func duration(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds, maxSeconds) * float64(time.Second))
}

const maxSeconds = 1e6
