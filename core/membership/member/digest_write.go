package member

import (
	"slices"
	"time"
)

// Digest appends a digest for the peer to dst: the node's own record, what the
// peer must learn of itself, updates, and a rotating part of the rest; then the
// quota digest. The length is at most MaxDigest and that of the quota digest.
func (v *View) Digest(dst []byte, peer string, quota []byte, now time.Time) []byte {
	start := len(dst)
	dst = appendHeader(dst, v.revision)
	dst = appendRecord(dst, v.own)
	remaining := MaxDigest - trailer - (len(dst) - start)
	n := 1
	put := func(m *Member) bool {
		if m.lastDigest == v.digests {
			return true
		}
		r := m.record(now)
		if r.length() > remaining || n == maxRecords {
			return false
		}
		dst = appendRecord(dst, r)
		remaining -= r.length()
		m.lastDigest = v.digests
		n++
		return true
	}
	v.digests++
	// A suspect learns of the suspicion at once, or it could never refute it.
	if m, ok := v.members[idOf(peer)]; ok && (m.State != Alive || m.notifyStale) {
		m.notifyStale = false
		put(m)
	}
	v.putUpdates(put, now)
	if len(v.updates) == 0 {
		remaining -= MaxDigest - idleDigest
	}
	v.putRotating(put)
	return appendQuota(dst, quota)
}

// markUpdated makes the member's record an update.
func (v *View) markUpdated(m *Member, now time.Time) {
	if m.updateUntil.IsZero() {
		v.updates = append(v.updates, m)
	}
	m.updateUntil, m.sends = now.Add(updateLifetime), 0
}

// putUpdates adds the records that are updates, drains first, then the least
// often sent. The order guards against a mass event, such as the failure of a zone,
// in which a single drain would be queued behind hundreds of suspicions.
func (v *View) putUpdates(put func(*Member) bool, now time.Time) {
	v.updates = slices.DeleteFunc(v.updates, func(m *Member) bool {
		old := !now.Before(m.updateUntil)
		if old {
			m.updateUntil = time.Time{}
		}
		return old
	})
	slices.SortStableFunc(v.updates, func(a, b *Member) int {
		if a.Draining != b.Draining {
			if a.Draining {
				return -1
			}
			return 1
		}
		return a.sends - b.sends
	})
	for _, m := range v.updates {
		if !put(m) {
			return
		}
		m.sends++
	}
}

func (v *View) putRotating(put func(*Member) bool) {
	for range v.order {
		if len(v.order) == 0 {
			return
		}
		v.cursor = (v.cursor + 1) % len(v.order)
		m := v.order[v.cursor]
		if m.Incarnation > 0 && !put(m) {
			return
		}
	}
}

func (m *Member) record(now time.Time) Record {
	state := m.State
	if state == Dead {
		state = Suspect
	}
	return Record{
		ID: m.id, Incarnation: m.Incarnation, Sequence: m.Sequence, State: state,
		Draining: m.Draining, Wait: m.Wait, Age: now.Sub(m.Seen),
	}
}
