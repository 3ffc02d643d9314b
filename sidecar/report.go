package main

import (
	"hash/fnv"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// measureHold records how long holds last, from the first round that shows one.
func (co *coordinator) measureHold(ranks []lockstep.Rank) {
	held := lockstep.Unfinished(ranks)
	switch {
	case held && co.heldSince.IsZero():
		co.heldSince = time.Now()
	case !held && !co.heldSince.IsZero():
		metricHeld.Record(time.Since(co.heldSince).Milliseconds())
		co.heldSince = time.Time{}
	}
}

// queueLoads passes the loads to saveLoadsPeriodically.
func (co *coordinator) queueLoads() {
	if co.planner.enoughCounts() {
		saved := co.planner.save()
		saved.Group = co.group
		if n := co.needs.load(); n != nil {
			saved.Needs = *n
		}
		co.mu.Lock()
		co.toSave = saved
		co.mu.Unlock()
	}
}

// buildDigest returns the digest of the group for gateways.
func (co *coordinator) buildDigest(ranks []lockstep.Rank) *rankpeer.Digest {
	d := &rankpeer.Digest{
		Group: co.group, Term: co.term, Open: lockstep.Open(ranks),
		Pass: co.core.PassTime(), Skew: float32(co.planner.skew),
	}
	if co.targets != nil {
		// Its watch may be told of what all gateways have missed.
		d.Event = co.targets.LastEventRevision()
	}
	list := fnv.New64a()
	for i := range ranks {
		st := &ranks[i].State
		if !ranks[i].Known {
			continue
		}
		_, _ = list.Write([]byte(co.byRank[i]))
		d.Targets = append(d.Targets, co.byRank[i])
		d.Running = append(d.Running, uint16(st.Running))
		d.Queued = append(d.Queued, uint16(st.Queued))
		d.Pace = append(d.Pace, uint16(st.Pace*rankpeer.PaceUnit))
	}
	d.List = list.Sum64()
	var candidates []rankpeer.Feed
	var classes []rankpeer.ClassSums
	for _, b := range co.branches {
		candidates = append(candidates, b.report.feeds...)
		if c := b.report.classes; c != nil {
			classes = append(classes, *c)
		}
		d.Gateways += b.report.gateways
		d.Event = max(d.Event, b.report.event)
		if !b.single() {
			d.Relays = append(d.Relays, b.link.addr.String())
		}
	}
	d.Classes = rankpeer.SumClasses(classes)
	d.Feeds = rankpeer.ChooseFeeds(candidates, d.Gateways)
	d.FeedList = rankpeer.FeedList(d.Feeds)
	return d
}

// reportInterval is how often the state of the group is logged.
const reportInterval = time.Second

// report logs the state of the group for operators.
func (co *coordinator) report(ranks []lockstep.Rank, now time.Time) {
	if now.Sub(co.reported) < reportInterval {
		return
	}
	co.reported = now
	co.queueLoads()
	metricSkew.Set(co.planner.skew)
	metricPass.Set(co.core.PassTime().Milliseconds())
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
	co.log.Info("group state", "epoch", co.group.Epoch, "ranks", len(ranks), "known", known, "running", running, "queued", queued,
		"skew", co.planner.skew, "pass-ms", co.core.PassTime().Milliseconds(), "round-ms", co.roundTook.Milliseconds(), "slowest-pace", slow, "idle", co.core.Idle(ranks), "placed", co.planner.placed)
}
