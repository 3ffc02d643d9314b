package main

import (
	"expvar"
	"fmt"
	"strconv"
	"testing"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// bytesOf returns the bytes of one kind counted so far.
func bytesOf(t testing.TB, key string) float64 {
	m, ok := expvar.Get("peer-bytes-by-kind").(*expvar.Map)
	if !ok {
		t.Fatal("the bytes between agents are not counted")
	}
	v := m.Get(key)
	if v == nil {
		return 0
	}
	n, err := strconv.ParseFloat(v.String(), 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// roundBytes is the traffic of one round of a group without changes, in bytes.
type roundBytes struct {
	branches int
	// asked and told are the requests and responses on the coordinator's link, relayAsked and
	// relayTold those on a relay's.
	asked, told, relayAsked, relayTold float64
	// views are the digests sent to the relays, digest is what one gateway gets.
	views, digest float64
}

// calmRoundOf runs rounds in a group and returns the traffic of one of them once all agents
// have the lists and the roster.
func calmRoundOf(t testing.TB, s *side) roundBytes {
	const rounds = 5
	for range 40 {
		s.query()
	}
	gateway := rankpeer.NewClient(s.agents[0].addr().String())
	defer gateway.Close()
	st := s.coordinator
	d := st.buildDigest(st.ranksInOrder())
	st.setDigest(d)
	poll := func() {
		s.query()
		st.digestsSentAt = time.Time{}
		st.sendDigests(s.t.Context(), time.Now())
		s.NoErr(gateway.Connect(s.t.Context(), time.Second))
		_, err := gateway.Do(rankpeer.Request{Digest: true, List: d.List, Gateway: "front-1", Word: lockstep.Announcement{Group: groupG}}, time.Second)
		s.NoErr(err)
	}
	poll() // the lists are sent
	kinds := []string{"branch-asked", "branch-told", "rank-asked", "rank-told", "view-asked", "digest-told"}
	before := map[string]float64{}
	for _, k := range kinds {
		before[k] = bytesOf(t, k)
	}
	for range rounds {
		poll()
	}
	per := func(k string) float64 { return (bytesOf(t, k) - before[k]) / rounds }
	n := len(s.coordinator.branches)
	return roundBytes{n, per(kinds[0]), per(kinds[1]), per(kinds[2]) / float64(n), per(kinds[3]) / float64(n), per(kinds[4]), per(kinds[5])}
}

// Guards against narrow links of 750 KB a second that a large group overloads. A group may grow
// from 72 to 192 ranks: what one link carries in a round must grow with the square root of that,
// but for the ranks' own states of some twenty bytes each.
func TestBytesOfARoundAreBounded(t *testing.T) {
	for _, n := range []int{16, 72, 192, 256, 768} {
		t.Run(fmt.Sprint(n, " ranks"), func(t *testing.T) {
			s := newSide(t, n)
			r := calmRoundOf(t, s)
			t.Logf("%d branches; steward: asks %.0f B, tells %.0f B; relay: asks %.0f B, tells %.0f B; views %.0f B, digest %.0f B",
				r.branches, r.asked, r.told, r.relayAsked, r.relayTold, r.views, r.digest)
			const (
				state  = 40  // bytes a rank, of which 24 are the state
				branch = 400 // bytes a branch that do not depend on its ranks
				member = 700 // bytes a member of a branch, asked by its relay
			)
			s.True(r.asked <= float64(branch*r.branches+8*n))
			s.True(r.told <= float64(branch*r.branches+state*n))
			width := float64(n) / float64(r.branches)
			s.True(r.relayAsked+r.relayTold <= member*width)
			const load = 4 // bytes a rank in a view
			s.True(r.digest <= float64(load*n+branch+30*r.branches))
			s.True(r.views <= r.digest*float64(r.branches))
		})
	}
}
