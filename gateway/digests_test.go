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

// A steward was frozen while another one took over and the group was formed anew. It
// wakes and still answers with the loads of before; another one answers for a group that
// it does not steer. Places chosen by these would be those of ranks that are full, or gone.
func TestDigestsOfAnEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDigests("front-1", slog.New(slog.DiscardHandler), nil)
		digest := func(group string, epoch, term int64) *rankpeer.Digest {
			return &rankpeer.Digest{Group: engine.GroupID{Name: group, Epoch: epoch}, Term: term}
		}
		is.True(d.newest("g", digest("g", 2, 30)))
		is.True(!d.newest("g", digest("h", 9, 90)))
		is.True(!d.newest("g", digest("g", 2, 29)))
		is.True(!d.newest("g", digest("g", 1, 90)))
		is.True(d.newest("g", digest("g", 2, 31)))
		is.True(d.newest("g", digest("g", 3, 20)))
		is.True(d.newest("h", digest("h", 1, 1)))
		time.Sleep(lifeValid)
		// The group has been built anew, and counts its epochs from the start.
		is.True(d.newest("g", digest("g", 0, 40)))
	})
}

// The steward of a large group dies. Its 53 gateways have its last view from relays, all of
// which are as old. If they went to the new steward at once, its link would be full while
// it looks for its ranks: they try other relays first, and the steward only if none has
// anything new.
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
	is.Equal(from.addr, relay) // it answers, whoever the steward is
	for range relayTries - 1 {
		from.next(false, "steward-2")
		is.True(slices.Contains(from.relays, from.addr))
	}
	from.next(true, "steward-2")
	is.True(slices.Contains(from.relays, from.addr)) // the next steward's view has come
	for range relayTries {
		from.next(false, "steward-2")
	}
	is.Equal(from.addr, "steward-2")
	from.client.Close()
}
