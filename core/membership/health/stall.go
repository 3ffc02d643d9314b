package health

import "time"

const (
	// answerStall is how long an answer that has begun may be silent while others
	// continue. Engines send an event with each forward pass, some tens to two hundred
	// milliseconds; a request whose memory was taken for others resumes within half a
	// second. Callers leave after two seconds, and the answer has to continue at another
	// target before that.
	answerStall = time.Second
	// targetStall is how long a target may send nothing at all, with answers due,
	// while others send; dueTargetStall applies if one of its answers has begun, so that
	// something is due with each pass.
	targetStall    = 700 * time.Millisecond
	dueTargetStall = 500 * time.Millisecond
	// avoidAfter is the silence after which a target gets no new requests. Avoiding a
	// target needlessly costs nothing; a request sent to a stalled target is executed when
	// the target resumes, whether its caller still waits or not.
	avoidAfter = 300 * time.Millisecond
	// poolActivityWindow is how recently another target must have sent something. If all
	// are silent, the engines are stalled together, and no other would help.
	poolActivityWindow = 300 * time.Millisecond
)

// Progress holds when data last arrived for one answer, from its target, and from
// all targets that could serve it.
type Progress struct {
	// Begun reports that a piece of the answer has arrived, Due that this holds for any
	// answer in progress at the target.
	Begun, Due bool
	// Answer is when the last piece of the answer arrived, or else when the request was sent.
	Answer time.Time
	// Target and Pool are when a piece of any answer last arrived from there.
	Target, Pool time.Time
}

// Silence says what to do about a lack of progress.
type Silence struct {
	// Avoid reports that the target should get no new requests.
	Avoid bool
	// Move reports that the answer should continue at another target.
	Move bool
	// TargetStalled reports that the target as a whole is silent, not only this answer.
	TargetStalled bool
}

// Evaluate detects a silence that other targets do not share.
//
// It is for stalled instances and for connections that go silent: neither ends a
// connection, requests sent there wait until their callers leave, and nothing counts
// as a failure of the target. An answer that has not begun may legitimately wait in
// the queue of a working target.
func (p Progress) Evaluate(now time.Time) Silence {
	if now.Sub(p.Pool) > poolActivityWindow {
		return Silence{}
	}
	limit := targetStall
	if p.Due {
		limit = dueTargetStall
	}
	answer, target := now.Sub(p.Answer), now.Sub(p.Target)
	targetStalled := answer >= limit && target >= limit
	return Silence{
		Avoid:         p.Due && target >= avoidAfter,
		Move:          targetStalled || p.Begun && answer >= answerStall,
		TargetStalled: targetStalled,
	}
}

const (
	// groupAvoidAfter is how long a complete group may send nothing, with answers due, while
	// other groups of its service continue, before it gets no new requests. A change of its
	// expert map may hold it for some tenths of a second, and a pass takes up to two.
	groupAvoidAfter = 500 * time.Millisecond
	// groupMoveAfter is the silence after which its answers should continue in other groups:
	// callers leave after two seconds, and the prompt has to be processed again first. A lost
	// rank stops its group for 1.5 s before its answers are cut off.
	groupMoveAfter = 1200 * time.Millisecond
)

// GroupProgress holds when data last arrived from a group with answers due, and from any
// other group of the same service.
type GroupProgress struct {
	Group, Others time.Time
}

// Evaluate detects a silence that the other groups do not share. avoid reports that the
// group should get no new requests, move that its answers should continue elsewhere.
//
// It is for a group that is stalled completely, as all ranks are when one of them is
// lost or a hold is never released: nothing fails, and its callers wait until they leave
// while other groups could serve them.
func (p GroupProgress) Evaluate(now time.Time) (avoid, move bool) {
	if now.Sub(p.Others) > poolActivityWindow {
		return false, false
	}
	silent := now.Sub(p.Group)
	return silent >= groupAvoidAfter, silent >= groupMoveAfter
}
