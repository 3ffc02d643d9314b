package main

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/membership/instances"
	"verbenashift/core/peer/wire"
)

// exchangeQuota reports what the workspaces used to their home.
func (e *Entry) exchangeQuota(ctx context.Context, home string, digest []byte) ([]byte, error) {
	t, ok := e.follower.Index().Target(home)
	if !ok {
		return nil, errors.Errorf("home %s left the configuration", home)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := e.dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		From: e.cfg.Name, Revision: e.follower.Revision(), Quota: digest,
	}))
	if err != nil {
		return nil, errors.Wrap(err, "report quota")
	}
	return resp.Msg.Quota, nil
}

// countPeriod is the time between two counts of the entries.
const countPeriod = 5 * time.Second

// countEntries learns how many entries there are. The limiter sets by it what
// this entry may admit while it is cut off from a workspace's home, the router
// which targets are in its subset.
func (e *Entry) countEntries(ctx context.Context) {
	tick := time.NewTicker(countPeriod)
	defer tick.Stop()
	told := 0
	for {
		if agents := e.agentSet.Load(); agents != nil {
			n := e.fleet.estimate(len(*agents))
			if n != told {
				told = n
				e.limiter.setFleet(n, *agents)
				e.router.setEntries(int(xxhash.Sum64String(e.cfg.Name)%uint64(n)), n)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// listBytesPerSecond bounds what the reading of the platform's list may cost.
const listBytesPerSecond = 1024

// instanceBytes is the usual size of one line of the list.
const instanceBytes = 90

// followInstances reads the platform's list and tells the agents whose
// instance is leaving. The agent is the authority on its draining: it refuses
// new work at once and its own word spreads, so that in a large fleet each
// entry may read the long list seldom, and the first that does suffices.
func (e *Entry) followInstances(ctx context.Context) {
	if e.cfg.Instances == "" {
		return
	}
	client := instances.New(instances.Config{Address: e.cfg.Instances})
	for ctx.Err() == nil {
		list, err := client.List(ctx)
		if err != nil {
			e.log.Warn("instance list unavailable", "error", err)
		} else {
			e.takeList(ctx, list)
		}
		wait := max(e.cfg.InstancesPoll, time.Duration(len(list))*instanceBytes*time.Second/listBytesPerSecond)
		select {
		case <-time.After(wait*9/10 + rand.N(wait/5+1)):
		case <-ctx.Done():
		}
	}
}

// takeList keeps new work away from targets whose instance is leaving, and
// tells their agents.
func (e *Entry) takeList(ctx context.Context, list []instances.Instance) {
	x := e.follower.Index()
	leaving := make(map[string]bool)
	for _, in := range list {
		if in.State != instances.Leaving {
			continue
		}
		leaving[in.Name] = true
		if x == nil {
			continue
		}
		if t, ok := x.Target(in.Name); ok && !e.fleet.drains(t.Name) {
			go e.tellLeaving(ctx, t)
		}
	}
	e.members.SetLeaving(leaving)
}

func (e *Entry) tellLeaving(ctx context.Context, t *config.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.ExchangeRequest{Leaving: true}
	e.describe(req)
	resp, err := e.dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		e.log.Info("agent of a leaving instance does not answer", "target", t.Name, "error", err)
		return
	}
	e.fleet.heard(t.Name, resp.Msg)
	e.router.heard(t.Name, resp.Msg.Load)
}

// memberPeriod is the time between looks at the members.
const memberPeriod = 250 * time.Millisecond

// followMembers keeps new work away from agents that leave, drain or are gone.
func (e *Entry) followMembers(ctx context.Context) {
	tick := time.NewTicker(memberPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.router.setLeaving(e.members.Ineligible())
		case <-ctx.Done():
			return
		}
	}
}
