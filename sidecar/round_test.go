package main

import (
	"expvar"
	"fmt"
	"strconv"
	"testing"
)

// bytesOf returns the bytes of one kind that were counted so far.
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

// roundBytes is what one round of a calm group takes, in bytes.
type roundBytes struct {
	branches int
	// asked and told are those of the steward's link, relayAsked and relayTold those of a
	// relay's.
	asked, told, relayAsked, relayTold float64
}

// calmRound makes rounds in a group of n ranks and returns what one of them takes once
// everybody has the lists and the roster.
func calmRoundOf(t testing.TB, s *side) roundBytes {
	const rounds = 5
	for range 40 {
		s.ask()
	}
	kinds := []string{"branch-asked", "branch-told", "rank-asked", "rank-told"}
	before := map[string]float64{}
	for _, k := range kinds {
		before[k] = bytesOf(t, k)
	}
	for range rounds {
		s.ask()
	}
	per := func(k string) float64 { return (bytesOf(t, k) - before[k]) / rounds }
	n := len(s.steward.branches)
	return roundBytes{n, per(kinds[0]), per(kinds[1]), per(kinds[2]) / float64(n), per(kinds[3]) / float64(n)}
}

// A group grows from 72 to 192 ranks. What one link carries in a round must grow with the
// square root of that, but for the ranks' own states of some twenty bytes each: 750 KB a
// second are all that the narrow links have.
func TestBytesOfARoundAreBounded(t *testing.T) {
	for _, n := range []int{16, 72, 192, 256, 768} {
		t.Run(fmt.Sprint(n, " ranks"), func(t *testing.T) {
			s := newSide(t, n)
			r := calmRoundOf(t, s)
			t.Logf("%d branches; steward: asks %.0f B, tells %.0f B; relay: asks %.0f B, tells %.0f B", r.branches, r.asked, r.told, r.relayAsked, r.relayTold)
			const (
				state  = 40  // bytes a rank, of which 24 are the state
				branch = 400 // bytes a branch that do not depend on its ranks
				member = 700 // bytes a member of a branch, asked by its relay
			)
			s.True(r.asked <= float64(branch*r.branches+8*n))
			s.True(r.told <= float64(branch*r.branches+state*n))
			width := float64(n) / float64(r.branches)
			s.True(r.relayAsked+r.relayTold <= member*width)
		})
	}
}
