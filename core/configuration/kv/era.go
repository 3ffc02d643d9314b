package kv

import (
	"strconv"
	"sync/atomic"
)

// LatestEra is the highest era that the answers of a store have stated. Its zero value knows of no
// restore. It is safe for concurrent use.
type LatestEra struct {
	n atomic.Int64
}

// Observe returns the era that an answer states, and remembers it if it is the highest. An answer that
// states none is of a store that was never restored.
func (e *LatestEra) Observe(stated string) (int64, error) {
	if stated == "" {
		return 0, nil
	}
	era, err := strconv.ParseInt(stated, 10, 64)
	if err != nil {
		return 0, err
	}
	for known := e.n.Load(); era > known && !e.n.CompareAndSwap(known, era); {
		known = e.n.Load()
	}
	return era, nil
}

// Load returns the era.
func (e *LatestEra) Load() int64 { return e.n.Load() }

// Outdates reports whether a revision or a lease is of an earlier era. 0, which is no revision or
// lease, is of all eras.
func (e *LatestEra) Outdates(revision int64) bool { return revision > 0 && Era(revision) < e.Load() }
