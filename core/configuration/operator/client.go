package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
)

// maxAnswer limits the size of a response that a client reads, in bytes.
const maxAnswer = 8 << 20

// maxTries limits how often a client sends one request.
const maxTries = 3

// Client calls the administration API. It retries a request with the same
// identifier if the connection failed before the response. Its errors are *Error.
type Client struct {
	// Server is the URL of an entry's administration listener.
	Server string
	Token  string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// RequestID, if set, is used for every write instead of a random one. It
	// serves to retry a request of an earlier process whose answer was lost.
	RequestID string
}

func (c *Client) newID() string {
	if c.RequestID != "" {
		return c.RequestID
	}
	return rand.Text()
}

// Status returns the state of the whole system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Revisions returns the retained revisions, oldest first.
func (c *Client) Revisions(ctx context.Context) ([]RevisionState, error) {
	return call[[]RevisionState](ctx, c, http.MethodGet, "/revisions", nil)
}

// Config returns the newest configuration known. Digests of tokens are
// complete for administrators only.
func (c *Client) Config(ctx context.Context) (Document, error) {
	return call[Document](ctx, c, http.MethodGet, "/config", nil)
}

// PutConfig replaces the whole document if the head is at revision base.
func (c *Client) PutConfig(ctx context.Context, cfg config.Config, base uint64) (Accepted, error) {
	req := PutConfigRequest{RequestID: c.newID(), BaseRevision: base, Config: cfg}
	return call[Accepted](ctx, c, http.MethodPut, "/config", req)
}

// Restore writes the configuration in force back to a store that holds an older
// one.
func (c *Client) Restore(ctx context.Context) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/config/restore", nil)
}

// Edit makes edits on top of the head; action describes them in the audit
// record.
func (c *Client) Edit(ctx context.Context, action string, edits ...config.Edit) (Accepted, error) {
	req := EditsRequest{RequestID: c.newID(), Action: action, Edits: edits}
	return call[Accepted](ctx, c, http.MethodPost, "/edits", req)
}

// EditAt makes edits if the head is at revision base, from which the edits were
// made.
func (c *Client) EditAt(ctx context.Context, base uint64, action string, edits ...config.Edit) (Accepted, error) {
	req := EditsRequest{RequestID: c.newID(), BaseRevision: &base, Action: action, Edits: edits}
	return call[Accepted](ctx, c, http.MethodPost, "/edits", req)
}

// Declare declares an intent and returns its plan.
func (c *Client) Declare(ctx context.Context, in intent.Intent) (intent.Plan, error) {
	return call[intent.Plan](ctx, c, http.MethodPost, "/intents", DeclareRequest{RequestID: c.newID(), Intent: in})
}

// Intents returns the newest plan of each intent.
func (c *Client) Intents(ctx context.Context) ([]intent.Plan, error) {
	return call[[]intent.Plan](ctx, c, http.MethodGet, "/intents", nil)
}

// Intent returns an intent with its plans.
func (c *Client) Intent(ctx context.Context, name string) (intent.Record, error) {
	return call[intent.Record](ctx, c, http.MethodGet, "/intents/"+url.PathEscape(name), nil)
}

// Plan returns a plan.
func (c *Client) Plan(ctx context.Context, id string) (intent.Plan, error) {
	return call[intent.Plan](ctx, c, http.MethodGet, "/plans/"+url.PathEscape(id), nil)
}

// Confirm makes a revision from a plan.
func (c *Client) Confirm(ctx context.Context, id string) (intent.Plan, error) {
	return c.closePlan(ctx, id, "/confirm")
}

// Abandon rejects a plan.
func (c *Client) Abandon(ctx context.Context, id string) (intent.Plan, error) {
	return c.closePlan(ctx, id, "/abandon")
}

func (c *Client) closePlan(ctx context.Context, id, verb string) (intent.Plan, error) {
	path := "/plans/" + url.PathEscape(id) + verb
	return call[intent.Plan](ctx, c, http.MethodPost, path, CloseRequest{RequestID: c.newID()})
}

// Targets returns the targets with the state of their agents.
func (c *Client) Targets(ctx context.Context) ([]TargetStatus, error) {
	return call[[]TargetStatus](ctx, c, http.MethodGet, "/targets", nil)
}

// Workspaces returns the workspaces; digests of tokens are shortened.
func (c *Client) Workspaces(ctx context.Context) ([]config.Workspace, error) {
	return call[[]config.Workspace](ctx, c, http.MethodGet, "/workspaces", nil)
}

// Groups returns the expert-parallel groups.
func (c *Client) Groups(ctx context.Context) ([]GroupView, error) {
	return call[[]GroupView](ctx, c, http.MethodGet, "/groups", nil)
}

// Group returns one expert-parallel group.
func (c *Client) Group(ctx context.Context, name string) (GroupView, error) {
	return call[GroupView](ctx, c, http.MethodGet, "/groups/"+url.PathEscape(name), nil)
}

// call sends one request and reads the answer.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var v T
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return v, errors.Wrap(err, "encode request")
		}
	}
	var last error
	for range maxTries {
		data, err := c.send(ctx, method, path, payload)
		var answered *Error
		if err == nil {
			return decodeAnswer[T](data)
		}
		if errors.As(err, &answered) {
			return v, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return v, unanswered(method, last)
}

func decodeAnswer[T any](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, errors.Wrap(err, "decode answer")
	}
	return v, nil
}

// unanswered returns the error of a request without any response.
func unanswered(method string, cause error) *Error {
	if method == http.MethodGet {
		return &Error{Kind: KindUnavailable, Message: fmt.Sprintf("no answer: %v", cause)}
	}
	return &Error{
		Kind:    KindUnknown,
		Message: fmt.Sprintf("no answer, the change may have taken effect; send it again with the same request identifier: %v", cause),
	}
}

func (c *Client) send(ctx context.Context, method, path string, payload []byte) ([]byte, error) {
	target := strings.TrimSuffix(c.Server, "/") + Prefix + path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(payload))
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Message: "bad server URL"}
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if res.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, decodeError(res.StatusCode, data)
}

func decodeError(status int, data []byte) *Error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return &Error{Status: status, Kind: KindInternal, Message: fmt.Sprintf("status %d without a readable body", status)}
	}
	body.Error.Status = status
	return body.Error
}
