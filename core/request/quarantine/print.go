package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint is the fingerprint of a request: the same for two requests with the same content
// of the same caller, whatever their identifiers. Nothing of the content can be read from
// it.
type Fingerprint [16]byte

// Content is what makes two requests the same.
type Content struct {
	Method, Host string
	// Target is the path with the query.
	Target string
	// Workspace is whose request it is, so that one caller's requests say nothing of
	// another's.
	Workspace string
	Body      []byte
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(c.Target), []byte(c.Workspace), c.Body} {
		var length [8]byte
		// The lengths keep two contents apart whose fields join to the same bytes.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		sum.Write(length[:])
		sum.Write(field)
	}
	return Fingerprint(sum.Sum(nil))
}

// FingerprintError says that a text is no fingerprint.
type FingerprintError struct {
	Text string
}

// Error shows the text.
func (e *FingerprintError) Error() string { return fmt.Sprintf("%q is no fingerprint", e.Text) }

// String returns the fingerprint in hexadecimal.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// shortDigits is how much of a fingerprint lines have: enough to tell apart the requests
// of a day.
const shortDigits = 8

// Short returns the beginning of the fingerprint for logs.
func (p Fingerprint) Short() string { return p.String()[:shortDigits] }

// MarshalText returns the fingerprint in hexadecimal.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a fingerprint in hexadecimal; a *PrintError says that it is none.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(p)) {
		return &FingerprintError{string(text)}
	}
	if _, err := hex.Decode(p[:], text); err != nil {
		return &FingerprintError{string(text)}
	}
	return nil
}
