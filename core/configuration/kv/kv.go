// Package kv defines the requests and responses of the platform's key-value store
// independently of its protocol: items, pages of items, and transactions.
//
// # Usage
//
//	_, err := store.Change(ctx, kv.Txn{
//		Conditions: []kv.Condition{{Key: key, Revision: it.Revision}},
//		Puts:       []kv.Write{{Key: key, Value: value}},
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
	// Revision is the store's revision at the last change of the key, see NewRevision; 0 means
	// that the key does not exist.
	Revision int64
	// CreateRevision is the store's revision at which the key was created.
	CreateRevision int64
	// Deleted says that the item is the deletion event of the key.
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

// StatusError is an error status that the store answered a call with.
type StatusError struct {
	Call   string
	Status int
	// Era is that of the store when it answered.
	Era int64
}

// Error names the call and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store: %s: status %d", e.Call, e.Status)
}

// NotFound reports whether the key or the lease does not exist.
func (e *StatusError) NotFound() bool { return e.Status == http.StatusNotFound }

// Compacted reports whether the history that a watch requested was compacted.
func (e *StatusError) Compacted() bool { return e.Status == http.StatusGone }

// Conflict reports whether a condition did not hold.
func (e *StatusError) Conflict() bool { return e.Status == http.StatusPreconditionFailed }

// RestoredError reports that the store has come back from an older copy during a call, so that a
// condition or a lease of a transaction may have been that of others. The transaction was applied.
type RestoredError struct {
	Call string
	// Era is the era of the store in which the transaction was applied, Before the one that its
	// conditions and leases are from.
	Era, Before int64
}

// Error names the call and the eras.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("store: %s: applied in era %d on a premise of era %d", e.Call, e.Era, e.Before)
}

// MaxTxnEntries is the maximum number of conditions, puts and deletes of a Txn in all.
const MaxTxnEntries = 32

// Write is a key with its new value.
type Write struct {
	Key   string
	Value []byte
	// Lease is the lease whose end deletes the key; 0 for none.
	Lease int64
}

// Txn is a set of writes and deletions that the store makes atomically if all conditions
// hold, and not at all otherwise.
type Txn struct {
	Conditions []Condition
	Puts       []Write
	Deletes    []string
}

// shortBytes is the number of bytes of a digest that ShortHash uses.
const shortBytes = 8

// ShortHash returns a hash of a name for use in a key: keys of the store are limited in length
// and use slashes as separators, which names of instances and targets may contain.
func ShortHash(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:shortBytes])
}
