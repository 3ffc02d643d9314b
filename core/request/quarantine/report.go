package quarantine

import (
	"encoding/json"
	"fmt"
	"strings"

	"verbenashift/core/configuration/kv"
)

// Prefix is the prefix of the store keys that this package reads.
const Prefix = "verbenashift/quarantine/"

const (
	reportPrefix = Prefix + "crashes/"
	holdPrefix   = Prefix + "held/"
)

// ReasonQuarantined is the reason of refusals of quarantined requests.
const ReasonQuarantined = "held-back"

// reportSlots is how many reports of one gateway are stored at a time; a newer one overwrites
// the oldest.
const reportSlots = 16

// ReportKey returns the key for the n-th report of a gateway.
func ReportKey(instance string, n int) string {
	return fmt.Sprintf("%s%s/%d", reportPrefix, kv.ShortHash(instance), n%reportSlots)
}

// HoldKey returns the key of the hold of a request.
func HoldKey(p Fingerprint) string { return holdPrefix + p.String() }

// Crash is the crash of a target as one gateway observed it, with the requests whose responses
// were cut off by it.
type Crash struct {
	Target string `json:"target"`
	// StartedAt is when the target process started, in Unix milliseconds: a target with the
	// same identifier may have started again.
	StartedAt int64         `json:"born"`
	Service   string        `json:"service,omitempty"`
	Requests  []Fingerprint `json:"requests"`
	// Parts are the parts of the requests, in the same order; requests beyond them have none.
	Parts [][]Fingerprint `json:"parts,omitempty"`
}

// Add adds a request.
func (c *Crash) Add(r Request) {
	if len(r.Parts) > 0 {
		for len(c.Parts) < len(c.Requests) {
			c.Parts = append(c.Parts, nil)
		}
		c.Parts = append(c.Parts, r.Parts)
	}
	c.Requests = append(c.Requests, r.Content)
}

// request returns the i-th request.
func (c *Crash) request(i int) Request {
	r := Request{Content: c.Requests[i]}
	if i < len(c.Parts) {
		r.Parts = c.Parts[i]
	}
	return r
}

// Report is what one gateway has observed since its last report.
type Report struct {
	Crashes []Crash `json:"crashes,omitempty"`
	// Completed are requests, and parts of requests, that a target has answered completely and
	// that other gateways may suspect.
	Completed []Fingerprint `json:"completed,omitempty"`
	// Answered is what the gateway process has seen answered with the parts that are in several
	// crashes.
	Answered []Answered `json:"answered,omitempty"`
}

// Empty reports whether the report contains nothing that is worth a write.
func (r *Report) Empty() bool { return len(r.Crashes) == 0 && len(r.Completed) == 0 }

// Bytes returns the encoding of the report in the store.
func (r *Report) Bytes() []byte { return encode(r) }

// Hold is the record of a quarantined request.
type Hold struct {
	// Crashes is how many targets had crashed while running it. It is shown to operators.
	Crashes int `json:"crashes"`
	// Probes is how often the request was sent again to find out whether it still crashes
	// targets.
	Probes int `json:"trials"`
	// ProbeNow says that the next probe needs no delay: another request may be the cause, or
	// the last probe was inconclusive.
	ProbeNow bool `json:"soon"`
	// Part says that the hold is that of a part.
	Part bool `json:"part,omitempty"`
}

// WithProbe returns the hold after a further probe has begun.
func (h Hold) WithProbe() Hold {
	h.Probes++
	h.ProbeNow = false
	return h
}

// WithInconclusiveProbe returns the hold after a probe that was inconclusive.
func (h Hold) WithInconclusiveProbe() Hold {
	h.ProbeNow = true
	return h
}

// Bytes returns the encoding of the hold in the store.
func (h Hold) Bytes() []byte { return encode(h) }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Structs of strings and numbers can always be encoded.
	}
	return data
}

// ItemError reports a malformed item in the store.
type ItemError struct {
	Key, Reason string
}

// Error names the key and the reason.
func (e *ItemError) Error() string { return fmt.Sprintf("item %s: %s", e.Key, e.Reason) }

// isReport reports whether a key is that of a Report.
func isReport(key string) bool { return strings.HasPrefix(key, reportPrefix) }

// holdFingerprint returns the request of a hold's key, or an *ItemError for any other key.
func holdFingerprint(key string) (Fingerprint, error) {
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
