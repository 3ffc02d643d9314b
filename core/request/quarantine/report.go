package quarantine

import (
	"encoding/json"
	"fmt"
	"strings"

	"verbenashift/core/configuration/kv"
)

// Prefix begins the keys of the store that this package reads.
const Prefix = "verbenashift/quarantine/"

const (
	reportPrefix = Prefix + "crashes/"
	holdPrefix   = Prefix + "held/"
)

// ReasonQuarantined is why a request is refused that is held back.
const ReasonQuarantined = "held-back"

// reportSlots is how many reports of one gateway stand in the store at a time; a later one
// takes the place of the oldest.
const reportSlots = 16

// ReportKey returns the key for the n-th report of a gateway.
func ReportKey(instance string, n int) string {
	return fmt.Sprintf("%s%s/%d", reportPrefix, kv.ShortHash(instance), n%reportSlots)
}

// HoldKey returns the key that says that a request is held back.
func HoldKey(p Fingerprint) string { return holdPrefix + p.String() }

// Crash is the end of a target with the requests whose answers broke off with it, as one
// gateway saw it.
type Crash struct {
	Target string `json:"target"`
	// StartedAt is when the target had started, in Unix milliseconds: one with the same
	// identifier may have started again.
	StartedAt int64         `json:"born"`
	Requests  []Fingerprint `json:"requests"`
}

// Report is what one gateway has seen since its last one.
type Report struct {
	Crashes []Crash `json:"crashes,omitempty"`
	// Completed are requests that others may hold for culprits and that a target has
	// answered whole.
	Completed []Fingerprint `json:"completed,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Crashes) == 0 && len(r.Completed) == 0 }

// Bytes returns the report as it stands in the store.
func (r *Report) Bytes() []byte { return encode(r) }

// Hold says that a request is held back.
type Hold struct {
	// Crashes is how many targets had crashed under it. It is for operators.
	Crashes int `json:"crashes"`
	// Probes is how often it was sent again to find out whether it crashes targets.
	Probes int `json:"trials"`
	// ProbeNow says that the next trial needs no wait: another request may be the culprit, or
	// the last trial told nothing.
	ProbeNow bool `json:"soon"`
}

// WithProbe returns the hold once a further trial has begun.
func (h Hold) WithProbe() Hold { return Hold{Crashes: h.Crashes, Probes: h.Probes + 1} }

// WithInconclusiveProbe returns the hold after a trial that has told nothing.
func (h Hold) WithInconclusiveProbe() Hold {
	return Hold{Crashes: h.Crashes, Probes: h.Probes, ProbeNow: true}
}

// Bytes returns the hold as it stands in the store.
func (h Hold) Bytes() []byte { return encode(h) }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Structs of strings and numbers always have a form.
	}
	return data
}

// ItemError says that an item of the store is none of this package's.
type ItemError struct {
	Key, Reason string
}

// Error names the key and the reason.
func (e *ItemError) Error() string { return fmt.Sprintf("item %s: %s", e.Key, e.Reason) }

// isReport reports whether a key holds a Report.
func isReport(key string) bool { return strings.HasPrefix(key, reportPrefix) }

// heldPrint returns the request that a key holds back; an *ItemError says that it is none.
func heldPrint(key string) (Fingerprint, error) {
	text, ok := strings.CutPrefix(key, holdPrefix)
	if !ok {
		return Fingerprint{}, &ItemError{key, "unknown key"}
	}
	var p Fingerprint
	if err := p.UnmarshalText([]byte(text)); err != nil {
		return Fingerprint{}, &ItemError{key, err.Error()}
	}
	return p, nil
}

func decode(key string, value []byte, into any) error {
	if err := json.Unmarshal(value, into); err != nil {
		return &ItemError{key, err.Error()}
	}
	return nil
}
