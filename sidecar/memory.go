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
	// saveEvery is how often that is written while it changes. The mix of work
	// changes every few seconds; a write costs the store one call, and one of each
	// process that watches it.
	saveEvery = 12 * time.Second
	// loadsWait bounds a reading or writing of the loads. A new steward waits for
	// the reading, so that it is shorter than the wait for a claim, which nobody
	// waits for to its end.
	loadsWait = 600 * time.Millisecond
)

// savedLoads are the loads of the experts by layer, each layer's scaled to the
// range of the numbers.
type savedLoads struct {
	// Group is the group that they were seen in. Loads of another group are not used;
	// those of an earlier epoch are: they are what callers asked for, not what ranks
	// held.
	Group  engine.GroupID
	Layers [][]uint16
	// Needs are what the next steward of a group whose agents have all started anew has
	// to know.
	Needs groupNeeds
}

// recallLoads reads the loads that an earlier steward has saved. After a loss of
// power all ranks begin with their first map and all stewards without counts:
// what was balanced a second ago is the best guess until new counts are in.
func (a *agent) recallLoads(ctx context.Context, group engine.GroupID) *savedLoads {
	ctx, cancel := context.WithTimeout(ctx, loadsWait)
	defer cancel()
	it, err := a.store.Get(ctx, rankpeer.Key(rankpeer.LoadsPrefix, group.Name))
	var status *kv.StatusError
	if errors.As(err, &status) && status.NotFound() {
		return nil
	}
	if err != nil {
		a.log.Warn("saved loads not read", "group", group.Name, "error", err.Error())
		return nil
	}
	var saved savedLoads
	if err := gob.NewDecoder(bytes.NewReader(it.Value)).Decode(&saved); err != nil {
		a.log.Error("saved loads not understood", "group", group.Name, "error", err.Error())
		return nil
	}
	if saved.Group.Name != group.Name {
		a.log.Warn("saved loads are of another group", "group", group.Name, "theirs", saved.Group.Name)
		return nil
	}
	a.log.Info("loads recalled", "group", group.Name, "epoch", saved.Group.Epoch, "own-epoch", group.Epoch, "revision", it.Revision)
	return &saved
}

// keepLoads writes the loads now and then until the context ends. They are a
// guess for the next steward: one that can't be written is not missed.
func (s *steward) keepLoads(ctx context.Context) {
	for pause.For(ctx, saveEvery) {
		s.mu.Lock()
		saved := s.toSave
		s.toSave = nil
		s.mu.Unlock()
		if saved == nil {
			continue
		}
		if err := s.saveLoads(ctx, saved); err != nil {
			s.log.Warn("loads not saved", "error", err.Error())
		}
	}
}

func (s *steward) saveLoads(ctx context.Context, saved *savedLoads) error {
	ctx, cancel := context.WithTimeout(ctx, loadsWait)
	defer cancel()
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(saved); err != nil {
		return err
	}
	return s.store.Set(ctx, rankpeer.Key(rankpeer.LoadsPrefix, saved.Group.Name), data.Bytes())
}

// scaled returns loads as numbers of the saved form.
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
