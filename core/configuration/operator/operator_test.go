package operator_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/operator"
	"verbenashift/core/configuration/store"
)

// memory is a store in memory; fail, if set, is the error of each read.
type memory struct {
	version int64
	keys    map[string]store.KV
	fail    error
}

func (m *memory) Get(_ context.Context, key string) (store.KV, error) { return m.keys[key], m.fail }

func (m *memory) List(_ context.Context, prefix string) ([]store.KV, error) {
	var kvs []store.KV
	for k, kv := range m.keys {
		if strings.HasPrefix(k, prefix) {
			kvs = append(kvs, kv)
		}
	}
	return kvs, m.fail
}

func (m *memory) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ int64) (int64, error) {
	if m.fail != nil {
		return 0, m.fail
	}
	if cur := m.keys[key]; cur.Version != version {
		return 0, &store.ConflictError{Key: key, Current: cur}
	}
	m.version++
	m.keys[key] = store.KV{Key: key, Value: value, Version: m.version}
	return m.version, nil
}

// deployment is an administration API whose node reads the store only when the
// test calls follow.
type deployment struct {
	store *memory
	index *config.Index
	nodes []operator.Node
	url   string
	log   strings.Builder
}

const bootstrapToken = "bootstrap-token"

func newDeployment(t *testing.T) *deployment {
	d := &deployment{store: &memory{keys: map[string]store.KV{}}}
	srv := httptest.NewServer(operator.New(operator.Deps{
		Store: d.store, Fleet: d, Current: func() *config.Index { return d.index },
		BootstrapHash: config.HashToken(bootstrapToken), Log: slog.New(slog.NewJSONHandler(&d.log, nil)),
	}))
	t.Cleanup(srv.Close)
	d.url = srv.URL
	return d
}

func (d *deployment) Status(context.Context) (operator.FleetStatus, error) {
	return operator.FleetStatus{Nodes: d.nodes, Groups: []operator.GroupStatus{{Name: "captions", State: "steady"}}}, nil
}

// follow puts the store's head in force on the node.
func (d *deployment) follow(is *is.I) {
	head, _, err := intent.Head{Store: d.store}.Read(context.Background())
	is.NoErr(err)
	d.index = config.NewIndex(head)
}

func (d *deployment) client(token string) *operator.Client {
	return &operator.Client{Server: d.url, Token: token}
}

func firstConfig() config.Config {
	return config.Config{
		Workspaces: []config.Workspace{{Name: "bole-studios", TokenHashes: []string{config.HashToken("caller")}}},
		Models:     []config.Model{{Name: "captions"}},
		Targets:    []config.Target{{Name: "caption-1", Zone: "bole", Agent: "10.0.0.1:9000", Model: "captions", Group: "captions"}},
		Groups:     []config.Group{{Name: "captions", Model: "captions", Ranks: 4, Layers: 2, Experts: 8, SlotsPerRank: 3}},
		Operators: []config.Operator{
			{Name: "abeba", Role: config.RoleAdmin, TokenHash: config.HashToken("admin")},
			{Name: "mulu", Role: config.RoleOperator, TokenHash: config.HashToken("operator")},
			{Name: "selam", Role: config.RoleViewer, TokenHash: config.HashToken("viewer")},
		},
	}
}

// started returns a deployment with its first configuration in force.
func started(t *testing.T) (*deployment, *is.I) {
	is := is.New(t)
	d := newDeployment(t)
	_, err := d.client(bootstrapToken).PutConfig(t.Context(), firstConfig(), 0)
	is.NoErr(err)
	d.follow(is)
	return d, is
}

func kindOf(err error) string {
	var e *operator.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Kind
}

func TestFirstIntent(t *testing.T) {
	d, is := started(t)
	c, ctx := d.client("operator"), t.Context()
	plan, err := c.Declare(ctx, intent.Intent{Name: "month-end", Preset: intent.PresetLightbox, Models: []string{"captions"}})
	is.NoErr(err)
	is.Equal(plan.Diff, []string{"~ group captions: skew-weight 0 -> 4", "~ group captions: cost-weight 0 -> 1"})
	shown, err := c.Plan(ctx, plan.ID)
	is.NoErr(err)
	is.Equal(shown.State, intent.StatePlanned)
	confirmed, err := c.Confirm(ctx, plan.ID)
	is.NoErr(err)
	is.Equal(confirmed.Revision, uint64(2))

	d.nodes = []operator.Node{{Name: "entry-1", Revision: 2}, {Name: "caption-1", Kind: operator.KindAgent, Revision: 1}}
	st, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(st.Revision.State, operator.StateAccepted)
	is.Equal([]int{st.Revision.InForce, st.Revision.Nodes}, []int{1, 2})
	is.Equal(st.Revision.Operator, "mulu")
	d.nodes[1].Revision = 3
	st, err = c.Status(ctx)
	is.NoErr(err)
	is.Equal(st.Revision.State, operator.StateInForce)
}

