// Package intent turns the intents that operators declare for a closing into
// plans, and confirmed plans into revisions of the configuration.
//
// An Intent says which workspaces, models and targets take part and how the
// load is to be shared. The result is a Plan: the edits, a readable difference,
// and the expected skew and cost. Nothing changes until an operator confirms the
// plan. A confirmation is one compare-and-swap of the configuration's head key,
// so that all changes are totally ordered; of two concurrent ones the later gets
// a *ConflictError that names the winner.
//
// # Usage
//
//	p := &intent.Planner{Head: intent.Head{Store: client}, Forecaster: intent.Estimator{}}
//	plan, err := p.Declare(ctx, in, intent.Request{ID: id, Operator: "abeba", Now: now})
//	if err != nil {
//		return err
//	}
//	plan, err = p.Confirm(ctx, plan.ID, intent.Request{ID: id, Operator: "abeba", Now: now})
//	var conflict *intent.ConflictError
//	if errors.As(err, &conflict) {
//		return fmt.Errorf("%s was first", conflict.Winner)
//	}
package intent

import (
	"fmt"
	"math"
	"slices"
	"time"

	"verbenashift/core/configuration/config"
)

// The presets of weights.
const (
	// PresetLightbox gives skew the higher weight: short urgent requests wait for
	// the slowest rank.
	PresetLightbox = "lightbox"
	// PresetLakeshore gives the cost of moves the higher weight: long drafts are at
	// risk while experts move.
	PresetLakeshore = "lakeshore"
)

// presetMajor and presetMinor are the higher and the lower weight of a preset.
const (
	presetMajor = 4
	presetMinor = 1
)

// maxListed bounds the length of each list of an intent.
const maxListed = 4096

// Intent is what an operator declares for a closing.
type Intent struct {
	// Name is the name of the closing; declaring it again replaces its plan.
	Name string `json:"name"`
	// Workspaces take part with these shares.
	Workspaces []config.Share `json:"workspaces,omitempty"`
	// Models take part; the weights go to the groups that serve them.
	Models []string `json:"models,omitempty"`
	// Targets take part: those that are drained get work again. Other
	// targets are left as they are.
	Targets []string `json:"targets,omitempty"`
	// Preset is "lightbox", "lakeshore" or empty for the weights below.
	Preset     string  `json:"preset,omitempty"`
	SkewWeight float64 `json:"skew-weight,omitempty"`
	CostWeight float64 `json:"cost-weight,omitempty"`
	// MaxSkew, MaxBytes and MaxSeconds bound the plan's forecast; 0 means no
	// bound. A plan that exceeds a bound cannot be confirmed.
	MaxSkew    float64 `json:"max-skew,omitempty"`
	MaxBytes   int64   `json:"max-bytes,omitempty"`
	MaxSeconds float64 `json:"max-seconds,omitempty"`
}

// Weights returns the weights of skew and cost that the intent asks for.
func (in Intent) Weights() (skew, cost float64) {
	switch in.Preset {
	case PresetLightbox:
		return presetMajor, presetMinor
	case PresetLakeshore:
		return presetMinor, presetMajor
	default:
		return in.SkewWeight, in.CostWeight
	}
}

// Validate checks the intent by itself. Its error is a *config.InvalidError.
func (in Intent) Validate() error {
	if !config.ValidName(in.Name) {
		return invalid("name", in.Name, "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit")
	}
	if !slices.Contains([]string{"", PresetLightbox, PresetLakeshore}, in.Preset) {
		return invalid("preset", in.Preset, "lightbox, lakeshore or none")
	}
	if in.Preset != "" && (in.SkewWeight != 0 || in.CostWeight != 0) {
		return invalid("preset", in.Preset, "either a preset or weights")
	}
	if len(in.Workspaces)+len(in.Models)+len(in.Targets) == 0 {
		return invalid("models", "", "at least one workspace, model or target")
	}
	if max(len(in.Workspaces), len(in.Models), len(in.Targets)) > maxListed {
		return invalid("models", "", fmt.Sprintf("at most %d names in a list", maxListed))
	}
	for _, n := range in.numbers() {
		if math.IsNaN(n.value) || math.IsInf(n.value, 0) || n.value < 0 {
			return invalid(n.field, fmt.Sprint(n.value), "a number from 0")
		}
	}
	return nil
}

type number struct {
	field string
	value float64
}

func (in Intent) numbers() []number {
	return []number{
		{"skew-weight", in.SkewWeight},
		{"cost-weight", in.CostWeight},
		{"max-skew", in.MaxSkew},
		{"max-bytes", float64(in.MaxBytes)},
		{"max-seconds", in.MaxSeconds},
	}
}

func invalid(field, value, want string) error {
	return &config.InvalidError{Field: "intent." + field, Value: value, Want: want}
}

// Edits returns the edits of cur that the intent requires, without those that
// would change nothing. A name that cur lacks is a *config.NotFoundError.
func (in Intent) Edits(cur config.Config) ([]config.Edit, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	x := config.NewIndex(cur)
	var edits []config.Edit
	for _, s := range in.Workspaces {
		w, ok := x.Workspace(s.Workspace)
		if !ok {
			return nil, &config.NotFoundError{Kind: "workspace", Name: s.Workspace}
		}
		if w.Share != s.Share {
			edits = append(edits, config.Edit{Share: &s})
		}
	}
	for _, name := range in.Targets {
		t, ok := x.Target(name)
		if !ok {
			return nil, &config.NotFoundError{Kind: "target", Name: name}
		}
		if t.Drained {
			edits = append(edits, config.Edit{Drain: &config.Drain{Target: name}})
		}
	}
	for _, name := range in.Models {
		if _, ok := x.Model(name); !ok {
			return nil, &config.NotFoundError{Kind: "model", Name: name}
		}
	}
	return append(edits, in.weightEdits(cur)...), nil
}

func (in Intent) weightEdits(cur config.Config) []config.Edit {
	skew, cost := in.Weights()
	if skew == 0 && cost == 0 {
		return nil
	}
	var edits []config.Edit
	for _, g := range in.Groups(cur) {
		if g.SkewWeight == skew && g.CostWeight == cost {
			continue
		}
		edits = append(edits, config.Edit{GroupWeights: &config.GroupWeights{Group: g.Name, SkewWeight: skew, CostWeight: cost}})
	}
	return edits
}

// Groups returns the groups of cur that serve the intent's models.
func (in Intent) Groups(cur config.Config) []config.Group {
	var groups []config.Group
	for _, g := range cur.Groups {
		if slices.Contains(in.Models, g.Model) {
			groups = append(groups, g)
		}
	}
	return groups
}

// Request identifies a request, its operator and its time.
type Request struct {
	// ID identifies the request across retries; it must not be empty.
	ID       string
	Operator string
	// Now is the wall time at the entry.
	Now time.Time
	// Allowed, if set, is called with the head before each change of it: this node
	// may not know yet that an operator's role was revoked.
	Allowed func(head config.Config) error
}

func (r Request) allowed(head config.Config) error {
	if r.Allowed == nil {
		return nil
	}
	return r.Allowed(head)
}

func (r Request) validate() error {
	if !config.ValidName(r.ID) {
		return &config.InvalidError{Field: "request.id", Value: r.ID, Want: "an identifier of letters, digits, '.', '_' or '-'"}
	}
	return nil
}
