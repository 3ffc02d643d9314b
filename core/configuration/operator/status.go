package operator

import (
	"net/http"

	"github.com/gorilla/mux"

	"verbenashift/core/configuration/config"
)

func (a *api) status(r *http.Request, _ actor) (any, error) {
	d := a.document(r)
	fleet, err := a.Fleet.Status(r.Context())
	if err != nil {
		return nil, err
	}
	all := revisionStates(d.Config, fleet.Nodes)
	s := Status{StoreReachable: d.Source == SourceStore || d.StoreBehind, StoreBehind: d.StoreBehind, FleetStatus: fleet}
	s.Revision = stateOf(d.Config.Revision, fleet.Nodes)
	if len(all) > 0 {
		s.Revision = all[len(all)-1]
	}
	return s, nil
}

func (a *api) revisions(r *http.Request, _ actor) (any, error) {
	fleet, err := a.Fleet.Status(r.Context())
	if err != nil {
		return nil, err
	}
	return revisionStates(a.document(r).Config, fleet.Nodes), nil
}

// revisionStates returns the retained revisions, oldest first.
func revisionStates(c config.Config, nodes []Node) []RevisionState {
	changes := make(map[uint64]string, len(c.Changes))
	for _, ch := range c.Changes {
		changes[ch.Revision] = ch.ID
	}
	states := make([]RevisionState, 0, len(c.Audit))
	for _, rec := range c.Audit {
		s := stateOf(rec.Revision, nodes)
		s.Operator, s.Action, s.UnixMillis = rec.Operator, rec.Action, rec.UnixMillis
		s.ChangeID = changes[rec.Revision]
		states = append(states, s)
	}
	return states
}

// stateOf counts the nodes that have the revision in force. A node with a higher
// revision counts as well, since nodes never go back.
func stateOf(revision uint64, nodes []Node) RevisionState {
	s := RevisionState{Revision: revision, State: StateAccepted, Nodes: len(nodes)}
	for _, n := range nodes {
		if n.Revision >= revision {
			s.InForce++
		}
	}
	if s.InForce == s.Nodes && s.Nodes > 0 {
		s.State = StateInForce
	}
	return s
}

func (a *api) targets(r *http.Request, _ actor) (any, error) {
	fleet, err := a.Fleet.Status(r.Context())
	if err != nil {
		return nil, err
	}
	nodes := make(map[string]*Node, len(fleet.Nodes))
	for i, n := range fleet.Nodes {
		if n.Kind == KindAgent {
			nodes[n.Name] = &fleet.Nodes[i]
		}
	}
	list := []TargetStatus{}
	cfg := a.document(r).Config
	for _, t := range cfg.Targets {
		list = append(list, TargetStatus{Target: t, Evacuated: cfg.Evacuated(t.Zone), Node: nodes[t.Name]})
	}
	return list, nil
}

func (a *api) workspaces(r *http.Request, _ actor) (any, error) {
	return append([]config.Workspace{}, a.document(r).Config.Masked().Workspaces...), nil
}

func (a *api) groups(r *http.Request, _ actor) (any, error) {
	return a.groupViews(r)
}

func (a *api) group(r *http.Request, _ actor) (any, error) {
	name := mux.Vars(r)["name"]
	all, err := a.groupViews(r)
	if err != nil {
		return nil, err
	}
	for _, g := range all {
		if g.Name == name {
			return g, nil
		}
	}
	return nil, &config.NotFoundError{Kind: "group", Name: name}
}

func (a *api) groupViews(r *http.Request) ([]GroupView, error) {
	fleet, err := a.Fleet.Status(r.Context())
	if err != nil {
		return nil, err
	}
	x := config.NewIndex(a.document(r).Config)
	list := []GroupView{}
	for _, g := range x.Config().Groups {
		list = append(list, groupView(x, g, fleet.Groups))
	}
	return list, nil
}

func groupView(x *config.Index, g config.Group, measured []GroupStatus) GroupView {
	v := GroupView{Group: g}
	for _, t := range x.TargetsOfGroup(g.Name) {
		v.Targets = append(v.Targets, t.Name)
	}
	for i, m := range measured {
		if m.Name == g.Name {
			v.Status = &measured[i]
		}
	}
	return v
}
