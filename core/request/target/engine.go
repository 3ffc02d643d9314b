package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
)

// The paths of the completions that an engine serves.
const (
	CompletionsPath     = "/v1/completions"
	ChatCompletionsPath = "/v1/chat/completions"
)

const (
	requestsPath = "/v1/requests/"
	loadPath     = "/v1/load"
	ordersPath   = "/v1/orders"
	jsonType     = "application/json"
)

// Engine is a client of one model engine, safe for concurrent use.
type Engine struct {
	client
	orderToken string
}

// NewEngine returns a client of the engine at address, an IP number and port.
func NewEngine(address string, o Options) *Engine {
	return &Engine{client: newClient(address, o), orderToken: o.OrderToken}
}

// Completion is a request for a completion.
type Completion struct {
	// Path is CompletionsPath or ChatCompletionsPath.
	Path string
	Tags
	Fields
	// Body is the caller's JSON body; Fields are set in it.
	Body []byte
}

// Start sends a completion and returns its response once the headers have arrived. Its errors
// are *BodyError, *NotSentError, *BrokenError and *RefusedError.
func (e *Engine) Start(ctx context.Context, c Completion) (*Stream, error) {
	body, err := Inject(c.Body, c.Fields)
	if err != nil {
		return nil, err
	}
	return e.open(ctx, c.Path, c.Tags, body)
}

type reattach struct {
	Stream bool `json:"stream"`
	Resume struct {
		RequestID string `json:"request-id"`
		From      int    `json:"from"`
	} `json:"resume"`
}

// Resume attaches again to the response of a request that this engine runs or has stored,
// starting at token number from. The engine answers 404, a *RefusedError, if it does not know
// the request; path is that of the request.
func (e *Engine) Resume(ctx context.Context, path, requestID string, from int) (*Stream, error) {
	var r reattach
	r.Stream = true
	r.Resume.RequestID, r.Resume.From = requestID, from
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode resume")
	}
	return e.open(ctx, path, Tags{RequestID: requestID}, body)
}

func (e *Engine) open(ctx context.Context, path string, tags Tags, body []byte) (*Stream, error) {
	h := make(http.Header)
	h.Set("Content-Type", jsonType)
	tags.set(h)
	req, err := e.request(ctx, http.MethodPost, path, h, body)
	if err != nil {
		return nil, err
	}
	resp, err := e.send(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusedError(resp)
	}
	return newStream(resp), nil
}

// The states in which a cancellation can find a request.
const (
	// StateWaiting says that the engine had not begun the request and never will.
	StateWaiting = "waiting"
	// StateRunning says that the request was interrupted.
	StateRunning = "running"
	// StateDone says that the complete response had already been produced.
	StateDone = "done"
)

// Cancel cancels a request and returns the state in which it was; the state is empty if the
// engine does not report it. A request that the engine does not know gives a *RefusedError
// with status 404.
func (e *Engine) Cancel(ctx context.Context, requestID string) (state string, err error) {
	var answer struct {
		State string `json:"state"`
	}
	err = e.exchange(ctx, http.MethodDelete, requestsPath+url.PathEscape(requestID), nil, &answer)
	return answer.State, err
}

// Load is an engine's report of its own load, which lags behind.
type Load struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	TokensPerSecond float64 `json:"tokens-per-second"`
	StepMS          float64 `json:"step-ms"`
	// UnixMillis is the engine's wall time at which the load was measured.
	UnixMillis int64 `json:"unix-millis"`
}

// Load returns the engine's latest report.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	var l Load
	err := e.exchange(ctx, http.MethodGet, loadPath, nil, &l)
	return l, err
}

// Order is a command to the engine.
type Order struct {
	Fence uint64 `json:"fence"`
	// Sequence numbers the orders of one fencing token, from 1.
	Sequence uint64 `json:"sequence"`
	// Kind is "load-model", "load-adapter", "set-role", "set-map" or "drain".
	Kind     string          `json:"kind"`
	Argument json.RawMessage `json:"argument,omitempty"`
}

type orderRefusal struct {
	Error string `json:"error"`
	Fence uint64 `json:"fence"`
}

// Order sends an order. An engine that has accepted a higher fencing token and honours fencing
// refuses with a *StaleFenceError. After a *BrokenError the order may have taken effect:
// LastOrder tells whether it has.
func (e *Engine) Order(ctx context.Context, o Order) error {
	err := e.exchange(ctx, http.MethodPost, ordersPath, o, nil)
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
		return err
	}
	var r orderRefusal
	if json.Unmarshal(refused.Body, &r) != nil || r.Error != "stale-fence" {
		return err
	}
	return &StaleFenceError{Fence: r.Fence}
}

// LastOrder returns the last order that took effect, without its argument if the engine does
// not report it; the zero Order means none.
func (e *Engine) LastOrder(ctx context.Context) (Order, error) {
	var o Order
	err := e.exchange(ctx, http.MethodGet, ordersPath, nil, &o)
	return o, err
}

// exchange sends in as JSON and decodes the response into out; either may be nil.
func (e *Engine) exchange(ctx context.Context, method, path string, in, out any) error {
	h := make(http.Header)
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode request")
		}
		h.Set("Content-Type", jsonType)
	}
	if e.orderToken != "" && path == ordersPath {
		h.Set("Authorization", "Bearer "+e.orderToken)
	}
	req, err := e.request(ctx, method, path, h, body)
	if err != nil {
		return err
	}
	resp, err := e.send(req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refusedError(resp)
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxEventSize)).Decode(out); err != nil {
		return &BrokenError{Cause: errors.Wrap(err, "decode answer")}
	}
	return nil
}
