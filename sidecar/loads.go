package main

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"math"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/pause"
)

const (
	// saveInterval is how often the loads are written while they change. The mix of work changes
	// every few seconds; a write costs one call to the store, and one for each process that
	// watches it.
	saveInterval = 12 * time.Second
	// loadsWait bounds a read or a write of the loads. A new coordinator waits for the read, so
	// that it is shorter than the wait for a claim, which nobody waits for to its end.
	loadsWait = 600 * time.Millisecond
)

// savedLoads are the loads of the experts by layer, each layer scaled to the range of uint16. It
// is stored gob-encoded: the fields keep their names.
type savedLoads struct {
	// Group is the group in which the loads were measured. Loads of another group are not used;
	// those of an earlier epoch are: they show what callers requested, not what ranks held.
	Group  engine.GroupID
	Layers [][]uint16
	// Needs is for the next coordinator of a group whose agents have all restarted.
	Needs groupNeeds
}

// readLoads reads the loads that an earlier coordinator has saved. After a power failure all
// ranks start with their first map and all coordinators without counts: the last known loads are
// the best estimate until new counts arrive.
func (a *agent) readLoads(ctx context.Context, group engine.GroupID) *savedLoads {
	ctx, cancel := context.WithTimeout(ctx, loadsWait)
	defer cancel()
	it, err := a.store.Get(ctx, rankpeer.Key(rankpeer.LoadsPrefix, group.Name))
	var status *kv.StatusError
	if errors.As(err, &status) && status.NotFound() {
		return nil
	}
	if err != nil {
		a.log.Warn("failed to read saved loads", "group", group.Name, "error", err.Error())
		return nil
	}
	var saved savedLoads
	if err := gob.NewDecoder(bytes.NewReader(it.Value)).Decode(&saved); err != nil {
		a.log.Error("failed to decode saved loads", "group", group.Name, "error", err.Error())
		return nil
	}
	if saved.Group.Name != group.Name {
		a.log.Warn("saved loads belong to another group", "group", group.Name, "theirs", saved.Group.Name)
		return nil
	}
	a.log.Info("saved loads read", "group", group.Name, "epoch", saved.Group.Epoch, "own-epoch", group.Epoch, "revision", it.Revision)
	return &saved
}

// saveLoadsPeriodically writes the loads periodically until the context ends. They are an
// estimate for the next coordinator, so that a failed write is not retried.
func (co *coordinator) saveLoadsPeriodically(ctx context.Context) {
	for pause.For(ctx, saveInterval) {
		co.mu.Lock()
		saved := co.toSave
		co.toSave = nil
		co.mu.Unlock()
		if saved == nil {
			continue
		}
		if err := co.saveLoads(ctx, saved); err != nil {
			co.log.Warn("failed to save loads", "error", err.Error())
		}
	}
}

func (co *coordinator) saveLoads(ctx context.Context, saved *savedLoads) error {
	ctx, cancel := context.WithTimeout(ctx, loadsWait)
	defer cancel()
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(saved); err != nil {
		return err
	}
	return co.store.Set(ctx, rankpeer.Key(rankpeer.LoadsPrefix, saved.Group.Name), data.Bytes())
}

// scaled returns loads scaled to the range of uint16.
func scaled(loads []float64) []uint16 {
	most := 0.0
	for _, x := range loads {
		most = math.Max(most, x)
	}
	out := make([]uint16, len(loads))
	if most <= 0 {
		return out
	}
	for e, x := range loads {
		out[e] = uint16(math.Round(x / most * math.MaxUint16))
	}
	return out
}
