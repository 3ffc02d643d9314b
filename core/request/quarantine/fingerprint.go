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
