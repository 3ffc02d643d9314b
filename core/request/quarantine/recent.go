package quarantine

// maxRecent is the size of each of the two generations that are remembered: some seconds of a
// busy gateway, in 64 KB.
const maxRecent = 1024

// recent is a set of the requests that were added last, between maxRecent and twice as many.
// The zero value is empty.
type recent struct {
	current, previous map[Fingerprint]struct{}
}

func (r *recent) add(p Fingerprint) {
	if r.current == nil || len(r.current) >= maxRecent {
		r.previous, r.current = r.current, map[Fingerprint]struct{}{}
	}
	r.current[p] = struct{}{}
}

func (r *recent) has(p Fingerprint) bool {
	_, current := r.current[p]
	_, previous := r.previous[p]
	return current || previous
}
