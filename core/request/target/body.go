package target

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Fields are the top-level members of a completion's JSON body that the agent sets. They
// replace the caller's own, so that a caller can't raise its priority, use the cache salt of
// another workspace, or resume a response of another request.
type Fields struct {
	// Priority orders the engine's queue; lower goes first.
	Priority int
	// CacheSalt separates prefix caches; empty omits the member.
	CacheSalt string
	// Resume continues a response after its first tokens.
	Resume *Resume
	// Stream requests a streamed response whatever the caller asked for.
	Stream bool
}

// Resume is the state of a response that another engine had begun.
type Resume struct {
	// Text is the text of the first Tokens tokens.
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type ownFields struct {
	Priority  int     `json:"priority"`
	CacheSalt string  `json:"cache_salt,omitempty"`
	Resume    *Resume `json:"resume,omitempty"`
	Stream    bool    `json:"stream,omitempty"`
}

func (f Fields) owns(key string) bool {
	// Some engines match members without regard to case.
	switch {
	case strings.EqualFold(key, "priority"),
		strings.EqualFold(key, "cache_salt"),
		strings.EqualFold(key, "resume"):
		return true
	case strings.EqualFold(key, "stream"):
		return f.Stream
	}
	return false
}

// Inject returns body with the fields set and all other members unchanged, byte for byte and
// in order. It returns a *BodyError if body is not one JSON object.
func Inject(body []byte, f Fields) ([]byte, error) {
	own, err := json.Marshal(ownFields(f))
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, &BodyError{dec.InputOffset()}
	}
	out := make([]byte, 0, len(body)+len(own)+1)
	out = append(out, '{')
	for dec.More() {
		if out, err = f.copyMember(out, body, dec); err != nil {
			return nil, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, &BodyError{dec.InputOffset()}
	}
	if end := dec.InputOffset(); len(bytes.TrimSpace(body[end:])) > 0 {
		return nil, &BodyError{end}
	}
	return append(out, own[1:]...), nil
}

// copyMember appends the next member and a comma, unless f owns it.
func (f Fields) copyMember(out, body []byte, dec *json.Decoder) ([]byte, error) {
	from := dec.InputOffset()
	key, err := dec.Token()
	if err != nil {
		return nil, &BodyError{dec.InputOffset()}
	}
	var value json.RawMessage
	if err := dec.Decode(&value); err != nil {
		return nil, &BodyError{dec.InputOffset()}
	}
	if name, ok := key.(string); !ok || f.owns(name) {
		return out, nil
	}
	member := bytes.TrimLeft(body[from:dec.InputOffset()], ", \t\r\n")
	out = append(out, member...)
	return append(out, ','), nil
}
