package intent

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"verbenashift/core/configuration/config"
)

// State is the state of a plan.
type State string

// The states of a plan.
const (
	// StateDeclared says that the intent is stored but could not be planned.
	StateDeclared State = "declared"
	// StatePlanned says that the plan waits for a confirmation.
	StatePlanned State = "planned"
	// StateConfirmed says that the plan became a revision.
	StateConfirmed State = "confirmed"
	// StateAbandoned says that an operator rejected the plan.
	StateAbandoned State = "abandoned"
	// StateSuperseded says that the intent was declared again, or that the plan's
	// base revision is too old to confirm it.
	StateSuperseded State = "superseded"
)

// Plan is the result of declaring an intent.
type Plan struct {
	// ID is the intent's name, a dot and the number of the declaration.
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	State  State  `json:"state"`
	// Reason says why the plan could not be made, or is superseded.
	Reason string `json:"reason,omitempty"`
	// BaseRevision is the revision that the plan was made for.
	BaseRevision uint64        `json:"base-revision"`
	Edits        []config.Edit `json:"edits,omitempty"`
	// Diff lists the changes, one per line.
	Diff     []string `json:"diff,omitempty"`
	Forecast Forecast `json:"forecast"`
	// Breaches lists the bounds of the intent that the forecast exceeds.
	Breaches   []string `json:"breaches,omitempty"`
	DeclaredBy string   `json:"declared-by"`
	// DeclareID identifies the declaration across retries.
	DeclareID  string `json:"declare-id"`
	UnixMillis int64  `json:"unix-millis"`
	// ClosedBy is who confirmed or abandoned the plan, and Revision the
	// revision that it made.
	ClosedBy string `json:"closed-by,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

func planID(name string, number uint64) string {
	return name + "." + strconv.FormatUint(number, 10)
}

// intentOf returns the name of the intent that a plan's identifier contains.
func intentOf(id string) string {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return ""
	}
	return id[:i]
}

// The identifier of a change that confirms or abandons a plan consists of the
// plan's identifier, one of these infixes and the request's identifier.
const (
	confirmInfix = "/confirm/"
	abandonInfix = "/abandon/"
)

// PlanOf returns the plan whose confirmation made a change, or "".
func PlanOf(changeID string) string {
	plan, _, ok := strings.Cut(changeID, confirmInfix)
	if !ok {
		return ""
	}
	return plan
}

// resolved returns the plan with the outcome that the configuration's head
// records. The head alone determines whether a plan was confirmed: the plan's
// own record is written after it and may be missing.
func (p Plan) resolved(head config.Config) Plan {
	if p.State == StateConfirmed || p.State == StateAbandoned {
		return p
	}
	if a, ok := head.AppliedPrefix(p.ID + confirmInfix); ok {
		p.State, p.Reason, p.ClosedBy, p.Revision = StateConfirmed, "", a.Operator, a.Revision
		return p
	}
	if a, ok := head.AppliedPrefix(p.ID + abandonInfix); ok {
		p.State, p.Reason, p.ClosedBy, p.Revision = StateAbandoned, "", a.Operator, a.Revision
		return p
	}
	if p.State == StatePlanned && tooOld(p, head) {
		p.State, p.Reason = StateSuperseded, "the base revision is too old"
	}
	return p
}

// tooOld reports whether the head may have dropped changes that were made since
// the plan. Such a plan cannot be confirmed: its own confirmation may be among
// the dropped changes, and it would be applied a second time.
func tooOld(p Plan, head config.Config) bool {
	return head.Revision > p.BaseRevision+config.MaxChanges
}

// change returns the change that confirms the plan on top of cur.
//
// A plan made for an earlier revision is accepted only if its difference to cur
// is the same, line by line and including the old values: then none of the
// fields that it changes was changed meanwhile. Otherwise an operator would
// confirm something other than what was shown, and another operator's change
// would be undone silently.
func (p Plan) change(cur config.Config, req Request) (config.Change, error) {
	change := config.Change{
		ID: p.ID + confirmInfix + req.ID, Operator: req.Operator,
		Action: "confirm plan " + p.ID, UnixMillis: req.Now.UnixMilli(), Edits: p.Edits,
	}
	if cur.Revision == p.BaseRevision {
		return change, nil
	}
	next, err := config.Apply(cur, change)
	if err != nil || tooOld(p, cur) || !slices.Equal(lines(config.Diff(cur, next)), p.Diff) {
		return config.Change{}, conflictWith(cur)
	}
	return change, nil
}

func conflictWith(cur config.Config) *ConflictError {
	e := &ConflictError{Revision: cur.Revision, ChangeID: cur.ChangeID, Winner: PlanOf(cur.ChangeID)}
	if n := len(cur.Changes); n > 0 {
		e.Operator = cur.Changes[n-1].Operator
	}
	return e
}

func lines(diff []config.DiffLine) []string {
	var text []string
	for _, l := range diff {
		text = append(text, l.String())
	}
	return text
}

// breaches lists the bounds of the intent that the forecast exceeds.
func breaches(in Intent, f Forecast) []string {
	var list []string
	if in.MaxSkew > 0 && f.SkewAfter > in.MaxSkew {
		list = append(list, fmt.Sprintf("expected skew %.2f is above max-skew %.2f", f.SkewAfter, in.MaxSkew))
	}
	if in.MaxBytes > 0 && f.Bytes > in.MaxBytes {
		list = append(list, fmt.Sprintf("expected move of %d bytes is above max-bytes %d", f.Bytes, in.MaxBytes))
	}
	if in.MaxSeconds > 0 && f.Seconds > in.MaxSeconds {
		list = append(list, fmt.Sprintf("expected move of %.1f s is above max-seconds %.1f", f.Seconds, in.MaxSeconds))
	}
	return list
}
