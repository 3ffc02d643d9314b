package main

import (
	"context"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/platform"
)

// groupNeeds is the part of the configuration that a coordinator needs for its group. It is
// stored gob-encoded as a part of savedLoads: the fields keep their names.
type groupNeeds struct {
	Engine deployment.Engine
	// Gap is the longest pause between events that callers are to see.
	Gap time.Duration
}

// needs holds the groupNeeds once they are known. They come from the roster or the saved loads
// of an earlier coordinator, or from the configuration: that is read only if there is no other
// source, since it may fill a sidecar's link for half a second. It is safe for concurrent use.
type needs struct {
	known atomic.Pointer[groupNeeds]
}

// load returns the groupNeeds, or nil if they are not known.
func (n *needs) load() *groupNeeds { return n.known.Load() }

// set sets the groupNeeds if they are complete and none are known yet.
func (n *needs) set(got groupNeeds) {
	if got.Engine.Sets > 0 {
		n.known.CompareAndSwap(nil, &got)
	}
}

// updateGap sets the gap that gateways report: they have the newest configuration.
func (n *needs) updateGap(gap time.Duration) {
	known := n.load()
	if gap <= 0 || known == nil || known.Gap == gap {
		return
	}
	n.known.CompareAndSwap(known, &groupNeeds{Engine: known.Engine, Gap: gap})
}

// needsRetryInterval is the pause between tries to read what a coordinator lacks. It is a variable,
// so that tests can shorten it.
var needsRetryInterval = 500 * time.Millisecond

// configWait bounds a read of the whole configuration over a narrow link.
const configWait = 5 * time.Second

func (co *coordinator) readConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	it, err := co.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return err
	}
	cfg, err := platform.ParseConfig(it.Value)
	if err != nil {
		return err
	}
	v := mirror.Snapshot{Config: cfg}
	for i := range cfg.Services {
		if svc := &cfg.Services[i]; svc.Name == co.boot.Service && svc.Engine != nil {
			co.needs.set(groupNeeds{Engine: *svc.Engine, Gap: v.ShortestGap(svc.Name)})
			co.log.Info("configuration read", "version", cfg.Version, "revision", it.Revision, "bytes", len(it.Value))
		}
	}
	return nil
}
