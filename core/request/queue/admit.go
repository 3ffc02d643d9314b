package queue

import (
	"math"
	"time"

	"verbenashift/core/request/outcome"
)

// Reasons of refusals, as carried by outcome.Error.
const (
	ReasonFull          = "queue-full"
	ReasonWorkspaceFull = "workspace-queue-full"
	ReasonDeadline      = "deadline-before-start"
	ReasonExpired       = "deadline-passed"
	ReasonDisplaced     = "displaced"
	ReasonDuplicate     = "request-already-queued"
	// ReasonAllTargetsRefuse means that all targets have refused for a long time.
	ReasonAllTargetsRefuse = "all-targets-refuse"
)

const (
	defaultSlots       = 16
	defaultItems       = 1024
	defaultTokens      = 1 << 18
	defaultUrgentShare = 0.6
	defaultNormalShare = 0.95
	defaultRate        = 1000
	// burstDivisor and workspaceDivisor divide the queue's limits into the default burst of a
	// class and the default limit of one workspace in one class.
	burstDivisor     = 64
	workspaceDivisor = 4
	// reserveDivisor divides the slots into the reserved part.
	reserveDivisor = 8
	// heavyFactor is the multiple of its fair share of the slots at which a workspace may no
	// longer take a reserved slot.
	heavyFactor = 1.5
	// maxSkipped is how many heavy workspaces are skipped for a light one.
	maxSkipped = 4

	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Enqueue accepts a request or refuses it. A refusal has the outcome not-run, except for an ID
// that already waits or runs: that one is unknown, since the earlier request may still run.
// Accepting a request may shed others; see TakeShed.
func (q *Queue) Enqueue(item Item, now time.Time) *outcome.Error {
	item = item.normalized()
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

func (i Item) normalized() Item {
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

// checkDeadline refuses a request that could only expire. It guards against a caller that waits
// for a response that cannot come in time, and against a queue full of such requests: under
// twice the load the target would spend its time on responses that are late.
func (q *Queue) checkDeadline(item Item, now time.Time) *outcome.Error {
	if item.Deadline.IsZero() {
		return nil
	}
	if !now.Before(item.Deadline) {
		return q.refuse(ReasonExpired, 0)
	}
	if item.WaitUntilDeadline {
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
func (q *Queue) Wait(item Item) time.Duration { return duration(q.wait(item.normalized())) }

func (q *Queue) wait(item Item) float64 {
	// While the owner starts nothing, because its targets refuse for a moment,
	// requests wait although slots are free: all that fit start together.
	if q.items < q.limits.Slots-q.running-q.others {
		return 0
	}
	work := q.classes[item.Priority].workAhead(item.Workspace, item.Weight)
	for p := Urgent; p < item.Priority; p++ {
		work += q.workAbove(p, item.Priority, work)
	}
	if c := &q.classes[item.Priority]; q.hasWaitingBelow(item.Priority) && work > c.credit {
		// Beyond its credit a class gets only its share of the service.
		work += (work - math.Max(0, c.credit)) * (1 - c.share) / c.share
	}
	rest := 0.0
	if q.running > 0 {
		rest = float64(q.remaining) / float64(q.running)
	}
	return q.untilStart(work, rest)
}

// workAbove returns how much of a higher class's backlog goes before work of the class below:
// all of it, or as much as its credit and share allow. For best-effort work it assumes the
// worst, that a long backlog above goes on: such work is the first to be refused.
func (q *Queue) workAbove(p, below Priority, work float64) float64 {
	c := &q.classes[p]
	most := math.Max(0, c.credit) + work*c.share/(1-c.share)
	if below == BestEffort && float64(c.queued) > float64(q.limits.Burst) {
		return most
	}
	return math.Min(float64(c.queued), most)
}

// makeRoom refuses the item or sheds others for it. It sheds from the lowest class first, and
// inside the item's own class only from a workspace that has more waiting, so that a burst of
// one workspace fills its own part and never displaces the few requests of another.
func (q *Queue) makeRoom(item Item) *outcome.Error {
	if refusal := q.checkWorkspaceShare(item); refusal != nil {
		return refusal
	}
	for level := item.Priority; level < classCount; level++ {
		for q.full(level, item) {
			victim := q.victim(level, item)
			if victim == nil {
				return q.refuse(ReasonFull, q.seconds(float64(q.queued)))
			}
			q.evict(victim, ReasonDisplaced, q.seconds(float64(q.queued)))
		}
	}
	return nil
}

func (q *Queue) checkWorkspaceShare(item Item) *outcome.Error {
	c := &q.classes[item.Priority]
	f, ok := c.flows[item.Workspace]
	if !ok || f.items == 0 {
		return nil
	}
	if f.items < q.limits.WorkspaceItems && f.queued+item.Cost <= q.limits.WorkspaceTokens {
		return nil
	}
	return q.refuse(ReasonWorkspaceFull, q.seconds(f.backlog()*c.waitingWeight))
}

// full reports whether the classes down to level have no capacity for the item. Each level has
// its class's share of the queue, as it has of the service: otherwise a flood of urgent
// requests would fill the queue or displace what waits below, and the service reserved for the
// lower classes would find nothing waiting there.
func (q *Queue) full(level Priority, item Item) bool {
	items, tokens := 0, int64(0)
	for p := Urgent; p <= level; p++ {
		items += q.classes[p].items
		tokens += q.classes[p].queued
	}
	if items == 0 {
		return false
	}
	queueShare := q.classes[level].queueShare()
	return float64(items+1) > math.Max(1, queueShare*float64(q.limits.Items)) ||
		float64(tokens+item.Cost) > queueShare*float64(q.limits.Tokens)
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
		q.evict(e, ReasonExpired, q.seconds(float64(q.queued)))
	}
}

// NextDeadline returns when Expire next has something to do.
func (q *Queue) NextDeadline() (time.Time, bool) {
	if q.deadlines.len() == 0 {
		return time.Time{}, false
	}
	return q.deadlines.members[0].Deadline, true
}

// TakeShed appends the requests shed since the last call to dst. Each of them was accepted
// earlier and needs its final response now.
func (q *Queue) TakeShed(dst []Shed) []Shed {
	dst = append(dst, q.shed...)
	clear(q.shed)
	q.shed = q.shed[:0]
	return dst
}

func (q *Queue) evict(e *entry, reason string, drain float64) {
	q.shed = append(q.shed, Shed{Item: e.Item, Refusal: q.refuse(reason, drain)})
	q.dropWaiting(e)
}

// refuse returns a not-run refusal with a Retry-After around the drain time in seconds, between
// 0.5 and 1.5 times it. The jitter guards against a second wave: with one common time all
// refused callers come back at once.
func (q *Queue) refuse(reason string, drain float64) *outcome.Error {
	after := min(max(minRetryAfter, duration(drain)), maxRetryAfter)
	spread := time.Duration((0.5 + q.rnd.Float64()) * float64(after))
	return &outcome.Error{Outcome: outcome.NotRun, Reason: reason, RetryAfter: spread}
}

// duration converts seconds to a Duration, capped to avoid an overflow.
func duration(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds, maxSeconds) * float64(time.Second))
}

const maxSeconds = 1e6
