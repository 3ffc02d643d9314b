package main

import (
	"context"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/plumbing/pause"
	"verbenashift/platform"
)

// groupNeeds is what a steward has to know of its group that only the configuration says.
type groupNeeds struct {
	Engine deployment.Engine
	// Gap is the longest pause between events that callers are to see.
	Gap time.Duration
}

// needs holds the groupNeeds once they are known. They come from the roster of the steward
// before, from what it has saved, or from the configuration: that is read only if there is
// no other way, since it may fill a sidecar's link for half a second. It is safe for
// concurrent use.
type needs struct {
	known atomic.Pointer[groupNeeds]
}

// load returns what is known, or nil.
func (n *needs) load() *groupNeeds { return n.known.Load() }

// learn takes needs that are whole, unless some are known.
func (n *needs) learn(got groupNeeds) {
	if got.Engine.Sets > 0 {
		n.known.CompareAndSwap(nil, &got)
	}
}

// hear takes the pause that gateways tell: they have the newest configuration.
func (n *needs) hear(gap time.Duration) {
	known := n.load()
	if gap <= 0 || known == nil || known.Gap == gap {
		return
	}
	n.known.CompareAndSwap(known, &groupNeeds{Engine: known.Engine, Gap: gap})
}

// needsAgain is the pause between tries to read the configuration.
const needsAgain = 500 * time.Millisecond

// readNeeds reads the configuration until the group's needs are known.
func (s *steward) readNeeds(ctx context.Context) {
	for s.needs.load() == nil && ctx.Err() == nil {
		if err := s.readConfig(ctx); err != nil {
			s.log.Warn("configuration not read", "error", err.Error())
		}
		if s.needs.load() == nil {
			pause.For(ctx, needsAgain)
		}
	}
}

// configWait bounds a reading of the whole configuration over a narrow link.
const configWait = 5 * time.Second

func (s *steward) readConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	it, err := s.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return err
	}
	cfg, err := platform.ParseConfig(it.Value)
	if err != nil {
		return err
	}
	v := mirror.Snapshot{Config: cfg}
	for i := range cfg.Services {
		if svc := &cfg.Services[i]; svc.Name == s.boot.Service && svc.Engine != nil {
			s.needs.learn(groupNeeds{Engine: *svc.Engine, Gap: v.ShortestGap(svc.Name)})
			s.log.Info("configuration read", "version", cfg.Version, "revision", it.Revision, "bytes", len(it.Value))
		}
	}
	return nil
}
