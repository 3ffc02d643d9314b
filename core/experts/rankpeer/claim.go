package rankpeer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// ClaimPrefix begins the store keys that name the agent that is the coordinator of a
// group.
const ClaimPrefix = "verbenashift/steward/"

// LoadsPrefix begins the store keys that hold how often the experts of a group were chosen.
const LoadsPrefix = "verbenashift/loads/"

// maxKeyName is the longest group name that is used unchanged in a store key. Store keys
// have at most 200 bytes.
const maxKeyName = 120

// Key returns the store key with the given prefix for a group. Group names are opaque
// and may be too long for a key; such names are hashed.
func Key(prefix, group string) string {
	if len(group) <= maxKeyName {
		return prefix + group
	}
	sum := sha256.Sum256([]byte(group))
	return prefix + "sha256-" + hex.EncodeToString(sum[:])
}

// Claim is the store record by which an agent claims to be the coordinator of a group.
type Claim struct {
	Group string `json:"group"`
	// Epoch is the one in which the agent claimed the group. It is informational, for
	// operators: a claim stands until another one is written, and requests of the
	// coordinator carry their own epoch.
	Epoch int64 `json:"epoch"`
	// Addr is the address on which the agent listens.
	Addr string `json:"addr"`
}

// ClaimError says why a stored value is not a valid claim.
type ClaimError struct {
	Key, Reason string
}

// Error returns the key and the reason.
func (e *ClaimError) Error() string { return fmt.Sprintf("claim %s: %s", e.Key, e.Reason) }

// Bytes returns the claim in its stored form.
func (c Claim) Bytes() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // A struct of strings and numbers can always be encoded.
	}
	return data
}

// ParseClaim decodes the value of a key under ClaimPrefix. It rejects a claim to another
// group than that of its key, since whoever used it would take one group's ranks for
// those of another.
func ParseClaim(key string, value []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, &ClaimError{key, err.Error()}
	}
	if !strings.HasPrefix(key, ClaimPrefix) || Key(ClaimPrefix, c.Group) != key {
		return Claim{}, &ClaimError{key, "it is for the group " + c.Group}
	}
	if c.Addr == "" {
		return Claim{}, &ClaimError{key, "it names no address"}
	}
	return c, nil
}
