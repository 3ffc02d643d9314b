// Package kv holds what the platform's key-value store says and is told, in the words of this
// project: items, pages of them, and changes that are made whole or not at all.
//
// # Usage
//
//	_, err := store.Change(ctx, kv.Change{
//		Expect: []kv.Condition{{Key: key, Revision: it.Revision}},
//		Puts:   []kv.Write{{Key: key, Value: value}},
//	})
//	var status *kv.StatusError
//	if errors.As(err, &status) && status.Conflict() {
//		return readAgain()
//	}
package kv

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
)

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change; 0 means that the key does not exist.
	Revision int64
	// CreateRevision is the revision at which the key came to be.
	CreateRevision int64
	// Deleted says that the event was the removal of the key.
	Deleted bool
}

// Page is a part of the keys under a prefix.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's revision when it answered.
	Revision int64
}

// Condition is a key with the revision that it must have; 0 means that it must
// not exist.
type Condition struct {
	Key      string
	Revision int64
}

// StatusError is an answer of the store other than the one asked for.
type StatusError struct {
	Call   string
	Status int
}

// Error names the call and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store: %s: status %d", e.Call, e.Status)
}

// NotFound reports whether the key or the lease does not exist.
func (e *StatusError) NotFound() bool { return e.Status == http.StatusNotFound }

// Compacted reports whether the history that a watch asked for is gone.
func (e *StatusError) Compacted() bool { return e.Status == http.StatusGone }

// Conflict reports whether a condition did not hold.
func (e *StatusError) Conflict() bool { return e.Status == http.StatusPreconditionFailed }

// MaxTxnEntries is how many entries a Change may have in all.
const MaxTxnEntries = 32

// Write is a key with the value that it is to have.
type Write struct {
	Key   string
	Value []byte
	// Lease is that with which the key is removed; 0 for none.
	Lease int64
}

// Txn is several writes and removals that are made together, if all conditions hold,
// or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Write
	Deletes    []string
}

// shortBytes is how much of a digest stands for a name.
const shortBytes = 8

// ShortHash returns a part of a key that stands for a name: a key of the store is short and has
// slashes of its own, and the name of an instance or a target need not.
func ShortHash(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:shortBytes])
}