func get(is *is.I, url, authorization string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	is.NoErr(err)
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return res.StatusCode, string(body)
}

// Guards against responses that let an attacker who guesses tokens and paths learn
// how near a guess was, or which paths exist. Causes would be a check that returns
// early, a router that responds before authentication, or a read of the store
// (down here) for some tokens only.
func TestUnauthenticatedCallersGetOneAnswer(t *testing.T) {
	d, is := started(t)
	d.store.fail = &store.UnavailableError{Op: "get"}
	want := ""
	for _, auth := range []string{"", "Bearer ", "Bearer x", "Basic admin", "Bearer admi", "Bearer " + bootstrapToken} {
		for _, path := range []string{"/admin/v1/status", "/admin/v1/plans/x", "/nowhere"} {
			status, body := get(is, d.url+path, auth)
			is.Equal(status, http.StatusUnauthorized)
			if want == "" {
				want = body
			}
			is.Equal(body, want)
		}
	}
}

func TestRoles(t *testing.T) {
	d, is := started(t)
	drain := config.Edit{Drain: &config.Drain{Target: "caption-1", Drained: true}}
	hire := config.Edit{PutOperator: &config.Operator{Name: "new", Role: config.RoleAdmin, TokenHash: config.HashToken("n")}}
	tests := []struct {
		token string
		edit  config.Edit
		kind  string
	}{
		{"viewer", drain, operator.KindForbidden},
		{"operator", drain, ""},
		{"operator", hire, operator.KindForbidden},
		{"operator", config.Edit{PutWorkspace: &config.Workspace{Name: "x"}}, operator.KindForbidden},
		{"operator", config.Edit{Replace: &config.Config{}}, operator.KindForbidden},
		{"admin", hire, ""},
	}
	for _, tt := range tests {
		_, err := d.client(tt.token).Edit(t.Context(), "edit", tt.edit)
		is.Equal(kindOf(err), tt.kind) // kind of the answer
	}
	_, err := d.client("operator").PutConfig(t.Context(), config.Config{}, 1)
	is.Equal(kindOf(err), operator.KindForbidden)
}

// Guards against a plan confirmed with a revoked token at an entry whose
// configuration is some seconds old and still contains the token.
func TestRevokedOperatorChangesNothing(t *testing.T) {
	d, is := started(t)
	_, err := d.client("admin").Edit(t.Context(), "revoke", config.Edit{RemoveOperator: "mulu"})
	is.NoErr(err)
	version := d.store.version
	_, err = d.client("operator").Edit(t.Context(), "drain", config.Edit{Drain: &config.Drain{Target: "caption-1", Drained: true}})
	is.Equal(kindOf(err), operator.KindUnauthenticated)
	is.Equal(d.store.version, version)
}

// Guards against a bootstrap token that is accepted long after the first
// configuration by a node that has just started and knows no operators: it would give
// the role of an administrator to whoever found the old token.
func TestBootstrapTokenEndsWithTheFirstOperator(t *testing.T) {
	d, is := started(t)
	d.store.fail = &store.UnavailableError{Op: "get"}
	_, err := d.client(bootstrapToken).Config(t.Context())
	is.Equal(kindOf(err), operator.KindUnauthenticated) // by the node's own configuration
	d.index, d.store.fail = nil, nil
	_, err = d.client(bootstrapToken).Config(t.Context())
	is.Equal(kindOf(err), operator.KindUnauthenticated)
	d.store.fail = &store.UnavailableError{Op: "get"}
	_, err = d.client(bootstrapToken).Config(t.Context())
	is.Equal(kindOf(err), operator.KindUnavailable)
}

func TestStoreOutage(t *testing.T) {
	d, is := started(t)
	d.store.fail = &store.UnavailableError{Op: "get"}
	c := d.client("admin")
	st, err := c.Status(t.Context())
	is.NoErr(err)
	is.True(!st.StoreReachable)
	is.Equal(st.Revision.Revision, uint64(1))
	doc, err := c.Config(t.Context())
	is.NoErr(err)
	is.Equal(doc.Source, operator.SourceNode)
	_, err = c.Edit(t.Context(), "drain", config.Edit{Drain: &config.Drain{Target: "caption-1"}})
	is.Equal(kindOf(err), operator.KindUnavailable)
}

