package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint identifies a request by its content: it is the same for two requests with the
// same content of the same workspace, whatever their identifiers. The content can't be read
// from it.
type Fingerprint [16]byte

// Content is the part of a request that its fingerprint covers.
type Content struct {
	Method, Host string
	// Target is the path with the query.
	Target string
	// Workspace is that of the caller, so that the requests of one workspace have no effect on
	// those of another.
	Workspace string
	Body      []byte
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(c.Target), []byte(c.Workspace), c.Body} {
		var length [8]byte
		// The length prefixes distinguish contents whose fields concatenate to the same bytes.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		sum.Write(length[:])
		sum.Write(field)
	}
	return Fingerprint(sum.Sum(nil))
}

// PartFingerprint returns the fingerprint of a part of a prompt. It is the same for all requests with
// that part, whoever sends them.
func PartFingerprint(id string) Fingerprint {
	sum := sha256.Sum256([]byte("part\x00" + id))
	return Fingerprint(sum[:len(Fingerprint{})])
}

// Request identifies a request by what may crash its targets.
type Request struct {
	Content Fingerprint
	// Parts are the parts of its prompt that other requests may share.
	Parts []Fingerprint
}

// maxLoggedParts is how many parts of a request a log line contains.
const maxLoggedParts = 4

// ShortParts returns the first digits of the last parts, for logs.
func (r Request) ShortParts() []string {
	texts := make([]string, 0, maxLoggedParts)
	for _, p := range r.Parts[max(0, len(r.Parts)-maxLoggedParts):] {
		texts = append(texts, p.Short())
	}
	return texts
}

// FingerprintError reports a text that is not a fingerprint.
type FingerprintError struct {
	Text string
}

// Error quotes the text.
func (e *FingerprintError) Error() string { return fmt.Sprintf("%q is not a fingerprint", e.Text) }

// String returns the fingerprint in hexadecimal.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// shortDigits is the length of the abbreviated fingerprint in log lines: enough to distinguish
// the requests of a day.
const shortDigits = 8

// Short returns the first digits of the fingerprint for logs.
func (p Fingerprint) Short() string { return p.String()[:shortDigits] }

// MarshalText returns the fingerprint in hexadecimal.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses a fingerprint in hexadecimal. It returns a *FingerprintError if the
// text is malformed.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(p)) {
		return &FingerprintError{string(text)}
	}
	if _, err := hex.Decode(p[:], text); err != nil {
		return &FingerprintError{string(text)}
	}
	return nil
}
