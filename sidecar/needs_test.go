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

// Guards against stewards that are taken for dead while they read a large configuration.
func TestStewardNeedsNoConfiguration(t *testing.T) {
	is := is.New(t)
	engine := deployment.Engine{Sets: 2, Experts: 8, Places: 3}
	a, store := testAgent(t)
	a.boot.Service = "pool"
	s := &steward{agent: a, group: groupG, log: a.log}
	is.NoErr(s.saveLoads(t.Context(), &savedLoads{Group: groupG, Layers: [][]uint16{{1}}, Needs: groupNeeds{engine, 80 * time.Millisecond}}))
	var n needs
	n.learn(groupNeeds{}) // of a roster that was made before anything was known
	is.True(n.load() == nil)
	n.learn(a.recallLoads(t.Context(), groupG).Needs)
	is.Equal(n.load().Engine, engine)
	n.hear(0)
	is.Equal(n.load().Gap, 80*time.Millisecond)
	n.hear(200 * time.Millisecond) // a newer configuration, as gateways tell it
	is.Equal(*n.load(), groupNeeds{engine, 200 * time.Millisecond})
	store.Put(platform.ConfigKey, []byte(`{"version":3,"routes":[],"backends":[{"name":"pool","engine":{"slots":6,"sets":10,"experts":384,"places":3,"spare":3}}],"tenants":[]}`))
	is.NoErr(s.readConfig(t.Context()))
	is.Equal(s.needs.load().Engine.Experts, 384)
}

// Guards against long watches that hide a change of the store.
func TestWordOnTheStoreGoesRound(t *testing.T) {
	s := newSide(t, sideRanks)
	s.ask()
	st := s.steward
	round := func() {
		s.ask()
		st.setDigest(st.digestOf(st.arrange()))
		st.viewsAt = time.Time{}
		st.tellViews(t.Context(), time.Now())
	}
	round()
	_, i := s.numberOfRelay()
	one := rankpeer.Request{Digest: true, Gateway: "front-1", Event: 55, Word: lockstep.Announcement{Group: groupG}}
	other := rankpeer.Request{Digest: true, Gateway: "front-2", Word: lockstep.Announcement{Group: groupG}}
	s.Equal(s.agents[0].answer(other).Digest.Event, int64(0))
	s.agents[i].answer(one)
	round()
	s.Equal(s.agents[0].answer(other).Digest.Event, int64(55))
	now := time.Now()
	s.Equal(s.agents[i].askers.newest(now.Add(eventValid+time.Second)), int64(0))
	// A store that was set up anew counts from the start.
	s.agents[i].askers.ask(&rankpeer.Request{Gateway: "front-1", Event: 7}, now.Add(eventValid+time.Second))
	s.Equal(s.agents[i].askers.newest(now.Add(eventValid+time.Second)), int64(7))
}

// Guards against short watches of all gateways, and of none.
func TestFewGatewaysWatchBriefly(t *testing.T) {
	s := newSide(t, sideRanks)
	s.ask()
	st := s.steward
	st.setDigest(st.digestOf(st.arrange()))
	st.tellViews(t.Context(), time.Now())
	count := func() int {
		n := 0
		for g := range 53 {
			at := s.agents[0]
			for _, a := range s.agents {
				if relays := st.branches; a.addr() == relays[g%len(relays)].link.addr {
					at = a
				}
			}
			if at.answer(rankpeer.Request{Digest: true, Gateway: fmt.Sprintf("front-%02d", g), Word: lockstep.Announcement{Group: groupG}}).ShortWatch {
				n++
			}
		}
		return n
	}
	count() // each relay hears of its gateways
	n := count()
	s.True(n >= 1 && n <= shortWatchers)
}
