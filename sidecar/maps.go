package main

import (
	"sync"

	"verbenashift/core/experts/rankpeer"
)

// keptMaps is how many maps an agent keeps: the one in force, the one before and
// some that were prepared for nothing.
const keptMaps = 4

// mapStore holds the maps that were prepared lately, newest last. The zero value is
// empty.
type mapStore struct {
	mu   sync.Mutex
	kept []numberedMap
}

// numberedMap is a map with the version that it was prepared under in an epoch, and the
// number of its content.
type numberedMap struct {
	epoch, version int64
	number         uint64
	m              *rankpeer.Map
}

// make returns the map of a change and keeps it under its version. It returns nil
// if the map that the change starts from is not there.
func (k *mapStore) make(epoch, version int64, c *rankpeer.Change) *rankpeer.Map {
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
	k.kept = append(k.kept, numberedMap{epoch, version, m.Hash(), m})
	if len(k.kept) > keptMaps {
		k.kept = k.kept[1:]
	}
	return m
}

// base returns the map that a change starts from, or nil.
func (k *mapStore) base(c *rankpeer.Change) *rankpeer.Map {
	for _, n := range k.kept {
		if n.number == c.Base {
			return n.m
		}
	}
	if c.First == nil {
		return nil
	}
	// It is worked out only if it is the right one: another platform might assign its
	// experts in another order.
	if m := rankpeer.FirstMap(*c.First); m != nil && m.Hash() == c.Base {
		return m
	}
	return nil
}

// get returns a map that was kept in an epoch, or nil.
func (k *mapStore) get(epoch, version int64) *rankpeer.Map {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.find(epoch, version)
}

func (k *mapStore) find(epoch, version int64) *rankpeer.Map {
	for _, n := range k.kept {
		if n.epoch == epoch && n.version == version {
			return n.m
		}
	}
	return nil
}
