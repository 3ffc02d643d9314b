package booking

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key is the SHA-256 digest of a workspace and an idempotency key. Using the digest keeps text
// of callers out of the registers.
type Key [sha256.Size]byte

// Digest is the SHA-256 digest of a request body.
type Digest [sha256.Size]byte

// KeyOf returns the key of a workspace's idempotency key. The length of the workspace is part
// of the digest, so that two pairs whose concatenations are equal have different keys.
func KeyOf(workspace, idempotencyKey string) Key {
	buf := make([]byte, 0, 128)
	buf = binary.AppendUvarint(buf, uint64(len(workspace)))
	buf = append(buf, workspace...)
	buf = append(buf, idempotencyKey...)
	return sha256.Sum256(buf)
}

// HomeOf returns the name of the key's home among names: the one with the
// highest rendezvous score (Thaler and Ravishankar, 1998). The order of names
// does not matter. It returns the empty string if there are no names.
func HomeOf(key Key, names []string) string {
	seed := binary.LittleEndian.Uint64(key[:8])
	var best string
	var top uint64
	for _, name := range names {
		score := mix(xxhash.Sum64String(name) ^ seed)
		if best == "" || score > top || (score == top && name < best) {
			best, top = name, score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64: it spreads each input bit over the word.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
