package kv

import "fmt"

const (
	// counterBits is the number of lower bits of a revision that hold the store's counter.
	counterBits = 40
	// maxEra is the highest era. Revisions are exact as numbers of JSON.
	maxEra = 1<<(53-counterBits) - 1
)

// RevisionError reports a counter or an era of a store that a revision can't hold.
type RevisionError struct {
	Era, Counter int64
}

// Error returns both numbers.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("store: counter %d of era %d is out of range", e.Counter, e.Era)
}

// NewRevision returns the revision, or the number of a lease, for a counter that a store states in
// an era.
//
// The era of a store is how often it has come back from an older copy of its data. It then gives out
// the counters after that of the copy again, for other contents. A revision has the era in its upper
// bits, like the epoch in a ZooKeeper transaction ID, so that any revision of a later era is higher
// than all of the eras before. A store that was never restored has era 0, in which revisions are
// equal to its counters.
func NewRevision(era, counter int64) (int64, error) {
	if era < 0 || era > maxEra || counter < 0 || counter >= 1<<counterBits {
		return 0, &RevisionError{Era: era, Counter: counter}
	}
	return era<<counterBits | counter, nil
}

// Era returns the era of a revision.
func Era(revision int64) int64 { return revision >> counterBits }

// Counter returns the store's counter of a revision.
func Counter(revision int64) int64 { return revision & (1<<counterBits - 1) }
