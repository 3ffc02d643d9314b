package main

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
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
	from.next(true, "", "steward-1", func(int) string { return "steward-1" })
	is.Equal(from.addr, "steward-1") // a small group has no relays
	from.relays = []string{"relay-1", "relay-2", "relay-3"}
	from.next(true, "", "steward-1", func(int) string { return "steward-1" })
	relay := from.addr
	is.True(slices.Contains(from.relays, relay))
	from.next(true, "", "steward-2", func(int) string { return "steward-2" })
	is.Equal(from.addr, relay) // it answers, whoever the coordinator is
	for range relayTries - 1 {
		from.next(false, "", "steward-2", func(int) string { return "steward-2" })
		is.True(slices.Contains(from.relays, from.addr))
	}
	from.next(true, "", "steward-2", func(int) string { return "steward-2" })
	is.True(slices.Contains(from.relays, from.addr)) // the next coordinator's digest has arrived
	for range relayTries {
		from.next(false, "", "steward-2", func(int) string { return "steward-2" })
	}
	is.Equal(from.addr, "steward-2")
	from.client.Close()
}

// Guards against saturating the link of a coordinator with the requests of all gateways when these, or
// all processes, have just started: they ask any agent of the group, which names its relay.
func TestGatewaysFindARelayWithoutTheCoordinator(t *testing.T) {
	is := is.New(t)
	d := newDigests("front-1", slog.New(slog.DiscardHandler), nil)
	v := &mirror.Snapshot{Config: &deployment.Config{}, Targets: map[string]deployment.Target{}, Coordinators: map[string]rankpeer.Claim{}}
	add := func(group string, ranks int) {
		v.Coordinators[group] = rankpeer.Claim{Group: group, Addr: "10.0.0.1:7000"}
		for i := range ranks {
			id := fmt.Sprintf("%s-%d", group, i)
			v.Targets[id] = deployment.Target{ID: id, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:80", i)), Group: engine.GroupID{Name: group}}
		}
	}
	add("small", 16)
	add("large", 192)
	d.members, d.coordinators = agentsOf(v), map[string]string{"small": "10.0.0.1:7000", "large": "10.0.0.1:7000"}
	is.Equal(d.start("small", 0), "10.0.0.1:7000")
	is.Equal(d.start("large", relayTries), "10.0.0.1:7000")
	seen := map[string]bool{}
	for range 100 {
		addr := d.start("large", 0)
		is.True(addr != "10.0.0.1:7000")
		seen[addr] = true
	}
	is.True(len(seen) > 50)
	var from source
	start := func(failures int) string { return d.start("large", failures) }
	from.dial(start(0))
	from.next(false, "10.0.1.7:7000", "10.0.0.1:7000", start)
	is.Equal(from.addr, "10.0.1.7:7000")
	from.client.Close()
}
