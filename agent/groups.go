package main

import (
	"fmt"

	"verbenashift/core/configuration/config"
	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
)

// shapeOf returns the group of a target as configured, or nil if the target is
// in none or the group cannot hold its experts.
func shapeOf(x *config.Index, target string, cfg GroupSettings) *groupShape {
	t, ok := x.Target(target)
	if !ok || t.Group == "" {
		return nil
	}
	c, ok := x.Group(t.Group)
	if !ok {
		return nil
	}
	s := &groupShape{
		name: c.Name, model: c.Model, layers: c.Layers, addresses: make(map[string]string),
		expert: expert.Group{Experts: c.Experts, Slots: c.SlotsPerRank, ExpertBytes: int64(cfg.ExpertBytes), StoreRate: int64(cfg.StoreRate)},
		policy: policyOf(c), confirmed: c.SkewWeight+c.CostWeight > 0,
	}
	if t.HonoursFencing {
		s.habit = lease.HonoursFencing
	}
	for _, m := range x.TargetsOfGroup(c.Name) {
		s.members = append(s.members, m.Name)
		s.addresses[m.Name] = m.Agent
		s.expert.Ranks = append(s.expert.Ranks, expert.Rank{Server: m.Name, Zone: m.Zone})
		if !m.Drained {
			s.candidates = append(s.candidates, m.Name)
		}
	}
	if s.layers < 1 || s.expert.Validate() != nil {
		return nil
	}
	return s
}

// policyOf returns the planner's policy for the weights of the confirmed
// intent: the preset whose measure weighs more.
func policyOf(c *config.Group) expert.Policy {
	if c.CostWeight > c.SkewWeight {
		return expert.Lakeshore()
	}
	return expert.Lightbox()
}

// regroup takes in a configuration: this agent's part in a group begins, goes
// on or ends.
func (a *Agent) regroup(x *config.Index) {
	a.groupMu.Lock()
	defer a.groupMu.Unlock()
	if a.engine == nil {
		return
	}
	s, g := shapeOf(x, a.cfg.Name, a.cfg.Group), a.group.Load()
	if s == nil {
		if t, ok := x.Target(a.cfg.Name); ok && t.Group != "" {
			a.log.Warn("group cannot be formed: its slots do not hold its experts", "group", t.Group)
		}
	}
	if g != nil && s != nil && g.shape.Load().name == s.name && g.habit == s.habit {
		g.reshape(s)
		return
	}
	if g != nil {
		g.stop()
		a.group.Store(nil)
	}
	if s == nil {
		return
	}
	// Each part has its own names: one that came to the lease or the reports of
	// an earlier part of this process would give out that one's numbers again.
	a.groupStarts++
	owner := fmt.Sprintf("%s/%d/%d", a.cfg.Name, a.id.incarnation, a.groupStarts)
	peers := &peerGroup{self: a.cfg.Name, dialer: a.dialer}
	g = newExpertGroup(a.ctx, groupDeps{
		self: a.cfg.Name, incarnation: a.id.incarnation + a.groupStarts, owner: owner, settings: a.cfg.Group,
		log: a.log, metrics: a.groupMetrics, peers: peers, store: newDutyStore(a.store),
		rank: rank.NewClient(a.cfg.Target, rank.Options{OrderToken: a.cfg.OrderToken}),
	}, s)
	peers.shape = g.shape.Load
	a.group.Store(g)
	go g.run()
}
