package route

import "github.com/cespare/xxhash/v2"

const (
	// prefixBytes is how much of a prompt determines its affinity: engines share cached blocks
	// from the start of a prompt, and shared style notes are longer than this.
	prefixBytes = 1024
	// minPrefixBytes is the length below which a cached prefix saves too little to influence
	// routing.
	minPrefixBytes = 64
)

// Prefix returns the affinity hash of a prompt, salted with the workspace unless salt is
// empty. It returns 0, which means no affinity, for prompts too short to benefit from a cache.
//
// The salt keeps the prefix caches of workspaces apart: a cached prefix of another workspace
// would show in the time to the first token. Equal prompts of two workspaces have different
// hashes.
func Prefix(salt, prompt string) uint64 {
	if len(prompt) < minPrefixBytes {
		return 0
	}
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	h := mix(xxhash.Sum64String(salt) ^ xxhash.Sum64String(prompt)*oddMultiplier)
	return max(h, 1)
}

// oddMultiplier is 2^64 divided by the golden ratio, made odd.
const oddMultiplier = 0x9e3779b97f4a7c15

// mix scrambles the bits of x (the finalizer of SplitMix64, Steele et al.
// 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
