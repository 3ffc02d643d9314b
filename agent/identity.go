package main

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/store"
)

// identity distinguishes the processes that run under one agent name.
type identity struct {
	// incarnation increases from process to process.
	incarnation uint64
	// first reports whether no earlier process had this name, so that no state
	// can have been lost. It is false once the store has come back from an older copy, which may
	// lack an earlier process.
	first bool
}

// The attempts to reach the store at startup. The processes of a deployment start
// together, and an agent that does not retry would count as a later process of
// its name, for which new keys are unknown for a long time.
const (
	identifyAttempts = 10
	identifyDelay    = 300 * time.Millisecond
)

// identify takes the next incarnation from the store. While the store is down it
// uses the wall clock, and the process counts as a later one, which is safe: it
// queries the other agents for state that it may have lost.
func identify(ctx context.Context, s *store.Client, name string, log *slog.Logger) identity {
	var tried identity
	for range identifyAttempts {
		id, err := tryIdentify(ctx, s, name, tried)
		if err == nil {
			return id
		}
		tried = id
		log.Warn("could not record the incarnation in the store; retrying", "error", err)
		time.Sleep(identifyDelay)
	}
	id := identity{incarnation: uint64(time.Now().UnixMilli())}
	log.Warn("incarnation not recorded in the store; taken from the clock", "incarnation", id.incarnation)
	return id
}

// tryIdentify records the next incarnation. It returns the number that it tried
// to record also with an error: if only the answer was lost, the next attempt
// finds that number in the store and recognizes it as its own.
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
	id := identity{incarnation: max(uint64(time.Now().UnixMilli()), last+1), first: kv.Version == 0 && kv.Era == 0}
	_, err = s.CompareAndSwap(ctx, key, kv.Version, strconv.AppendUint(nil, id.incarnation, 10), 0)
	return id, err
}
