package main

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
)

// A home dies and is removed from the configuration. One executor refused the
// first attempt of a booking, another runs the second. The key's new home must
// find the attempt that holds the key, in whatever order the executors answer:
// otherwise the booking would be made a second time.
func TestHoldingAttemptWins(t *testing.T) {
	is := is.New(t)
	key := booking.KeyOf("harbor-home", "k")
	answer := func(attempt uint64, state booking.RunState) *wire.SealResponse {
		body := booking.Digest{}
		return &wire.SealResponse{Incarnation: 9, Keys: []*wire.SealedKey{{
			Key: key[:], BodyDigest: body[:], RequestId: "r", Attempt: attempt, State: uint32(state),
		}}}
	}
	for _, order := range [][]string{{"a", "b"}, {"b", "a"}} {
		records := make(map[booking.Key]booking.TransferAnswer)
		for _, name := range order {
			m := answer(1, booking.Sealed)
			if name == "b" {
				m = answer(2, booking.Running)
			}
			mergeSealed(records, name, m)
		}
		is.Equal(records[key].Executor, "b")
		is.Equal(records[key].Attempt, uint64(2))
	}
}
