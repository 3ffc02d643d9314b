package quarantine

// maxRecent is how many requests of each of two generations are remembered: some seconds of
// a busy gateway, in 64 KB.
const maxRecent = 1024

// recent remembers the last requests that were added, between maxRecent and twice as many.
// The zero value remembers none.
type recent struct {
	young, old map[Fingerprint]struct{}
}

func (r *recent) add(p Fingerprint) {
	if r.young == nil || len(r.young) >= maxRecent {
		r.old, r.young = r.young, map[Fingerprint]struct{}{}
	}
	r.young[p] = struct{}{}
}

func (r *recent) has(p Fingerprint) bool {
	_, young := r.young[p]
	_, old := r.old[p]
	return young || old
}
