package rankpeer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// ClaimPrefix begins the keys of the store that name the agent that is the steward
// of a group.
const ClaimPrefix = "verbenashift/steward/"

// LoadsPrefix begins the keys that hold how much the experts of a group were chosen.
const LoadsPrefix = "verbenashift/loads/"

// longestName is the longest name of a group that is part of a key as it is. A key
// of the store has 200 bytes at most.
const longestName = 120

// Key returns the key of the store that holds what begins with a prefix for a group.
// A group's name is opaque, and may be too long for a key.
func Key(prefix, group string) string {
	if len(group) <= longestName {
		return prefix + group
	}
	sum := sha256.Sum256([]byte(group))
	return prefix + "sha256-" + hex.EncodeToString(sum[:])
}

// Claim is the word of an agent that it is the steward of a group.
type Claim struct {
	Group string `json:"group"`
	// Epoch is the one in which the agent has claimed the group. It is for
	// operators: a claim holds until another one is written, and what is asked in
	// its name says its own epoch.
	Epoch int64 `json:"epoch"`
	// Addr is where the agent listens.
	Addr string `json:"addr"`
}

// ClaimError says why a value is no claim to a group.
type ClaimError struct {
	Key, Reason string
}

// Error names the key and the reason.
func (e *ClaimError) Error() string { return fmt.Sprintf("claim %s: %s", e.Key, e.Reason) }

// Bytes returns the claim as it stands in the store.
func (c Claim) Bytes() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // A struct of strings and numbers always has a form.
	}
	return data
}

// ParseClaim decodes the value of a key under ClaimPrefix. A claim to another group
// than that of its key is refused: whoever believed it would take one group's ranks
// for those of another.
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
