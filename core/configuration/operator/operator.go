// Package operator implements the administration API of an entry and its client.
//
// The API lives under /admin/v1 and speaks JSON with kebab-case names. Each
// request carries a bearer token. The configuration in force holds the SHA-256
// digests of the tokens; while it has no operators, a bootstrap token from the
// settings gives the role of an administrator. A viewer may read, an operator may
// also confirm plans and drain targets, and an administrator may also change
// permissions.
//
// Each write carries an identifier chosen by the client, so that it can be
// retried after a lost answer: the retry returns the result of the first
// attempt.
//
// # Usage
//
//	h := operator.New(operator.Deps{Store: client, Fleet: fleet, Current: node.Index})
//	http.ListenAndServe("10.0.0.1:8081", h)
//
//	c := &operator.Client{Server: "http://10.0.0.1:8081", Token: token}
//	plan, err := c.Declare(ctx, in)
package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
)

// Prefix is the prefix of the paths of all requests.
const Prefix = "/admin/v1"

// maxBody bounds the body of a request: a whole configuration and its
// envelope.
const maxBody = config.MaxBytes + 4096

// answers counts the responses of this process by kind of error, or "ok".
var answers = expvar.NewMap("operator-answers")

// Fleet returns the state of the nodes.
type Fleet interface {
	Status(ctx context.Context) (FleetStatus, error)
}

// Deps holds the dependencies of the API.
type Deps struct {
	Store intent.Store
	Fleet Fleet
	// Current returns the configuration in force on this node; nil while
	// there is none.
	Current func() *config.Index
	// Forecaster is used for plans; nil means intent.Estimator{}.
	Forecaster intent.Forecaster
	// BootstrapHash is the SHA-256 digest, in hex, of the token for the first
	// configuration; empty means that there is none.
	BootstrapHash string
	// Log gets one record for each change; nil means slog.Default().
	Log *slog.Logger
}

type api struct {
	Deps
	planner *intent.Planner
	empty   *config.Index
}

// handler handles a request of an operator and returns the body or an error.
type handler func(r *http.Request, a actor) (any, error)

// New returns the handler of the administration API.
func New(d Deps) http.Handler {
	a := &api{Deps: d, empty: config.NewIndex(config.Config{})}
	if a.Log == nil {
		a.Log = slog.Default()
	}
	head := intent.Head{Store: d.Store, InForce: func() uint64 { return a.index().Revision() }}
	a.planner = &intent.Planner{Head: head, Forecaster: d.Forecaster}
	r := mux.NewRouter()
	s := r.PathPrefix(Prefix).Subrouter()
	for _, rt := range a.routes() {
		s.Handle(rt.path, a.serve(rt)).Methods(rt.method)
	}
	r.NotFoundHandler = a.serve(route{role: config.RoleViewer, handle: notFound})
	r.MethodNotAllowedHandler = a.serve(route{role: config.RoleViewer, handle: notAllowed})
	return r
}

type route struct {
	method string
	path   string
	role   string
	handle handler
}

func (a *api) routes() []route {
	const get, put, post = http.MethodGet, http.MethodPut, http.MethodPost
	const viewer, operator, admin = config.RoleViewer, config.RoleOperator, config.RoleAdmin
	return []route{
		{get, "/status", viewer, a.status},
		{get, "/revisions", viewer, a.revisions},
		{get, "/config", viewer, a.config},
		{put, "/config", admin, a.putConfig},
		{post, "/config/restore", admin, a.restore},
		{post, "/edits", operator, a.edits},
		{get, "/intents", viewer, a.intents},
		{post, "/intents", operator, a.declare},
		{get, "/intents/{name}", viewer, a.intent},
		{get, "/plans/{id}", viewer, a.plan},
		{post, "/plans/{id}/confirm", operator, a.confirm},
		{post, "/plans/{id}/abandon", operator, a.abandon},
		{get, "/targets", viewer, a.targets},
		{get, "/workspaces", viewer, a.workspaces},
		{get, "/groups", viewer, a.groups},
		{get, "/groups/{name}", viewer, a.group},
	}
}

func (a *api) index() *config.Index {
	if a.Current == nil {
		return a.empty
	}
	if x := a.Current(); x != nil {
		return x
	}
	return a.empty
}

// serve returns the handler of a route. It authenticates the request before
// anything else, so that without a valid token known and unknown paths cannot be
// distinguished.
func (a *api) serve(rt route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		who, err := a.authenticate(r)
		if err == nil {
			err = who.require(rt.role)
		}
		var v any
		if err == nil {
			v, err = rt.handle(r, who)
		}
		a.answer(w, r, who, v, err)
	})
}

func (a *api) answer(w http.ResponseWriter, r *http.Request, who actor, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	kind, status := "ok", http.StatusOK
	if err != nil {
		body := describe(err)
		kind, status, v = body.Kind, body.Status, errorBody{Error: body}
		body.setHeaders(w.Header())
	}
	answers.Add(kind, 1)
	if r.Method != http.MethodGet && kind != KindUnauthenticated {
		a.Log.InfoContext(r.Context(), "administration", "operator", who.name, "method", r.Method,
			"path", r.URL.Path, "answer", kind)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readBody decodes the body of a request. An unknown field is an error, since a
// misspelt one would silently have no effect.
func readBody(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &config.TooLargeError{Bytes: int(large.Limit) + 1, Limit: int(large.Limit)}
	}
	if err != nil {
		return &config.InvalidError{Field: "body", Value: err.Error(), Want: "JSON of the documented shape"}
	}
	return nil
}

func notFound(r *http.Request, _ actor) (any, error) {
	return nil, &config.NotFoundError{Kind: "path", Name: r.URL.Path}
}

func notAllowed(r *http.Request, _ actor) (any, error) {
	return nil, &Error{Status: http.StatusMethodNotAllowed, Kind: KindInvalid, Message: "method " + r.Method + " is not allowed here"}
}
