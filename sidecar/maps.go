package main

import (
	"sync"

	"verbenashift/core/rankpeer"
)

// keptMaps is how many maps an agent keeps: the one in force, the one before and
// some that were prepared for nothing.
const keptMaps = 4

// mapStore holds the maps that were prepared lately, newest last. The zero value is
// empty.
type mapStore struct {
	mu    sync.Mutex
	epoch int64
	kept  []numberedMap
}

type numberedMap struct {
	version int64
	m       *rankpeer.Map
}

// make returns the map of a change and keeps it under its number. It returns nil
// if the map that the change starts from is not there.
func (k *mapStore) make(epoch, version int64, c *rankpeer.Change) *rankpeer.Map {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch != k.epoch {
		k.epoch, k.kept = epoch, nil
	}
	if m := k.find(version); m != nil {
		return m
	}
	m := c.Full
	if m == nil {
		base := k.find(c.Base)
		if base == nil {
			return nil
		}
		var ok bool
		if m, ok = base.Apply(c.Moves); !ok {
			return nil
		}
	}
	k.kept = append(k.kept, numberedMap{version, m})
	if len(k.kept) > keptMaps {
		k.kept = k.kept[1:]
	}
	return m
}

// get returns a map that was kept in an epoch, or nil.
func (k *mapStore) get(epoch, version int64) *rankpeer.Map {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch != k.epoch {
		return nil
	}
	return k.find(version)
}

func (k *mapStore) find(version int64) *rankpeer.Map {
	for _, n := range k.kept {
		if n.version == version {
			return n.m
		}
	}
	return nil
}
