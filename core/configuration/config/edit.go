package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// MaxChanges and MaxAudit bound the changes and audit records that a
// configuration retains; the oldest are dropped first. At 420 changes a day
// the 256 retained cover more than half a day, far longer than any retry of
// a change whose answer was lost.
const (
	MaxChanges = 256
	MaxAudit   = 256
)

// Change is a set of edits that is accepted or rejected atomically.
type Change struct {
	// ID identifies the change across retries; it must not be empty.
	ID string `json:"id"`
	// Operator is the name of the operator who asked for the change.
	Operator string `json:"operator"`
	// Action describes the change in the audit record.
	Action string `json:"action"`
	// UnixMillis is the wall time at the entry that received the change.
	UnixMillis int64 `json:"unix-millis"`
	// Edits are applied in order. The list may be empty, which makes a revision
	// that differs by its audit record only.
	Edits []Edit `json:"edits,omitempty"`
}

// Edit is one typed edit; exactly one of its fields is set.
type Edit struct {
	// Replace replaces the whole document, except for its revision, its changes,
	// its past targets and its audit records.
	Replace         *Config       `json:"replace,omitempty"`
	PutWorkspace    *Workspace    `json:"put-workspace,omitempty"`
	RemoveWorkspace string        `json:"remove-workspace,omitempty"`
	PutModel        *Model        `json:"put-model,omitempty"`
	RemoveModel     string        `json:"remove-model,omitempty"`
	PutService      *Service      `json:"put-service,omitempty"`
	RemoveService   string        `json:"remove-service,omitempty"`
	PutTarget       *Target       `json:"put-target,omitempty"`
	RemoveTarget    string        `json:"remove-target,omitempty"`
	PutGroup        *Group        `json:"put-group,omitempty"`
	RemoveGroup     string        `json:"remove-group,omitempty"`
	PutOperator     *Operator     `json:"put-operator,omitempty"`
	RemoveOperator  string        `json:"remove-operator,omitempty"`
	Drain           *Drain        `json:"drain,omitempty"`
	Evacuate        *Evacuate     `json:"evacuate,omitempty"`
	Share           *Share        `json:"share,omitempty"`
	GroupWeights    *GroupWeights `json:"group-weights,omitempty"`
}

// Drain sets or clears the flag that a target gets no new work.
type Drain struct {
	Target  string `json:"target"`
	Drained bool   `json:"drained"`
}

// Share sets the weight of a workspace in fair queueing.
type Share struct {
	Workspace string  `json:"workspace"`
	Share     float64 `json:"share"`
}

// GroupWeights sets what the expert planner of a group minimises.
type GroupWeights struct {
	Group      string  `json:"group"`
	SkewWeight float64 `json:"skew-weight"`
	CostWeight float64 `json:"cost-weight"`
}

// NeedsAdmin reports whether the edit may change which tokens are valid, or
// what they permit.
func (e Edit) NeedsAdmin() bool {
	return e.Replace != nil || e.PutOperator != nil || e.RemoveOperator != "" ||
		e.PutWorkspace != nil || e.RemoveWorkspace != ""
}

// Applied returns the record of the change with the given identifier, if c
// retains it.
func (c Config) Applied(id string) (AppliedChange, bool) {
	return c.findChange(func(a AppliedChange) bool { return a.ID == id })
}

// AppliedPrefix returns the newest retained change whose identifier begins
// with prefix.
func (c Config) AppliedPrefix(prefix string) (AppliedChange, bool) {
	return c.findChange(func(a AppliedChange) bool { return strings.HasPrefix(a.ID, prefix) })
}

func (c Config) findChange(match func(AppliedChange) bool) (AppliedChange, bool) {
	for _, a := range slices.Backward(c.Changes) {
		if match(a) {
			return a, true
		}
	}
	return AppliedChange{}, false
}

// Apply returns the revision that follows cur when change is accepted. It
// does not modify cur. An invalid edit or result is an *InvalidError, and a
// name that an edit refers to but cur lacks is a *NotFoundError.
func Apply(cur Config, change Change) (Config, error) {
	if change.ID == "" {
		return Config{}, &InvalidError{Field: "change.id", Want: "a non-empty identifier"}
	}
	next := cur
	for i, e := range change.Edits {
		if err := e.apply(&next); err != nil {
			return Config{}, errors.Wrapf(err, "edit %d", i+1)
		}
	}
	recordPastTargets(cur, &next, change.UnixMillis)
	next.Revision = cur.Revision + 1
	next.ChangeID = change.ID
	next.Changes = appendBounded(cur.Changes, MaxChanges,
		AppliedChange{ID: change.ID, Revision: next.Revision, Operator: change.Operator})
	next.Audit = appendBounded(cur.Audit, MaxAudit, AuditRecord{
		Revision: next.Revision, Operator: change.Operator, Action: change.Action, UnixMillis: change.UnixMillis,
	})
	if err := Validate(next); err != nil {
		return Config{}, err
	}
	return next, checkAdmins(cur, next)
}

