package client

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"verbenashift/standin/answer"
	"verbenashift/standin/plain"
)

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
	servicesPath    = "/services/"
)

// call is a line as it is sent to an entry, with the expected answer.
type call struct {
	line   *Line
	method string
	// target is the request target at the entry.
	target   string
	priority string
	body     []byte
	stream   bool
	// want is the complete text of a model's answer or the body of a service's.
	// If checked is false, the answer cannot be predicted.
	want    string
	checked bool
}

func newCall(l *Line) *call {
	c := &call{line: l, priority: priority(l.Class)}
	if l.Model != "" {
		c.model()
		return c
	}
	c.service()
	return c
}

func priority(class string) string {
	for _, word := range []string{"ping", "notice", "urgent"} {
		if strings.Contains(class, word) {
			return "urgent"
		}
	}
	if class == "best-effort" {
		return class
	}
	return ""
}

type completion struct {
	Model     string           `json:"model"`
	Prompt    string           `json:"prompt,omitempty"`
	Messages  []answer.Message `json:"messages,omitempty"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream"`
}

func (c *call) model() {
	l := c.line
	c.method, c.target = http.MethodPost, l.Path
	if c.target == "" {
		c.target = completionsPath
	}
	c.stream = l.Stream == nil || *l.Stream
	prompt := l.Prompt
	body := completion{Model: l.Model, MaxTokens: l.MaxTokens, Stream: c.stream}
	if c.target == chatPath {
		body.Messages = []answer.Message{{Role: "user", Content: l.Prompt}}
		prompt = answer.ChatPrompt(body.Messages)
	} else {
		body.Prompt = l.Prompt
	}
	tokens := l.MaxTokens
	if tokens == 0 {
		tokens = answer.DefaultTokens
	}
	c.body, _ = json.Marshal(body)
	c.want, c.checked = answer.Text(l.Model, prompt, tokens), true
}

type jobBody struct {
	Job string `json:"job"`
}

func (c *call) service() {
	l := c.line
	path := l.Path
	c.method, c.body = l.Method, l.bodyBytes()
	if path == "" {
		path = c.defaultCall()
	}
	if c.method == "" {
		c.method = http.MethodGet
		if len(c.body) > 0 {
			c.method = http.MethodPost
		}
	}
	c.target = servicesPath + url.PathEscape(l.Service) + path
	c.expect(path)
}

// bodyBytes returns the line's body: the text of a JSON string, or any other
// JSON value unchanged.
func (l *Line) bodyBytes() []byte {
	var text string
	if json.Unmarshal(l.Body, &text) == nil {
		return []byte(text)
	}
	return l.Body
}

// defaultCall fills in the call for the class and returns its path.
func (c *call) defaultCall() string {
	class, prompt := c.line.Class, c.line.Prompt
	switch {
	case strings.Contains(class, "visitation"):
		c.method = http.MethodGet
		return "/visitations/" + url.PathEscape(prompt)
	case strings.Contains(class, "booking"):
		c.method = http.MethodPost
		c.body, _ = json.Marshal(plain.Slot{Chapel: "chapel", Slot: prompt})
		return "/bookings"
	}
	c.method = http.MethodPost
	c.body, _ = json.Marshal(jobBody{prompt})
	if priority(class) == "urgent" {
		return "/pings"
	}
	return "/jobs"
}

// expect computes the expected answer of the calls that the plain stand-in
// implements.
func (c *call) expect(path string) {
	var v any
	id, isVisit := strings.CutPrefix(path, "/visitations/")
	switch {
	case isVisit && c.method == http.MethodGet:
		name, err := url.PathUnescape(id)
		if err != nil {
			return
		}
		v = plain.NewVisitation(name)
	case c.method != http.MethodPost:
		return
	case path == "/bookings":
		var slot plain.Slot
		if json.Unmarshal(c.body, &slot) != nil {
			return
		}
		v = plain.NewBooking(slot)
	case path == "/pings":
		v = plain.Receipt{Kind: "ping", Digest: plain.Digest(c.body)}
	case path == "/jobs":
		v = plain.Receipt{Kind: "job", Digest: plain.Digest(c.body)}
	default:
		return
	}
	var want bytes.Buffer
	_ = json.NewEncoder(&want).Encode(v)
	c.want, c.checked = want.String(), true
}
