package health

import "time"

const (
	// answerStall is how long an answer that has begun may be silent while others
	// go on. Engines make an event with each pass, some tens to two hundred
	// milliseconds; a request whose memory was taken for others begins again
	// within half a second. Callers leave after two seconds, and the answer has
	// to go on elsewhere before.
	answerStall = time.Second
	// targetStall is how long a target may say nothing at all, with answers due,
	// while others go on: dueStall if one of them had begun, so that something is
	// due with each pass.
	targetStall = 700 * time.Millisecond
	dueStall    = 500 * time.Millisecond
	// avoidAfter is after how long such a target gets no new requests. To avoid
	// one in vain costs nothing; a request that it takes is run when it wakes,
	// whether its caller still waits or not.
	avoidAfter = 300 * time.Millisecond
	// poolAlive is how recently another target must have sent something. If all
	// are silent, the engines stand still together, and no other would help.
	poolAlive = 300 * time.Millisecond
)

// Progress is when something last came of one answer, of the target that makes
// it, and of all targets that could.
type Progress struct {
	// Begun says that a piece of the answer has come, Due that this is so of any
	// answer in progress at the target.
	Begun, Due bool
	// Answer is when its last piece came, or else when it was asked for.
	Answer time.Time
	// Target and Pool are when a piece of any answer came from there last.
	Target, Pool time.Time
}

// Silence is what follows from a lack of progress.
type Silence struct {
	// Avoid says that the target should get no new requests.
	Avoid bool
	// Move says that the answer had better go on at another target.
	Move bool
	// TargetStalled says that nothing comes from the target, not only of this answer.
	TargetStalled bool
}

// Evaluate tells a silence that other targets don't share.
//
// It is for instances that stand still and for connections that go silent:
// neither ends a connection, requests sent there wait until their callers leave,
// and nothing counts as a failure of the target. An answer that has not begun
// may rightly wait in the queue of a target that works.
func (p Progress) Evaluate(now time.Time) Silence {
	if now.Sub(p.Pool) > poolAlive {
		return Silence{}
	}
	limit := targetStall
	if p.Due {
		limit = dueStall
	}
	answer, target := now.Sub(p.Answer), now.Sub(p.Target)
	whole := answer >= limit && target >= limit
	return Silence{
		Avoid:         p.Due && target >= avoidAfter,
		Move:          whole || p.Begun && answer >= answerStall,
		TargetStalled: whole,
	}
}

const (
	// groupAvoidAfter is how long a whole group may say nothing, with answers due, while
	// other groups of its service go on, before it gets no new requests. A change of its
	// expert map may hold it for some tenths of a second, and a pass takes up to two.
	groupAvoidAfter = 500 * time.Millisecond
	// groupMoveAfter is after how long its answers had better go on in other groups:
	// callers leave after two seconds, and the prompt has to be read again first. A lost
	// rank stops its group for 1.5 s before its answers are cut off.
	groupMoveAfter = 1200 * time.Millisecond
)

// GroupProgress is when something last came of a group with answers due, and of any
// other group of the same service.
type GroupProgress struct {
	Group, Others time.Time
}

// Evaluate tells a silence that the other groups don't share. Avoid says that the group
// should get no new requests, move that its answers had better go on elsewhere.
//
// It is for a group that stands still as a whole, as all ranks do when one of them is
// lost or a hold is left behind: nothing fails, and its callers wait until they leave
// while other groups could serve them.
func (p GroupProgress) Evaluate(now time.Time) (avoid, move bool) {
	if now.Sub(p.Others) > poolAlive {
		return false, false
	}
	silent := now.Sub(p.Group)
	return silent >= groupAvoidAfter, silent >= groupMoveAfter
}
