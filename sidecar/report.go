package main

import (
	"hash/fnv"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// heldFor measures how long holds stand, from the first look that shows one.
func (s *steward) heldFor(ranks []lockstep.Rank) {
	held := lockstep.Unfinished(ranks)
	switch {
	case held && s.heldSince.IsZero():
		s.heldSince = time.Now()
	case !held && !s.heldSince.IsZero():
		metricHeld.Record(time.Since(s.heldSince).Milliseconds())
		s.heldSince = time.Time{}
	}
}

// offerLoads hands the loads to keepLoads.
func (s *steward) offerLoads() {
	if s.planner.judged() {
		saved := s.planner.save()
		saved.Group = s.group
		if n := s.needs.load(); n != nil {
			saved.Needs = *n
		}
		s.mu.Lock()
		s.toSave = saved
		s.mu.Unlock()
	}
}

// digestOf returns what gateways may know of the group.
func (s *steward) digestOf(ranks []lockstep.Rank) *rankpeer.Digest {
	d := &rankpeer.Digest{
		Group: s.group, Term: s.term, Open: lockstep.Open(ranks),
		Pass: s.core.PassTime(), Skew: float32(s.planner.skew),
	}
	list := fnv.New64a()
	for i := range ranks {
		st := &ranks[i].State
		if !ranks[i].Known {
			continue
		}
		_, _ = list.Write([]byte(s.byRank[i]))
		d.Targets = append(d.Targets, s.byRank[i])
		d.Running = append(d.Running, uint16(st.Running))
		d.Queued = append(d.Queued, uint16(st.Queued))
		d.Pace = append(d.Pace, uint16(st.Pace*rankpeer.PaceUnit))
	}
	d.List = list.Sum64()
	for _, b := range s.branches {
		d.Gateways += b.news.gateways
		d.Event = max(d.Event, b.news.event)
		if !b.single() {
			d.Relays = append(d.Relays, b.link.addr.String())
		}
	}
	return d
}

// reportEvery is how often the state of the group is logged.
const reportEvery = time.Second

// report logs the state of the group for operators.
func (s *steward) report(ranks []lockstep.Rank, now time.Time) {
	if now.Sub(s.reported) < reportEvery {
		return
	}
	s.reported = now
	s.offerLoads()
	metricSkew.Set(s.planner.skew)
	metricPass.Set(s.core.PassTime().Milliseconds())
	known, running, queued, slow := 0, 0, 0, 0.0
	for i := range ranks {
		st := &ranks[i].State
		if ranks[i].Known {
			known++
			running += st.Running
			queued += st.Queued
			slow = max(slow, st.Pace)
		}
	}
	metricKnown.Set(int64(known))
	s.log.Info("group state", "epoch", s.group.Epoch, "ranks", len(ranks), "known", known, "running", running, "queued", queued,
		"skew", s.planner.skew, "pass-ms", s.core.PassTime().Milliseconds(), "round-ms", s.roundTook.Milliseconds(), "slowest-pace", slow, "idle", s.core.Idle(ranks), "placed", s.planner.placed)
}
