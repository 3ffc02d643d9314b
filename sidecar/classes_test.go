package main

import (
	"fmt"
	"testing"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/request/allotment"
)

// pollWith polls an agent as a gateway that reports its requests.
func (s *side) pollWith(agent int, gateway, group string, c *rankpeer.Classes) *rankpeer.Digest {
	a := lockstep.Announcement{}
	a.Group.Name = group
	return s.agents[agent].handleRequest(rankpeer.Request{Digest: true, Gateway: gateway, Classes: c, Word: a}).Digest
}

// roundWithDigests makes a round and sends its digest to the relays.
func (s *side) roundWithDigests() {
	s.query()
	st := s.coordinator
	st.setDigest(st.buildDigest(st.ranksInOrder()))
	st.digestsSentAt = time.Time{}
	st.sendDigests(s.t.Context(), time.Now())
}

// Guards against gateways whose requests are unknown to those that poll another relay.
func TestSumsReachAllGateways(t *testing.T) {
	s := newSide(t, sideRanks)
	s.roundWithDigests()
	_, i := s.relayIndex()
	for n := range 16 {
		c := &rankpeer.Classes{Waiting: []uint32{uint32(n), 0, 2}, Running: []uint32{1}}
		s.pollWith([]int{0, i}[n%2], fmt.Sprint("front-", n), groupG.Name, c)
	}
	s.pollWith(0, "front-of-the-version-before", groupG.Name, nil)
	s.pollWith(0, "front-of-another-group", "other", &rankpeer.Classes{Waiting: []uint32{900}})
	// Each reports anew; only the last report counts.
	s.pollWith(i, "front-1", groupG.Name, &rankpeer.Classes{Waiting: []uint32{101, 0, 2}, Running: []uint32{1}})
	s.roundWithDigests()
	want := allotment.Demand{Waiting: allotment.Counts{220, 0, 32}, Running: allotment.Counts{16}, Entries: 16}
	for _, agent := range []int{0, i} {
		d := s.pollWith(agent, "front-0", groupG.Name, &rankpeer.Classes{Waiting: []uint32{0, 0, 2}, Running: []uint32{1}})
		s.True(d.Classes != nil)
		s.Equal(d.Classes.Demand(), want)
		s.Equal(d.Classes.Gateways, 16)
		s.True(d.Classes.Age >= 0 && d.Classes.Age <= classesMaxAge)
	}
}

// Guards against messages that differ where no gateway reports classes.
func TestNoSumsWithoutReports(t *testing.T) {
	s := newSide(t, sideRanks)
	s.roundWithDigests()
	_, i := s.relayIndex()
	s.pollWith(i, "front-0", groupG.Name, nil)
	s.roundWithDigests()
	s.Equal(s.pollWith(i, "front-0", groupG.Name, nil).Classes, nil)
	s.Equal(s.agents[i].gateways.classes(groupG.Name, time.Now()), nil)
}

// Guards against the requests of a gateway that is gone, and against a false report that hides or
// overflows those of the others.
func TestReportsOfGateways(t *testing.T) {
	s := newSide(t, 2)
	now := time.Now()
	report := func(gateway string, at time.Time, waiting ...uint32) {
		r := rankpeer.Request{Gateway: gateway, Classes: &rankpeer.Classes{Waiting: waiting}}
		r.Word.Group.Name = "g"
		s.agents[0].gateways.record(&r, at)
	}
	sums := func(at time.Time) allotment.Counts {
		c := s.agents[0].gateways.classes("g", at)
		if c == nil {
			return allotment.Counts{}
		}
		return c.Demand().Waiting
	}
	report("front-1", now, 4)
	report("front-2", now.Add(600*time.Millisecond), 0, 7)
	s.Equal(sums(now.Add(700*time.Millisecond)), allotment.Counts{4, 7})
	s.Equal(sums(now.Add(1100*time.Millisecond)), allotment.Counts{0, 7})
	s.Equal(sums(now.Add(1700*time.Millisecond)), allotment.Counts{})
	at := now.Add(2 * time.Second)
	report("front-1", at, 1<<32-1)
	report("front-2", at, 1<<32-1, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5)
	s.Equal(sums(at), allotment.Counts{1 << 17, 3, 0, 0, 0, 0, 0, 5})
	// It has restarted, and its last report was of before.
	report("front-2", at, 2)
	s.Equal(sums(at), allotment.Counts{1<<16 + 2})
	for n := range 2 * maxGateways {
		report(fmt.Sprint("other-", n), at, 1)
	}
	s.Equal(sums(at), allotment.Counts{1<<16 + 2 + maxGateways - 2})
}

// BenchmarkSumsOfGateways measures the sums over 390 gateways in four classes.
func BenchmarkSumsOfGateways(b *testing.B) {
	var g gateways
	now := time.Now()
	for n := range 390 {
		r := rankpeer.Request{Gateway: fmt.Sprint("front-", n), Classes: &rankpeer.Classes{Waiting: []uint32{1, 2, 3, 4}, Running: []uint32{5, 6, 7, 8}}}
		g.record(&r, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = g.classes("", now)
	}
}
