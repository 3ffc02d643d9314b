package main

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/core/config"
	"verbenashift/core/instances"
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
	for {
		if x := e.follower.Index(); x != nil {
			targets := x.Config().Targets
			if len(targets) > 0 {
				e.askAll(ctx, []config.Target{targets[rand.IntN(len(targets))]})
			}
			index, entries := e.fleet.place(e.cfg.Name)
			e.limiter.setFleet(entries, *e.agentSet.Load())
			e.router.setEntries(index, entries)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// followInstances reads the platform's list and keeps new work away from
// targets whose instance is leaving. The list lags; an agent that drains says
// so itself and refuses.
func (e *Entry) followInstances(ctx context.Context) {
	if e.cfg.Instances == "" {
		return
	}
	client := instances.New(instances.Config{Address: e.cfg.Instances})
	_ = client.Poll(ctx, e.cfg.InstancesPoll, func(list []instances.Instance, err error) {
		if err != nil {
			e.log.Warn("instance list unavailable", "error", err)
			return
		}
		leaving := make(map[string]bool)
		for _, in := range list {
			if in.State == instances.Leaving {
				leaving[in.Name] = true
			}
		}
		e.members.SetLeaving(leaving)
	})
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
