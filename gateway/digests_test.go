package main

import (
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/rankpeer"
)

// Guards against placing requests by the loads of an earlier epoch or of another group.
func TestDigestsOfAnEarlierEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDigests("front-1", slog.New(slog.DiscardHandler), nil)
		digest := func(group string, epoch, term int64) *rankpeer.Digest {
			return &rankpeer.Digest{Group: engine.GroupID{Name: group, Epoch: epoch}, Term: term}
		}
		is.True(d.isCurrent("g", digest("g", 2, 30)))
		is.True(!d.isCurrent("g", digest("h", 9, 90)))
		is.True(!d.isCurrent("g", digest("g", 2, 29)))
		is.True(!d.isCurrent("g", digest("g", 1, 90)))
		is.True(d.isCurrent("g", digest("g", 2, 31)))
		is.True(d.isCurrent("g", digest("g", 3, 20)))
		is.True(d.isCurrent("h", digest("h", 1, 1)))
		time.Sleep(digestVersionValid)
		// The group was recreated, and its epochs start again.
		is.True(d.isCurrent("g", digest("g", 0, 40)))
	})
}

// Guards against saturating the link of a new coordinator with the requests of all gateways.
func TestGatewaysStayWithRelays(t *testing.T) {
	is := is.New(t)
	var from source
	from.dial("steward-1")
	from.next(true, "steward-1")
	is.Equal(from.addr, "steward-1") // a small group has no relays
	from.relays = []string{"relay-1", "relay-2", "relay-3"}
	from.next(true, "steward-1")
	relay := from.addr
	is.True(slices.Contains(from.relays, relay))
	from.next(true, "steward-2")
	is.Equal(from.addr, relay) // it answers, whoever the coordinator is
	for range relayTries - 1 {
		from.next(false, "steward-2")
		is.True(slices.Contains(from.relays, from.addr))
	}
	from.next(true, "steward-2")
	is.True(slices.Contains(from.relays, from.addr)) // the next coordinator's digest has arrived
	for range relayTries {
		from.next(false, "steward-2")
	}
	is.Equal(from.addr, "steward-2")
	from.client.Close()
}
