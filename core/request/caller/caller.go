// Package caller implements the API for callers: it reads their requests and
// writes their answers.
//
// Requests either follow the API of model clients (JSON bodies on
// /v1/completions and /v1/chat/completions, answers as JSON or server-sent
// events) or are plain HTTP calls for a service under /services/NAME/.
// An answer that is not complete is a JSON object with the outcome and the
// reason; in a stream that has begun it is an event of type "error".
//
// # Usage
//
//	req, err := caller.Read(w, r, caller.Limits{Body: 1 << 20})
//	if err != nil {
//		caller.WriteError(w, "", err)
//		return
//	}
package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/request/outcome"
)

// The paths of the callers' API.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathRequests    = "/v1/requests/"
	PathServices    = "/services/"
)

// The headers of the callers' API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"
	HeaderMayNotRepeat   = "X-May-Not-Repeat"
	HeaderDeadline       = "X-Deadline-Ms"
)

// The priority classes.
const (
	Urgent = iota
	Normal
	BestEffort
)

// Parameters of the cost estimate of a request: a token is about four bytes of
// prompt, and a prompt token costs less than a generated one.
const (
	bytesPerToken       = 4
	promptTokensPerCost = 8
	defaultMaxTokens    = 16
	prefixBytes         = 1024
	maxIdempotencyKey   = 256
)

// Limits bound the size of one request.
type Limits struct {
	// Body is in bytes.
	Body int64
	// MaxTokens bounds the max_tokens field; zero means no bound.
	MaxTokens int
	// Bodies is the room for the bodies of all requests; nil means no bound.
	Bodies *buffers.Pool
}

// Request is one request of a caller.
type Request struct {
	Method string
	// Path is the path sent to the target, including the query.
	Path   string
	Header http.Header
	// Body is valid until Release.
	Body []byte
	room *buffers.Buffer
	// Model is empty for a request to a plain service, Service for one to a model.
	Model   string
	Service string
	Stream  bool
	// Prefix is a hash of the start of the prompt, for prefix affinity.
	Prefix uint64
	// Cost is the expected work in tokens, of which Generated is the answer of a model.
	Cost           uint64
	Generated      uint64
	Priority       int
	IdempotencyKey string
	MayNotRepeat   bool
	// Deadline is the time that the caller has left; zero means no limit.
	Deadline time.Duration
}

// body is the part of a model request that the entry reads.
type body struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens *int            `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// Read reads a request for a model or a service. Errors are *outcome.Error
// with the outcome not-run.
func Read(w http.ResponseWriter, r *http.Request, lim Limits) (Request, error) {
	req := Request{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header}
	if err := readHeaders(&req, r.Header); err != nil {
		return req, err
	}
	body, err := lim.Bodies.Read(r.Context(), http.MaxBytesReader(w, r.Body, lim.Body), r.ContentLength, lim.Body)
	if err != nil {
		return req, bodyError(err)
	}
	req.Body, req.room = body.Bytes(), body
	if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), PathServices); ok {
		return req, readService(&req, rest, r.URL.RawQuery)
	}
	return req, readModel(&req, lim)
}

// Release returns the room of the body.
func (r *Request) Release() { r.room.Release() }

// ReasonNoRoom is the reason of a refusal when there is no room for the body.
const ReasonNoRoom = "no-room-for-body"

func bodyError(err error) error {
	var (
		large *http.MaxBytesError
		long  *buffers.TooLongError
		full  *buffers.FullError
	)
	if errors.As(err, &large) || errors.As(err, &long) {
		return refuse(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	if errors.As(err, &full) {
		return refuse(http.StatusServiceUnavailable, ReasonNoRoom)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(http.StatusRequestTimeout, "body-too-slow")
	}
	return refuse(http.StatusBadRequest, "body-unreadable")
}

func refuse(status int, reason string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.NotRun, Reason: reason, Status: status}
}

func readHeaders(req *Request, h http.Header) error {
	req.IdempotencyKey = h.Get(HeaderIdempotencyKey)
	if len(req.IdempotencyKey) > maxIdempotencyKey {
		return refuse(http.StatusBadRequest, "idempotency-key-too-long")
	}
	switch h.Get(HeaderPriority) {
	case "urgent":
		req.Priority = Urgent
	case "", "normal":
		req.Priority = Normal
	case "best-effort":
		req.Priority = BestEffort
	default:
		return refuse(http.StatusBadRequest, "bad-priority")
	}
	if v := h.Get(HeaderMayNotRepeat); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return refuse(http.StatusBadRequest, "bad-may-not-repeat")
		}
		req.MayNotRepeat = b
	}
	if v := h.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil || ms == 0 {
			return refuse(http.StatusBadRequest, "bad-deadline")
		}
		req.Deadline = time.Duration(ms) * time.Millisecond
	}
	return nil
}

func readService(req *Request, rest, query string) error {
	name, path, _ := strings.Cut(rest, "/")
	if name == "" {
		return refuse(http.StatusNotFound, "unknown-service")
	}
	req.Service = name
	req.Path = "/" + path
	if query != "" {
		req.Path += "?" + query
	}
	req.Cost = 1 + uint64(len(req.Body)/bytesPerToken)
	return nil
}

func readModel(req *Request, lim Limits) error {
	var b body
	if err := json.Unmarshal(req.Body, &b); err != nil {
		return refuse(http.StatusBadRequest, "body-not-json")
	}
	if b.Model == "" {
		return refuse(http.StatusBadRequest, "model-missing")
	}
	tokens := defaultMaxTokens
	if b.MaxTokens != nil {
		tokens = *b.MaxTokens
	}
	if tokens < 0 || lim.MaxTokens > 0 && tokens > lim.MaxTokens {
		return refuse(http.StatusBadRequest, "max-tokens-out-of-bounds")
	}
	prompt := []byte(b.Prompt)
	if len(prompt) == 0 {
		prompt = b.Messages
	}
	if len(prompt) == 0 {
		return refuse(http.StatusBadRequest, "prompt-missing")
	}
	req.Model, req.Stream = b.Model, b.Stream
	req.Prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	req.Generated = uint64(tokens)
	req.Cost = req.Generated + uint64(len(prompt)/bytesPerToken/promptTokensPerCost) + 1
	return nil
}

// Resume is a request for the answer of an earlier request.
type Resume struct {
	RequestID string
	// After is the last event that the caller has received.
	After uint64
}

// ReadResume reads a GET of PathRequests with an "after" query or a
// Last-Event-ID header.
func ReadResume(r *http.Request) (Resume, error) {
	res := Resume{RequestID: strings.TrimPrefix(r.URL.Path, PathRequests)}
	after := r.URL.Query().Get("after")
	if after == "" {
		after = r.Header.Get("Last-Event-ID")
	}
	if after == "" {
		return res, nil
	}
	n, err := strconv.ParseUint(after, 10, 63)
	if err != nil {
		return res, refuse(http.StatusBadRequest, "bad-event-id")
	}
	res.After = n
	return res, nil
}

// Token returns the bearer token of a request, or "" if there is none.
func Token(h http.Header) string {
	scheme, token, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return token
}

// String describes a request without any of its contents.
func (r Request) String() string {
	return fmt.Sprintf("%s model=%q service=%q body=%d", r.Method, r.Model, r.Service, len(r.Body))
}
