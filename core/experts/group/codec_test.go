package group

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestCodecKeepsMessages(t *testing.T) {
	sw := Switch{Number: num(3, 8), Epoch: num(2, 4), Version: 1<<63 + 1, Step: 77}
	for _, m := range []Message{
		Probe{Fence: 3, Known: num(2, 4)},
		Report{Sequence: 1<<32 + 1, Fence: 3, Health: Held, Rank: formedRank().State, StepTime: 5},
		Prepare{Number: num(3, 4), Version: 9},
		Arm{Switch: sw},
		VoteResponse{Number: sw.Number, Vote: Refused},
		Outcome{Number: sw.Number, Epoch: sw.Epoch, Commit: true},
		Form{Number: num(3, 12), Members: []string{"a", "b"}, Version: 9, Step: 5, Incarnation: 2},
		Handover{Fence: 3},
	} {
		is := is.New(t)
		kind, data, err := Encode(m)
		is.NoErr(err)
		back, err := Decode(kind, data)
		is.NoErr(err)
		is.Equal(back, m)
		_, err = Decode(kind, data[:1])
		is.True(err != nil)
	}
	var unknown *KindError
	_, err := Decode("group-later", nil)
	is.New(t).True(errors.As(err, &unknown))
}
