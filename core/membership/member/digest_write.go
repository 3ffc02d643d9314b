package member

import (
	"slices"
	"time"
)

// Digest appends a digest for the peer to dst: the node's own record, what the
// peer must know of itself, news, and a rotating part of the rest; then the
// quota digest. The length is at most MaxDigest and that of the quota digest.
func (v *View) Digest(dst []byte, peer string, quota []byte, now time.Time) []byte {
	start := len(dst)
	dst = appendHeader(dst, v.revision)
	dst = appendRecord(dst, v.own)
	room := MaxDigest - trailer - (len(dst) - start)
	n := 1
	put := func(m *Member) bool {
		if m.turn == v.turn {
			return true
		}
		r := m.record(now)
		if r.length() > room || n == maxRecords {
			return false
		}
		dst = appendRecord(dst, r)
		room -= r.length()
		m.turn = v.turn
		n++
		return true
	}
	v.turn++
	// A suspect hears of it at once, or it could never refute.
	if m, ok := v.members[idOf(peer)]; ok && (m.State != Alive || m.owed) {
		m.owed = false
		put(m)
	}
	v.putNews(put, now)
	if len(v.news) == 0 {
		room -= MaxDigest - quietDigest
	}
	v.putRotating(put)
	return appendQuota(dst, quota)
}

// spread makes the member's record news.
func (v *View) spread(m *Member, now time.Time) {
	if m.newsUntil.IsZero() {
		v.news = append(v.news, m)
	}
	m.newsUntil, m.sends = now.Add(newsFor), 0
}

// putNews puts the records that are news, drains first, then the least often
// sent. The order guards against a mass event, such as a lost zone, in which
// the word of a single drain would wait its turn among hundreds of suspicions.
func (v *View) putNews(put func(*Member) bool, now time.Time) {
	v.news = slices.DeleteFunc(v.news, func(m *Member) bool {
		old := !now.Before(m.newsUntil)
		if old {
			m.newsUntil = time.Time{}
		}
		return old
	})
	slices.SortStableFunc(v.news, func(a, b *Member) int {
		if a.Draining != b.Draining {
			if a.Draining {
				return -1
			}
			return 1
		}
		return a.sends - b.sends
	})
	for _, m := range v.news {
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