// The store is restored from a backup of the day before. Operators see that it
// holds an older configuration, and changes are rejected until an administrator
// restores the one in force, at an entry with the highest revision of all nodes.
func TestStoreRestoredFromACopy(t *testing.T) {
	d, is := started(t)
	c, ctx := d.client("admin"), t.Context()
	saved := d.store.keys[intent.HeadKey]
	drain := config.Edit{Drain: &config.Drain{Target: "caption-1", Drained: true}}
	_, err := c.Edit(ctx, "drain", drain)
	is.NoErr(err)
	d.follow(is)
	d.store.keys[intent.HeadKey] = saved
	_, err = c.Edit(ctx, "drain", drain)
	is.Equal(kindOf(err), operator.KindRegressed)
	st, err := c.Status(ctx)
	is.NoErr(err)
	is.True(st.StoreReachable && st.StoreBehind)
	is.Equal(st.Revision.Revision, uint64(2))
	d.nodes = []operator.Node{{Name: "entry-2", Revision: 3}}
	_, err = c.Restore(ctx)
	is.Equal(kindOf(err), operator.KindRegressed) // entry-2 has a higher revision
	d.nodes[0].Revision = 2
	accepted, err := c.Restore(ctx)
	is.NoErr(err)
	is.Equal(accepted.Revision, uint64(2))
	_, err = c.Restore(ctx)
	is.Equal(kindOf(err), operator.KindConflict) // the store already holds it: a later change would be undone
	doc, err := c.Config(ctx)
	is.NoErr(err)
	is.True(doc.Config.Targets[0].Drained)
}

func TestConflictNamesTheWinner(t *testing.T) {
	d, is := started(t)
	ctx := t.Context()
	in := intent.Intent{Name: "first", Workspaces: []config.Share{{Workspace: "bole-studios", Share: 2}}}
	first, err := d.client("operator").Declare(ctx, in)
	is.NoErr(err)
	in.Name, in.Workspaces[0].Share = "second", 3
	second, err := d.client("admin").Declare(ctx, in)
	is.NoErr(err)
	_, err = d.client("operator").Confirm(ctx, first.ID)
	is.NoErr(err)
	_, err = d.client("admin").Confirm(ctx, second.ID)
	var conflict *operator.Error
	is.True(errors.As(err, &conflict))
	is.Equal([]string{conflict.Kind, conflict.Winner, conflict.Operator}, []string{operator.KindConflict, first.ID, "mulu"})
	is.Equal(conflict.Revision, uint64(2))
	_, err = d.client("admin").PutConfig(ctx, firstConfig(), 1) // made from revision 1
	is.Equal(kindOf(err), operator.KindConflict)
	list, err := d.client("viewer").Revisions(ctx)
	is.NoErr(err)
	is.Equal([]string{list[1].Operator, list[1].Action}, []string{"mulu", "confirm plan first.1"})
}

// cutting closes the first connection after the request was handled.
type cutting struct {
	cuts int
}

func (c *cutting) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && c.cuts > 0 {
		c.cuts--
		res.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return res, err
}

// Guards against a change made twice when the entry fails after the change and
// before its response: the client's retry must get the revision of the first.
func TestClientRepeatsWithOneIdentifier(t *testing.T) {
	d, is := started(t)
	c := d.client("operator")
	c.HTTP = &http.Client{Transport: &cutting{cuts: 1}}
	accepted, err := c.Edit(t.Context(), "drain", config.Edit{Drain: &config.Drain{Target: "caption-1", Drained: true}})
	is.NoErr(err)
	is.Equal(accepted.Revision, uint64(2))
	head, _, err := intent.Head{Store: d.store}.Read(t.Context())
	is.NoErr(err)
	is.Equal(head.Revision, uint64(2))
	c.HTTP = &http.Client{Transport: &cutting{cuts: 9}}
	_, err = c.Edit(t.Context(), "undrain", config.Edit{Drain: &config.Drain{Target: "caption-1"}})
	is.Equal(kindOf(err), operator.KindUnknown) // the change may have been made
}

func TestSecretsAreNotDisclosed(t *testing.T) {
	d, is := started(t)
	hash := config.HashToken("caller")
	_, body := get(is, d.url+"/admin/v1/config", "Bearer viewer")
	is.True(!strings.Contains(body, hash))
	_, body = get(is, d.url+"/admin/v1/config", "Bearer admin")
	is.True(strings.Contains(body, hash)) // an administrator's copy can be restored
	_, err := d.client("admin").Edit(t.Context(), "put", config.Edit{PutWorkspace: &config.Workspace{Name: "x", TokenHashes: []string{hash}}})
	is.Equal(kindOf(err), operator.KindInvalid)
	is.True(!strings.Contains(err.Error(), hash))
	for _, secret := range []string{hash, "admin-token", bootstrapToken, "Bearer"} {
		is.True(!strings.Contains(d.log.String(), secret))
	}
	is.True(strings.Contains(d.log.String(), `"operator":"abeba"`))
}

func TestBadBodies(t *testing.T) {
	d, is := started(t)
	for _, body := range []string{"", "{", `{"edit": []}`} {
		req, err := http.NewRequest(http.MethodPost, d.url+"/admin/v1/edits", strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer admin")
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusBadRequest)
	}
}
