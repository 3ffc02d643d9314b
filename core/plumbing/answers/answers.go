// Package answers checks that an answer is valid HTTP/1.1. The reader of net/http is lenient: it returns
// answers with invalid statuses, or with blanks in the names of header fields, and leaves it to its
// caller to reject them.
//
// # Usage
//
//	client := http.Client{Transport: &answers.Transport{Transport: &http.Transport{}}}
//
// or, where the answer was read otherwise,
//
//	if err := answers.Check(resp); err != nil {
//		return err // an *InvalidError
//	}
package answers

import (
	"fmt"
	"net/http"
	"strings"
)

// InvalidError reports an answer that is not valid HTTP/1.1. Nothing of it may be used.
type InvalidError struct {
	// Part is what is invalid: PartVersion, PartStatus or PartName.
	Part string
	// Value is the number that was sent as the version or the status.
	Value int
}

// The parts of an answer that may be invalid.
const (
	PartVersion = "version"
	PartStatus  = "status"
	// PartName is the name of a header field.
	PartName = "field-name"
)

// Error returns a message with the part and what was sent.
func (e *InvalidError) Error() string {
	if e.Part == PartName {
		// The name itself may be anything, at any length.
		return "invalid " + e.Part + " in the answer"
	}
	return fmt.Sprintf("invalid %s in the answer: %d", e.Part, e.Value)
}

// The statuses of RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an *InvalidError if the head of an answer is invalid. So is 101 here: no request asks for
// another protocol.
func Check(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return &InvalidError{PartVersion, r.ProtoMajor}
	case r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols:
		return &InvalidError{PartStatus, r.StatusCode}
	}
	for name := range r.Header {
		if !isToken(name) {
			return &InvalidError{Part: PartName}
		}
	}
	return nil
}

// isToken reports whether s is a token of RFC 9110, section 5.6.2, as the names of fields must be.
func isToken(s string) bool { return s != "" && !strings.ContainsFunc(s, isDelimiter) }

// isDelimiter reports whether a token must not contain a character.
func isDelimiter(r rune) bool {
	switch {
	case '0' <= r && r <= '9', 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// Transport returns no invalid answers. It is for the connections to one server: after such an answer all
// that are idle are closed.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // The answer is abandoned.
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}
