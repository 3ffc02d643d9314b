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

// exchangeQuota reports the usage of workspaces to their home and returns its
// response.
func (e *Entry) exchangeQuota(ctx context.Context, home string, digest []byte) ([]byte, error) {
	t, ok := e.follower.Index().Target(home)
	if !ok {
		return nil, errors.Errorf("home %s is no longer in the configuration", home)
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

// countPeriod is the interval at which the number of entries is estimated.
const countPeriod = 5 * time.Second

// countEntries tracks the number of entries. From it the limiter derives what
// this entry may admit while it can't reach a workspace's home, and the router
// which targets are in this entry's subset.
func (e *Entry) countEntries(ctx context.Context) {
	tick := time.NewTicker(countPeriod)
	defer tick.Stop()
	last := 0
	for {
		if agents := e.agentSet.Load(); agents != nil {
			n := e.fleet.estimate(len(*agents))
			if n != last {
				last = n
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

// listBytesPerSecond limits the mean rate at which the platform's list is read.
const listBytesPerSecond = 1024

// instanceBytes is the typical size of one line of the list.
const instanceBytes = 90

// followInstances polls the platform's list and notifies the agents whose
// instance is leaving. The agent is the authority on its draining: it refuses
// new work at once, and its own state spreads by heartbeat. In a large fleet each
// entry may therefore read the long list seldom, since it suffices that one entry
// notices.
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
			e.applyInstances(ctx, list)
		}
		wait := max(e.cfg.InstancesPoll, time.Duration(len(list))*instanceBytes*time.Second/listBytesPerSecond)
		select {
		case <-time.After(wait*9/10 + rand.N(wait/5+1)):
		case <-ctx.Done():
		}
	}
}

// applyInstances stops new work for targets whose instance is leaving, and
// notifies their agents.
func (e *Entry) applyInstances(ctx context.Context, list []instances.Instance) {
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
		if t, ok := x.Target(in.Name); ok && !e.fleet.draining(t.Name) {
			go e.notifyLeaving(ctx, t)
		}
	}
	e.members.SetLeaving(leaving)
}

// notifyLeaving tells an agent that its instance is leaving.
func (e *Entry) notifyLeaving(ctx context.Context, t *config.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.ExchangeRequest{Leaving: true}
	e.describe(req)
	resp, err := e.dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		e.log.Info("agent of a leaving instance does not answer", "target", t.Name, "error", err)
		return
	}
	e.fleet.record(t.Name, resp.Msg)
	e.router.record(t.Name, resp.Msg.Load)
}

// memberPeriod is the interval at which the members' state is applied to routing.
const memberPeriod = 250 * time.Millisecond

// followMembers stops new work for agents that are leaving, draining or dead.
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
