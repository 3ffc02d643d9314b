package main

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"verbenashift/core/store"
)

// identity tells the lives of one agent name apart.
type identity struct {
	// incarnation grows from process to process.
	incarnation uint64
	// first says that no earlier process had this name, so that nothing can
	// have been forgotten.
	first bool
}

// identify takes the next incarnation from the store. While the store is down
// the wall clock serves, and the process counts as a later one, which is the
// safe side: it asks the others for what it may have forgotten.
func identify(ctx context.Context, s *store.Client, name string, log *slog.Logger) identity {
	clock := uint64(time.Now().UnixMilli())
	key := "agents/" + name
	kv, err := s.Get(ctx, key)
	if err != nil {
		log.Warn("incarnation taken from the clock", "error", err)
		return identity{incarnation: clock}
	}
	last, err := strconv.ParseUint(string(kv.Value), 10, 64)
	first := kv.Version == 0
	if err != nil && !first {
		log.Error("incarnation in the store is unreadable", "key", key)
	}
	id := identity{incarnation: max(clock, last+1), first: first}
	if _, err := s.CompareAndSwap(ctx, key, kv.Version, strconv.AppendUint(nil, id.incarnation, 10), 0); err != nil {
		log.Warn("incarnation could not be recorded", "error", err)
		id.first = false
	}
	return id
}
