package quarantine

import "slices"

const (
	// maxAnswered is how many answers one generation of a frequency counts: some minutes of a
	// gateway.
	maxAnswered = 1024
	// maxAnsweredParts bounds the parts of one generation.
	maxAnsweredParts = 4096
	// maxServices bounds the services whose answers are counted.
	maxServices = 16
)

// frequency counts how many of the requests that targets have answered completely had each part, over
// the last maxAnswered to twice as many. The zero value has none.
type frequency struct {
	current, previous generation
}

// generation holds the counts of successive answers.
type generation struct {
	total int
	parts map[Fingerprint]int
}

// add counts an answered request with the given parts.
func (f *frequency) add(parts []Fingerprint) {
	if f.current.total >= maxAnswered || len(f.current.parts) >= maxAnsweredParts {
		f.previous, f.current = f.current, generation{}
	}
	if f.current.parts == nil {
		f.current.parts = map[Fingerprint]int{}
	}
	f.current.total++
	for i, p := range parts {
		if !slices.Contains(parts[:i], p) {
			f.current.parts[p]++
		}
	}
}

// count returns how many answered requests had a part.
func (f *frequency) count(p Fingerprint) int { return f.current.parts[p] + f.previous.parts[p] }

// total returns how many answered requests were counted.
func (f *frequency) total() int { return f.current.total + f.previous.total }
