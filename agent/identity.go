package main

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/store"
)

// identity tells the lives of one agent name apart.
type identity struct {
	// incarnation grows from process to process.
	incarnation uint64
	// first says that no earlier process had this name, so that nothing can
	// have been forgotten.
	first bool
}

// The tries to reach the store at the start. A deployment's processes start
// together, and an agent that gives up at once would count as a later process
// of its name, whose new keys are unknown for a long time.
const (
	identifyTries = 10
	identifyPause = 300 * time.Millisecond
)

// identify takes the next incarnation from the store. While the store is down
// the wall clock serves, and the process counts as a later one, which is the
// safe side: it asks the others for what it may have forgotten.
func identify(ctx context.Context, s *store.Client, name string, log *slog.Logger) identity {
	var tried identity
	for range identifyTries {
		id, err := tryIdentify(ctx, s, name, tried)
		if err == nil {
			return id
		}
		tried = id
		log.Warn("no incarnation from the store yet", "error", err)
		time.Sleep(identifyPause)
	}
	id := identity{incarnation: uint64(time.Now().UnixMilli())}
	log.Warn("incarnation taken from the clock", "incarnation", id.incarnation)
	return id
}

// tryIdentify records the next incarnation. It returns what it tried to record
// also with an error: where only the answer was lost, the next try finds that
// number in the store and knows it for its own.
func tryIdentify(ctx context.Context, s *store.Client, name string, tried identity) (identity, error) {
	key := "agents/" + name
	kv, err := s.Get(ctx, key)
	if err != nil {
		return tried, err
	}
	last, err := strconv.ParseUint(string(kv.Value), 10, 64)
	if err != nil && kv.Version != 0 {
		return tried, errors.Wrapf(err, "key %s", key)
	}
	if last != 0 && last == tried.incarnation {
		return tried, nil
	}
	id := identity{incarnation: max(uint64(time.Now().UnixMilli()), last+1), first: kv.Version == 0}
	_, err = s.CompareAndSwap(ctx, key, kv.Version, strconv.AppendUint(nil, id.incarnation, 10), 0)
	return id, err
}
