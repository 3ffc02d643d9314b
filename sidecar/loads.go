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
	"verbenashift/core/experts/expert"
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
	// Alike is 1 less the difference from the loads saved before these; 0 if it is not known.
	Alike float64
	// ChangeRest is how long a change of the map takes besides its copies; 0 if it is not known.
	ChangeRest time.Duration
	// Needs is for the next coordinator of a group whose agents have all restarted.
	Needs groupNeeds
}

// readLoads reads the loads that an earlier coordinator has saved, nil if there are none. Where all
// ranks start with their first map and all coordinators without counts, as after a power failure,
// they are the best estimate until new counts arrive. It reports false if the store did not answer.
func (a *agent) readLoads(ctx context.Context, group engine.GroupID) (*savedLoads, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadsWait)
	defer cancel()
	it, err := a.store.Get(ctx, rankpeer.Key(rankpeer.LoadsPrefix, group.Name))
	var status *kv.StatusError
	if errors.As(err, &status) && status.NotFound() {
		return nil, true
	}
	if err != nil {
		a.log.Warn("failed to read saved loads", "group", group.Name, "error", err.Error())
		return nil, false
	}
	var saved savedLoads
	if err := gob.NewDecoder(bytes.NewReader(it.Value)).Decode(&saved); err != nil {
		a.log.Error("failed to decode saved loads", "group", group.Name, "error", err.Error())
		return nil, true
	}
	if saved.Group.Name != group.Name {
		a.log.Warn("saved loads belong to another group", "group", group.Name, "theirs", saved.Group.Name)
		return nil, true
	}
	a.log.Info("saved loads read", "group", group.Name, "epoch", saved.Group.Epoch, "own-epoch", group.Epoch, "revision", it.Revision, "alike", saved.Alike)
	return &saved, true
}

// maxLoadsReads is how often a coordinator tries to read the saved loads: after a loss of all
// processes the store may turn them away for some seconds. Later the group has counts of its own.
const maxLoadsReads = 8

// readNeeds reads what the coordinator lacks: the saved loads, unless they were read, and the
// configuration if the group's needs are still unknown then.
func (co *coordinator) readNeeds(ctx context.Context, loadsRead bool) {
	for tries := 0; ctx.Err() == nil; tries++ {
		if !loadsRead {
			var saved *savedLoads
			if saved, loadsRead = co.readLoads(ctx, co.group); saved != nil {
				co.needs.set(saved.Needs)
				co.found.Store(saved)
			}
			loadsRead = loadsRead || tries+1 == maxLoadsReads
		}
		if co.needs.load() == nil {
			if err := co.readConfig(ctx); err != nil {
				co.log.Warn("failed to read configuration", "error", err.Error())
			}
		}
		if loadsRead && co.needs.load() != nil {
			return
		}
		pause.For(ctx, needsRetryInterval)
	}
}

// saveLoadsPeriodically writes the loads periodically until the context ends. They are an
// estimate for the next coordinator, so that a failed write is not retried.
func (co *coordinator) saveLoadsPeriodically(ctx context.Context) {
	var last *savedLoads
	for pause.For(ctx, saveInterval) {
		co.mu.Lock()
		saved := co.toSave
		co.toSave = nil
		co.mu.Unlock()
		if saved == nil {
			continue
		}
		saved.compare(last)
		last = saved
		if err := co.saveLoads(ctx, saved); err != nil {
			co.log.Warn("failed to save loads", "error", err.Error())
		}
	}
}

// compare sets Alike from the loads saved before, if there are any.
func (s *savedLoads) compare(before *savedLoads) {
	if before != nil {
		s.Alike = 1 - expert.Difference(s.loads(), before.loads())
	}
}

// loads returns the loads by layer.
func (s *savedLoads) loads() [][]float64 {
	out := make([][]float64, len(s.Layers))
	for l, loads := range s.Layers {
		out[l] = make([]float64, len(loads))
		for e, x := range loads {
			out[l][e] = float64(x)
		}
	}
	return out
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
