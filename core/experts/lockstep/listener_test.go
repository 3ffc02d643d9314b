package lockstep

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/experts/engine"
)

func inGroup(name string, epoch int64) engine.GroupID {
	return engine.GroupID{Name: name, Epoch: epoch}
}

// seated returns the listener of rank 2 of the third life of group g, which has heard a
// steward with term 20.
func seated() *Listener {
	l := &Listener{}
	l.Sit(Seat{Group: inGroup("g", 3), Rank: 2, Born: 700})
	l.Hear(Word{Group: inGroup("g", 3), Term: 20, From: "b"})
	return l
}

func TestWhoIsHeeded(t *testing.T) {
	for _, tt := range []struct {
		name string
		word Word
		want Refusal
	}{
		{"the steward", Word{Group: inGroup("g", 3), Term: 20, From: "b"}, Heeded},
		{"a newer one", Word{Group: inGroup("g", 3), Term: 21, From: "a"}, Heeded},
		{"one that was paused", Word{Group: inGroup("g", 3), Term: 19, From: "z"}, NewerSteward},
		{"another one with the same term, by its name", Word{Group: inGroup("g", 3), Term: 20, From: "a"}, NewerSteward},
		{"that of another group, though newer", Word{Group: inGroup("h", 3), Term: 90, From: "z"}, OtherGroup},
		{"one that has not heard that the group was formed anew", Word{Group: inGroup("g", 2), Term: 90, From: "z"}, OlderEpoch},
		{"one that has heard it before this agent", Word{Group: inGroup("g", 4), Term: 20, From: "b"}, Heeded},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := seated()
			before := l.Heard()
			is.Equal(l.Hear(tt.word), tt.want)
			if tt.want != Heeded {
				is.Equal(l.Heard(), before)
			}
		})
	}
	is.New(t).Equal((&Listener{}).Hear(Word{Term: 1}), NoSeat)
}

// A server starts again under its ID, or its rank joins another group. The agent beside
// it still knows a steward with a high term, maps and counts. If it kept them, it would
// refuse the steward of its new group, or prepare maps that nobody else has.
func TestAnotherSeatVoidsWhatWasBelieved(t *testing.T) {
	for _, tt := range []struct {
		name string
		seat Seat
		want bool
	}{
		{"the same", Seat{Group: inGroup("g", 3), Rank: 2, Born: 700}, false},
		{"the group formed anew", Seat{Group: inGroup("g", 4), Rank: 2, Born: 700}, false},
		{"another group", Seat{Group: inGroup("h", 3), Rank: 2, Born: 700}, true},
		{"another rank", Seat{Group: inGroup("g", 3), Rank: 1, Born: 700}, true},
		{"started again", Seat{Group: inGroup("g", 4), Rank: 2, Born: 900}, true},
		{"a group that counts its epochs from the start", Seat{Group: inGroup("g", 1), Rank: 2, Born: 700}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := seated()
			is.Equal(l.Sit(tt.seat), tt.want)
			is.Equal(l.Seat(), tt.seat)
			is.Equal(l.Heard().Term == 0, tt.want)
		})
	}
}
