package client

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

const maxLine = 4 << 20

// Line is one request of a workload, encoded as one line of JSON.
type Line struct {
	// Number is the line number in the file, from 1.
	Number    int    `json:"-"`
	Workspace string `json:"workspace"`
	// Class is the kind of work. It determines the priority and, for a service
	// without a path, the call.
	Class string `json:"class,omitempty"`
	// Exactly one of Model and Service is set.
	Model          string `json:"model,omitempty"`
	Service        string `json:"service,omitempty"`
	Prompt         string `json:"prompt,omitempty"`
	MayNotRepeat   bool   `json:"may-not-repeat,omitempty"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	// Method, Path and Body define a call of a service. For a model, only Path
	// is allowed; it can select chat completions.
	Method string          `json:"method,omitempty"`
	Path   string          `json:"path,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
	// MaxTokens is the length of the answer; 0 means the engine's default.
	MaxTokens int `json:"max-tokens,omitempty"`
	// Stream requests a streamed answer from a model; absent means true.
	Stream *bool `json:"stream,omitempty"`
}

// LineError reports an invalid line of a workload.
type LineError struct {
	Number int
	Cause  error
}

// Error returns the line's number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Number, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

var (
	errNoWorkspace    = errors.New("workspace is missing")
	errModelOrService = errors.New("exactly one of model and service must be set")
	errModelCall      = errors.New("method and body are only allowed for services")
	errMaxTokens      = errors.New("max-tokens is negative")
	errPath           = errors.New("path does not start with a slash")
)

// ReadWorkload reads a workload. It skips blank lines and ignores unknown
// members; the first invalid line results in a *LineError.
func ReadWorkload(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	n := 0
	for scanner.Scan() {
		n++
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		line := Line{Number: n}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, &LineError{n, err}
		}
		if err := line.check(); err != nil {
			return nil, &LineError{n, err}
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, &LineError{n + 1, err}
	}
	return lines, nil
}

func (l *Line) check() error {
	switch {
	case l.Workspace == "":
		return errNoWorkspace
	case (l.Model == "") == (l.Service == ""):
		return errModelOrService
	case l.Model != "" && (l.Method != "" || l.Body != nil):
		return errModelCall
	case l.MaxTokens < 0:
		return errMaxTokens
	case l.Path != "" && l.Path[0] != '/':
		return errPath
	}
	return nil
}
