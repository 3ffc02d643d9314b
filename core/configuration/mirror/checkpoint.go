package mirror

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"expvar"
	"io"
	"slices"
	"strings"
	"time"

	"verbenashift/core/configuration/kv"
)

// A checkpoint is a compressed copy of the followed state in one key of the store. A process that
// starts reads it in one call, and the watch that follows brings what has changed since. Otherwise
// each process that starts reads the whole state, and after a loss of power all of them do so at
// once, over the one link of the store.

const (
	// checkpointKey holds the checkpoint. It lies under none of the followed prefixes.
	checkpointKey = "checkpoint/state"
	// checkpointInterval is the least time between two checkpoints: a small part of the time for
	// which the store keeps its history.
	checkpointInterval = 5 * time.Second
	// maxCheckpoint bounds the compressed bytes of a checkpoint, maxState those of the state.
	maxCheckpoint = 768 << 10
	maxState      = 16 << 20
)

// metricCheckpoints counts checkpoints that were written and read by outcome.
var metricCheckpoints = expvar.NewMap("checkpoints-by-outcome")

// checkpointStore is the part of the store in which a Follower keeps checkpoints.
type checkpointStore interface {
	// StaleGet may return a state that is seconds old.
	StaleGet(ctx context.Context, key string) (kv.Item, error)
	Set(ctx context.Context, key string, value []byte) error
}

// checkpoint is the followed state of the store at a revision.
type checkpoint struct {
	Revision int64
	Items    []kv.Item
}

// encode returns the compressed checkpoint.
func (c *checkpoint) encode() ([]byte, error) {
	var b bytes.Buffer
	// The level is valid.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	if err := gob.NewEncoder(w).Encode(c); err != nil {
		return nil, err
	}
	err := w.Close()
	return b.Bytes(), err
}

// decodeCheckpoint decodes the value of checkpointKey.
func decodeCheckpoint(value []byte) (*checkpoint, error) {
	var c checkpoint
	in := io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxState)
	if err := gob.NewDecoder(in).Decode(&c); err != nil {
		return nil, err
	}
	return &c, nil
}

// checkpoints reads and writes the checkpoint for a Follower. It is used by Run's goroutine alone.
type checkpoints struct {
	store checkpointStore
	// items are the followed items as they are in the store, by key; nil if none are written.
	items map[string]kv.Item
	// changed says that they differ from the last checkpoint, written at writtenAt.
	changed   bool
	writtenAt time.Time
}

// UseCheckpoints makes the Follower start from a checkpoint. If writes is set, it also writes them as
// long as it is the first of the feeds. It must be called before Run.
func (f *Follower) UseCheckpoints(store checkpointStore, writes bool) {
	f.checkpoints.store = store
	if writes {
		f.checkpoints.items = map[string]kv.Item{}
	}
}

// record keeps changes of the followed items, or all items if complete is set.
func (c *checkpoints) record(items []kv.Item, prefixes []string, complete bool) {
	if c.items == nil {
		return
	}
	if complete {
		clear(c.items)
		c.changed = true
	}
	for _, it := range items {
		switch {
		case !followed(it.Key, prefixes):
			continue
		case it.Deleted:
			delete(c.items, it.Key)
		default:
			c.items[it.Key] = it
		}
		c.changed = true
	}
}

// missed returns the changes between the followed items and a complete read up to a revision, and
// false if the items are not known.
func (c *checkpoints) missed(all []kv.Item, prefixes []string, revision int64) ([]kv.Item, bool) {
	if len(c.items) == 0 {
		return nil, false
	}
	var changes []kv.Item
	read := make(map[string]bool, len(all))
	for _, it := range all {
		read[it.Key] = true
		if followed(it.Key, prefixes) && c.items[it.Key].Revision != it.Revision {
			changes = append(changes, it)
		}
	}
	for key := range c.items {
		if !read[key] {
			changes = append(changes, kv.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortStableFunc(changes, compareRevisions)
	return changes, true
}

// followed reports whether a key lies under one of the prefixes.
func followed(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// readCheckpoint starts from the checkpoint in the store, and reports whether there is a valid one.
func (f *Follower) readCheckpoint(ctx context.Context) bool {
	if f.checkpoints.store == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	it, err := f.checkpoints.store.StaleGet(ctx, checkpointKey)
	count(err)
	if err != nil {
		metricCheckpoints.Add("not-read", 1)
		return false
	}
	c, err := decodeCheckpoint(it.Value)
	if err != nil || c.Revision <= 0 || len(c.Items) == 0 {
		metricCheckpoints.Add("invalid", 1)
		f.log.Warn("checkpoint not understood", "revision", it.Revision, "bytes", len(it.Value))
		return false
	}
	if kv.Era(c.Revision) != kv.Era(it.Revision) {
		metricCheckpoints.Add("outdated", 1)
		f.log.Info("checkpoint is of another era of the store", "revision", c.Revision, "era", kv.Era(it.Revision))
		return false
	}
	metricCheckpoints.Add("read", 1)
	items := slices.DeleteFunc(c.Items, func(it kv.Item) bool { return !followed(it.Key, f.prefixes) })
	f.log.Info("started from a checkpoint", "revision", c.Revision, "items", len(items), "bytes", len(it.Value))
	f.unverified = true
	f.replace(items, c.Revision)
	return true
}

// writeCheckpoint writes a checkpoint if this process is to do so and the state has changed.
func (f *Follower) writeCheckpoint(ctx context.Context, now time.Time) {
	c := &f.checkpoints
	if c.items == nil || !c.changed || !f.feeds.first() || now.Sub(c.writtenAt) < checkpointInterval {
		return
	}
	c.writtenAt, c.changed = now, false
	state := checkpoint{Revision: f.mirror.Revision()}
	for _, it := range c.items {
		state.Items = append(state.Items, it)
	}
	value, err := state.encode()
	if err != nil || len(value) > maxCheckpoint {
		metricCheckpoints.Add("too-large", 1)
		f.log.Error("checkpoint not written", "bytes", len(value), "items", len(state.Items))
		return
	}
	go f.storeCheckpoint(ctx, value, state.Revision)
}

// storeCheckpoint writes a checkpoint. One that fails is replaced by the next.
func (f *Follower) storeCheckpoint(ctx context.Context, value []byte, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	err := f.checkpoints.store.Set(ctx, checkpointKey, value)
	count(err)
	if err != nil {
		metricCheckpoints.Add("not-written", 1)
		f.log.Warn("checkpoint not written", "revision", revision, "error", err.Error())
		return
	}
	metricCheckpoints.Add("written", 1)
	f.log.Info("checkpoint written", "revision", revision, "bytes", len(value))
}
