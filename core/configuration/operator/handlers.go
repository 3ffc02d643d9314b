package operator

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
)

// request returns the intent request of an operator. The role is checked
// again with the head when a change is made on top of it.
func request(id string, who actor, role string) intent.Request {
	return intent.Request{
		ID: id, Operator: who.name, Now: time.Now(),
		Allowed: func(head config.Config) error { return who.allowedBy(head, role) },
	}
}

// document returns the head, or the configuration in force on this node while
// the store is unreachable or holds an older one.
func (a *api) document(r *http.Request) Document {
	head, _, err := a.planner.Head.Read(r.Context())
	if err == nil {
		return Document{Config: head, Source: SourceStore}
	}
	d := Document{Config: a.index().Config(), Source: SourceNode}
	var regressed *intent.RegressedError
	d.StoreBehind = errors.As(err, &regressed)
	return d
}

func (a *api) config(r *http.Request, who actor) (any, error) {
	d := a.document(r)
	if !config.Allows(who.role, config.RoleAdmin) {
		d.Config = d.Config.Masked()
	}
	return d, nil
}

func (a *api) putConfig(r *http.Request, who actor) (any, error) {
	var req PutConfigRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	edits := []config.Edit{{Replace: &req.Config}}
	return a.accept(r, edits, "put configuration", &req.BaseRevision, request(req.RequestID, who, config.RoleAdmin))
}

// restore writes the configuration in force back to a store that was itself
// restored from an older backup. If another node has a higher revision, that node
// must do it: the number of its revision would otherwise be assigned a second
// time.
func (a *api) restore(r *http.Request, _ actor) (any, error) {
	fleet, err := a.Fleet.Status(r.Context())
	if err != nil {
		return nil, err
	}
	inForce := a.index().Config()
	for _, n := range fleet.Nodes {
		if n.Revision > inForce.Revision {
			return nil, &intent.RegressedError{Stored: inForce.Revision, InForce: n.Revision}
		}
	}
	if err := a.planner.Head.Restore(r.Context(), inForce); err != nil {
		return nil, err
	}
	return Accepted{
		AppliedChange: config.AppliedChange{ID: inForce.ChangeID, Revision: inForce.Revision}, State: StateAccepted,
	}, nil
}

func (a *api) edits(r *http.Request, who actor) (any, error) {
	var req EditsRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	role := config.RoleOperator
	for _, e := range req.Edits {
		if e.NeedsAdmin() {
			role = config.RoleAdmin
		}
	}
	if err := who.require(role); err != nil {
		return nil, err
	}
	if req.Action == "" {
		req.Action = "edit"
	}
	return a.accept(r, req.Edits, req.Action, req.BaseRevision, request(req.RequestID, who, role))
}

func (a *api) accept(r *http.Request, edits []config.Edit, action string, base *uint64, req intent.Request) (any, error) {
	applied, err := a.planner.Head.Edit(r.Context(), edits, action, base, req)
	if err != nil {
		return nil, err
	}
	return Accepted{AppliedChange: applied, State: StateAccepted}, nil
}

func (a *api) intents(r *http.Request, _ actor) (any, error) {
	return a.planner.Intents(r.Context())
}

func (a *api) intent(r *http.Request, _ actor) (any, error) {
	return a.planner.Intent(r.Context(), mux.Vars(r)["name"])
}

func (a *api) declare(r *http.Request, who actor) (any, error) {
	var req DeclareRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	return a.planner.Declare(r.Context(), req.Intent, request(req.RequestID, who, config.RoleOperator))
}

func (a *api) plan(r *http.Request, _ actor) (any, error) {
	return a.planner.Plan(r.Context(), mux.Vars(r)["id"])
}

func (a *api) confirm(r *http.Request, who actor) (any, error) {
	var req CloseRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	return a.planner.Confirm(r.Context(), mux.Vars(r)["id"], request(req.RequestID, who, config.RoleOperator))
}

func (a *api) abandon(r *http.Request, who actor) (any, error) {
	var req CloseRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	return a.planner.Abandon(r.Context(), mux.Vars(r)["id"], request(req.RequestID, who, config.RoleOperator))
}
