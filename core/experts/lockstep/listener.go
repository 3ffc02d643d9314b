package lockstep

import (
	"verbenashift/core/experts/engine"
)

// Seat is the place of a rank in an expert group, in one life of its server.
type Seat struct {
	Group engine.GroupID
	Rank  int
	// Born is when the server started; 0 if it does not say.
	Born int64
}

// SeatOf returns the seat that a rank tells.
func SeatOf(st *engine.State) Seat {
	return Seat{Group: st.GroupID(), Rank: st.Rank, Born: st.Born}
}

// Same reports whether two seats differ at most in the epoch of the group.
func (s Seat) Same(other Seat) bool {
	return s.Group.Name == other.Group.Name && s.Rank == other.Rank && s.Born == other.Born
}

// Word is what a steward says of itself with each ask.
type Word struct {
	Group engine.GroupID
	// Term is the steward's fencing number, From its instance.
	Term int64
	From string
	// Rank is that beside which the steward runs, Salt what it was made with.
	Rank int
	Salt uint64
}

// Refusal says why an agent has not done what a steward asked.
type Refusal string

// The refusals.
const (
	// Heeded is none.
	Heeded Refusal = ""
	// NoSeat says that the agent's rank has not told yet where it belongs.
	NoSeat Refusal = "no-seat"
	// OtherGroup says that the agent's rank belongs to another group than the one
	// that the word is for.
	OtherGroup Refusal = "other-group"
	// OlderEpoch says that the rank's group has been formed anew since.
	OlderEpoch Refusal = "older-epoch"
	// NewerSteward says that the agent has heard a newer steward.
	NewerSteward Refusal = "newer-steward"
)

// Listener decides whose words the agent beside one rank heeds. The zero value has
// no seat and heeds nobody.
//
// Several groups may serve side by side, whose stewards have terms of one and the
// same counter. Compared across groups, each new term of one group would put the
// stewards of the others out, and an order for the ranks of one would reach those
// of another: ranks check the epoch, which is a small number in all of them, and not
// the group. So a word counts only for a rank of its group, and not after the group
// has been formed anew: ranks hold nothing then of what an earlier word was about.
type Listener struct {
	seat  Seat
	heard Word
}

// Seat returns the seat as it is known.
func (l *Listener) Seat() Seat { return l.seat }

// Heard returns the newest word that was heeded; its From is empty before any.
func (l *Listener) Heard() Word { return l.heard }

// Sit takes what the rank says of its seat, in the order in which it was asked. It
// reports whether this is another seat than before, or another life of the server or
// the group: then all that was believed is void. A group whose epochs count from the
// start again is another one under the same name.
func (l *Listener) Sit(seat Seat) (anew bool) {
	if l.seat.Same(seat) && !seat.Group.Older(l.seat.Group) {
		l.seat = seat
		return false
	}
	*l = Listener{seat: seat}
	return true
}

// Hear takes a word, or says why it is not heeded. Two stewards may have the same term
// only where both act without the store; the name decides then.
func (l *Listener) Hear(w Word) Refusal {
	switch {
	case l.seat.Group.Name == "":
		return NoSeat
	case w.Group.Name != l.seat.Group.Name:
		return OtherGroup
	case w.Group.Older(l.seat.Group):
		return OlderEpoch
	case w.Term < l.heard.Term || w.Term == l.heard.Term && w.From < l.heard.From:
		return NewerSteward
	}
	l.heard = w
	return Heeded
}