// checkAdmins rejects a change that removes the last administrator: afterwards
// one could be added only with the bootstrap token, which may be lost or
// compromised by then.
func checkAdmins(cur, next Config) error {
	isAdmin := func(o Operator) bool { return o.Role == RoleAdmin }
	if slices.ContainsFunc(cur.Operators, isAdmin) && !slices.ContainsFunc(next.Operators, isAdmin) {
		return &InvalidError{Field: "operators", Value: "no admin", Want: "at least one operator with the role admin"}
	}
	return nil
}

// appendBounded returns a copy of list with v at its end, so that revisions
// never share a backing array that one of them writes to.
func appendBounded[T any](list []T, limit int, v T) []T {
	if drop := len(list) + 1 - limit; drop > 0 {
		list = list[drop:]
	}
	return append(slices.Clone(list), v)
}

func (e Edit) apply(c *Config) error {
	ops := e.operations()
	if len(ops) != 1 {
		return &InvalidError{Field: "edit", Value: fmt.Sprintf("%d kinds", len(ops)), Want: "exactly one kind of edit"}
	}
	return ops[0](c)
}

// operations returns one function for each field of the edit that is set.
func (e Edit) operations() []func(*Config) error {
	var ops []func(*Config) error
	add := func(set bool, op func(*Config) error) {
		if set {
			ops = append(ops, op)
		}
	}
	add(e.Replace != nil, e.replace)
	add(e.PutWorkspace != nil, func(c *Config) error { return put(&c.Workspaces, e.PutWorkspace) })
	add(e.RemoveWorkspace != "", func(c *Config) error { return remove(&c.Workspaces, "workspace", e.RemoveWorkspace) })
	add(e.PutModel != nil, func(c *Config) error { return put(&c.Models, e.PutModel) })
	add(e.RemoveModel != "", func(c *Config) error { return remove(&c.Models, "model", e.RemoveModel) })
	add(e.PutService != nil, func(c *Config) error { return put(&c.Services, e.PutService) })
	add(e.RemoveService != "", func(c *Config) error { return remove(&c.Services, "service", e.RemoveService) })
	add(e.PutTarget != nil, func(c *Config) error { return put(&c.Targets, e.PutTarget) })
	add(e.RemoveTarget != "", func(c *Config) error { return remove(&c.Targets, "target", e.RemoveTarget) })
	add(e.PutGroup != nil, func(c *Config) error { return put(&c.Groups, e.PutGroup) })
	add(e.RemoveGroup != "", func(c *Config) error { return remove(&c.Groups, "group", e.RemoveGroup) })
	add(e.PutOperator != nil, func(c *Config) error { return put(&c.Operators, e.PutOperator) })
	add(e.RemoveOperator != "", func(c *Config) error { return remove(&c.Operators, "operator", e.RemoveOperator) })
	add(e.Drain != nil, e.drain)
	add(e.Evacuate != nil, func(c *Config) error { return e.Evacuate.apply(c) })
	add(e.Share != nil, e.share)
	add(e.GroupWeights != nil, e.groupWeights)
	return ops
}

func (e Edit) replace(c *Config) error {
	old := *c
	*c = *e.Replace
	c.Revision, c.Changes, c.Audit, c.PastTargets = old.Revision, old.Changes, old.Audit, old.PastTargets
	return nil
}

func (e Edit) drain(c *Config) error {
	return modify(&c.Targets, "target", e.Drain.Target, func(t *Target) { t.Drained = e.Drain.Drained })
}

func (e Edit) share(c *Config) error {
	return modify(&c.Workspaces, "workspace", e.Share.Workspace, func(w *Workspace) { w.Share = e.Share.Share })
}

func (e Edit) groupWeights(c *Config) error {
	return modify(&c.Groups, "group", e.GroupWeights.Group, func(g *Group) {
		g.SkewWeight, g.CostWeight = e.GroupWeights.SkewWeight, e.GroupWeights.CostWeight
	})
}

// named is an element of the lists of a configuration.
type named interface{ name() string }

func (w Workspace) name() string { return w.Name }
func (m Model) name() string     { return m.Name }
func (s Service) name() string   { return s.Name }
func (t Target) name() string    { return t.Name }
func (g Group) name() string     { return g.Name }
func (o Operator) name() string  { return o.Name }

func find[T named](list []T, name string) int {
	return slices.IndexFunc(list, func(v T) bool { return v.name() == name })
}

func put[T named](list *[]T, v *T) error {
	next := slices.Clone(*list)
	if i := find(next, (*v).name()); i >= 0 {
		next[i] = *v
		*list = next
		return nil
	}
	*list = append(next, *v)
	return nil
}

func remove[T named](list *[]T, kind, name string) error {
	i := find(*list, name)
	if i < 0 {
		return &NotFoundError{Kind: kind, Name: name}
	}
	*list = slices.Delete(slices.Clone(*list), i, i+1)
	return nil
}

func modify[T named](list *[]T, kind, name string, edit func(*T)) error {
	i := find(*list, name)
	if i < 0 {
		return &NotFoundError{Kind: kind, Name: name}
	}
	next := slices.Clone(*list)
	edit(&next[i])
	*list = next
	return nil
}
