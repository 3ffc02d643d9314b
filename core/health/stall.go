package health

import "time"

const (
	// answerStall is how long an answer in progress may be silent while others
	// go on. Engines make an event with each pass, some tens to two hundred
	// milliseconds; a request whose memory was taken for others begins again
	// within half a second. Callers leave after two seconds, and the answer has
	// to go on elsewhere before.
	answerStall = time.Second
	// targetStall is how long a target may say nothing at all, with answers due,
	// while others go on.
	targetStall = 700 * time.Millisecond
	// poolAlive is how recently another target must have sent something. If all
	// are silent, the engines stand still together, and no other would help.
	poolAlive = 300 * time.Millisecond
)

// Progress is when something last came of one answer, of the target that makes
// it, and of all targets that could.
type Progress struct {
	// Begun says that a piece of the answer has come.
	Begun bool
	// Answer is when its last piece came, or else when it was asked for.
	Answer time.Time
	// Target and Pool are when a piece of any answer came from there last.
	Target, Pool time.Time
}

// Stalled reports whether an answer has stopped while other targets go on, so
// that it had better go on there, and whether it is the whole target that is
// silent.
//
// It is for instances that stand still and for connections that go silent:
// neither ends a connection, requests sent there wait until their callers leave,
// and nothing counts as a failure of the target. An answer that has not begun
// may rightly wait in the queue of a target that works.
func Stalled(p Progress, now time.Time) (stalled, target bool) {
	if now.Sub(p.Pool) > poolAlive {
		return false, false
	}
	silent := now.Sub(p.Answer)
	target = silent >= targetStall && now.Sub(p.Target) >= targetStall
	return target && silent >= answerStall || p.Begun && silent >= answerStall, target
}
