package config

import "time"

// MaxHistory bounds the revisions that a Tracker remembers.
const MaxHistory = 64

// InForce records that a revision came in force on this node.
type InForce struct {
	Revision   uint64 `json:"revision"`
	ChangeID   string `json:"change-id"`
	UnixMillis int64  `json:"unix-millis"`
}

// Tracker holds the highest revision that a node has seen. Its zero value has
// seen none. It is not safe for concurrent use.
type Tracker struct {
	cur     Config
	seen    bool
	history []InForce
	// Forks counts offers of the present revision with another change. The
	// store's compare-and-swap rules them out, so that any count means that
	// the store was restored from a copy or its key was written by hand.
	Forks uint64
	// Older counts offers of an earlier revision.
	Older uint64
}

// Offer takes c in force if its revision is higher than any before, and
// reports whether it did.
//
// The guard is for a node that hears an old revision late: from a peer that
// was cut off, from a watch that was replayed, or from a store restored from a
// copy. It would show as a drained target that gets work again. Revisions are
// numbered by one compare-and-swap chain, so that a lower number is older
// whoever sends it.
func (t *Tracker) Offer(c Config, now time.Time) (advanced bool) {
	if t.seen && c.Revision <= t.cur.Revision {
		t.countRefused(c)
		return false
	}
	t.cur, t.seen = c, true
	t.history = appendBounded(t.history, MaxHistory,
		InForce{Revision: c.Revision, ChangeID: c.ChangeID, UnixMillis: now.UnixMilli()})
	return true
}

func (t *Tracker) countRefused(c Config) {
	if c.Revision < t.cur.Revision {
		t.Older++
		return
	}
	if c.ChangeID != t.cur.ChangeID {
		t.Forks++
	}
}

// Current returns the configuration in force and whether there is any.
func (t *Tracker) Current() (Config, bool) { return t.cur, t.seen }

// Revision returns the revision in force; 0 if there is none.
func (t *Tracker) Revision() uint64 { return t.cur.Revision }

// History returns the revisions that came in force on this node, oldest
// first. The result must not be changed.
func (t *Tracker) History() []InForce { return t.history }
