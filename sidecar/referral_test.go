package main

import (
	"testing"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// Guards against gateways that find no relay: an agent that is none names the one that queries it, and
// nobody when it has not been queried for a while.
func TestAgentsReferGatewaysToTheirRelay(t *testing.T) {
	s := newSide(t, sideRanks)
	s.query()
	s.query() // the relays are connected now
	relay := -1
	for i, a := range s.agents {
		if a.referral(time.Now()) != "" {
			relay = i
			break
		}
	}
	s.True(relay >= 0)
	a := s.agents[relay]
	req := rankpeer.Request{Digest: true, Gateway: "front-1", Word: lockstep.Announcement{Group: groupG}}
	resp := a.handleRequest(req)
	s.True(resp.Digest == nil)
	named := false
	for _, b := range s.coordinator.branches {
		named = named || b.link.addr.String() == resp.Referral
	}
	s.True(named)
	s.Equal(a.referral(time.Now().Add(2*referralValid)), "")
}
