package config

import "time"

// MaxHistory bounds the number of revisions that a Tracker retains.
const MaxHistory = 64

// InForce records when a revision came into force on this node.
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
	// Forks counts offers of the current revision with a different change. The
	// store's compare-and-swap rules them out, so a count above 0 means that
	// the store was restored from a backup or its key was written by hand.
	Forks uint64
	// Older counts offers of an earlier revision.
	Older uint64
}

// Offer puts c in force if its revision is higher than any before, and
// reports whether it did.
//
// An old revision may arrive late: from a peer that was partitioned, from a
// watch that was replayed, or from a store restored from a backup. If it were
// taken, a drained target would get work again. Revisions are numbered by one
// compare-and-swap chain, so a lower number is older whoever sends it.
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

// History returns the revisions that came into force on this node, oldest
// first. The result must not be changed.
func (t *Tracker) History() []InForce { return t.history }
