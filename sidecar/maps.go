package main

import (
	"sync"

	"verbenashift/core/experts/rankpeer"
)

// maxStoredMaps is how many maps an agent stores: the one in force, the one before, and some
// that were prepared but never came into force.
const maxStoredMaps = 4

// mapStore holds the maps that were prepared most recently, newest last. The zero value is
// empty.
type mapStore struct {
	mu     sync.Mutex
	stored []storedMap
}

// storedMap is a map with the epoch and version for which it was prepared, and the hash of its
// content.
type storedMap struct {
	epoch, version int64
	hash           uint64
	m              *rankpeer.Map
}

// build returns the map that a change results in and stores it under its version. It returns nil
// if the map that the change starts from is not available.
func (k *mapStore) build(epoch, version int64, c *rankpeer.Change) *rankpeer.Map {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m := k.find(epoch, version); m != nil {
		return m
	}
	m := c.Full
	if m == nil {
		base := k.base(c)
		if base == nil {
			return nil
		}
		var ok bool
		if m, ok = base.Apply(c.Moves); !ok {
			return nil
		}
	}
	k.stored = append(k.stored, storedMap{epoch, version, m.Hash(), m})
	if len(k.stored) > maxStoredMaps {
		k.stored = k.stored[1:]
	}
	return m
}

// base returns the map that a change starts from, or nil.
func (k *mapStore) base(c *rankpeer.Change) *rankpeer.Map {
	for _, n := range k.stored {
		if n.hash == c.Base {
			return n.m
		}
	}
	if c.First == nil {
		return nil
	}
	// The first map is used only if its hash matches: another platform might assign its
	// experts in another order.
	if m := rankpeer.FirstMap(*c.First); m != nil && m.Hash() == c.Base {
		return m
	}
	return nil
}

// get returns a map that was stored in an epoch, or nil.
func (k *mapStore) get(epoch, version int64) *rankpeer.Map {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.find(epoch, version)
}

func (k *mapStore) find(epoch, version int64) *rankpeer.Map {
	for _, n := range k.stored {
		if n.epoch == epoch && n.version == version {
			return n.m
		}
	}
	return nil
}
