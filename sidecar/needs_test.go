package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/platform"
)

// Guards against coordinators that are taken for dead while they read a large configuration.
func TestCoordinatorNeedsNoConfiguration(t *testing.T) {
	is := is.New(t)
	engine := deployment.Engine{Sets: 2, Experts: 8, Places: 3}
	a, store := testAgent(t)
	a.boot.Service = "pool"
	s := &coordinator{agent: a, group: groupG, log: a.log}
	is.NoErr(s.saveLoads(t.Context(), &savedLoads{Group: groupG, Layers: [][]uint16{{1}}, Needs: groupNeeds{engine, 80 * time.Millisecond}}))
	var n needs
	n.set(groupNeeds{}) // from a roster that was made before anything was known
	is.True(n.load() == nil)
	saved, ok := a.readLoads(t.Context(), groupG)
	is.True(ok)
	n.set(saved.Needs)
	is.Equal(n.load().Engine, engine)
	n.updateGap(0)
	is.Equal(n.load().Gap, 80*time.Millisecond)
	n.updateGap(200 * time.Millisecond) // a newer configuration, as gateways report it
	is.Equal(*n.load(), groupNeeds{engine, 200 * time.Millisecond})
	store.Put(platform.ConfigKey, []byte(`{"version":3,"routes":[],"backends":[{"name":"pool","engine":{"slots":6,"sets":10,"experts":384,"places":3,"spare":3}}],"tenants":[]}`))
	is.NoErr(s.readConfig(t.Context()))
	is.Equal(s.needs.load().Engine.Experts, 384)
}

// Guards against long watches that hide a change of the store.
func TestStoreEventsReachAllGateways(t *testing.T) {
	s := newSide(t, sideRanks)
	s.query()
	st := s.coordinator
	round := func() {
		s.query()
		st.setDigest(st.buildDigest(st.ranksInOrder()))
		st.digestsSentAt = time.Time{}
		st.sendDigests(t.Context(), time.Now())
	}
	round()
	_, i := s.relayIndex()
	one := rankpeer.Request{Digest: true, Gateway: "front-1", Event: 55, Word: lockstep.Announcement{Group: groupG}}
	other := rankpeer.Request{Digest: true, Gateway: "front-2", Word: lockstep.Announcement{Group: groupG}}
	s.Equal(s.agents[0].handleRequest(other).Digest.Event, int64(0))
	s.agents[i].handleRequest(one)
	round()
	s.Equal(s.agents[0].handleRequest(other).Digest.Event, int64(55))
	now := time.Now()
	s.Equal(s.agents[i].gateways.newestEvent(now.Add(eventMaxAge+time.Second)), int64(0))
	// A store that was reinstalled counts from the start.
	s.agents[i].gateways.record(&rankpeer.Request{Gateway: "front-1", Event: 7}, now.Add(eventMaxAge+time.Second))
	s.Equal(s.agents[i].gateways.newestEvent(now.Add(eventMaxAge+time.Second)), int64(7))
}

// Guards against short watches of all gateways, and of none.
func TestFewGatewaysKeepShortWatches(t *testing.T) {
	s := newSide(t, sideRanks)
	s.query()
	st := s.coordinator
	st.setDigest(st.buildDigest(st.ranksInOrder()))
	st.sendDigests(t.Context(), time.Now())
	count := func() int {
		n := 0
		for g := range 53 {
			at := s.agents[0]
			for _, a := range s.agents {
				if relays := st.branches; a.addr() == relays[g%len(relays)].link.addr {
					at = a
				}
			}
			if at.handleRequest(rankpeer.Request{Digest: true, Gateway: fmt.Sprintf("front-%02d", g), Word: lockstep.Announcement{Group: groupG}}).ShortWatch {
				n++
			}
		}
		return n
	}
	count() // each relay is polled by its gateways
	n := count()
	s.True(n >= 1 && n <= shortWatchers)
}
