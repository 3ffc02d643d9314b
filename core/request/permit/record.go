package permit

import (
	"encoding/json"
	"fmt"

	"verbenashift/core/configuration/kv"
)

// Prefix is the prefix of the store keys of permits.
const Prefix = "verbenashift/permits/"

// Record is the stored form of a permit.
type Record struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	// StartedAt distinguishes the starts of a target under one name, in Unix milliseconds.
	StartedAt int64 `json:"born"`
	// Limit is what the target accepts from all senders, in requests a second.
	Limit float64 `json:"limit"`
	// Index numbers the permits of a target from 0.
	Index  int    `json:"index"`
	Holder string `json:"holder"`
	// Lease is the holder's lease: a permit under an earlier lease of the holder is void.
	Lease int64 `json:"lease"`
	// Cleared says that the target no longer sets a limit.
	Cleared bool `json:"lifted,omitempty"`
}

// Key returns the key of the permit.
func (r *Record) Key() string {
	return fmt.Sprintf("%s%s/%d", Prefix, kv.ShortHash(r.Target), r.Index)
}

// bytes returns the encoding of the record in the store.
func (r *Record) bytes() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // All fields can be encoded: a limit is finite.
	}
	return data
}

// parse decodes a permit. Other writers may have stored anything under its key.
func parse(it kv.Item) (Record, error) {
	var r Record
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return Record{}, err
	}
	if r.Key() != it.Key || r.Index < 0 || r.Index >= maxPermits || r.Limit < 0 {
		return Record{}, &RecordError{Key: it.Key, Record: r}
	}
	return r, nil
}

// RecordError reports a stored item that is not the permit of its key.
type RecordError struct {
	Key    string
	Record Record
}

// Error names the key and the content.
func (e *RecordError) Error() string {
	return fmt.Sprintf("permit: %s: permit %d of target %q", e.Key, e.Record.Index, e.Record.Target)
}
