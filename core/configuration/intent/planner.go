package intent

import (
	"cmp"
	"context"
	"slices"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
)

// maxPrevious bounds the earlier plans that an intent's record retains.
const maxPrevious = 16

// Planner makes plans for intents, and revisions from confirmed plans.
type Planner struct {
	Head Head
	// Forecaster estimates skew and cost; nil means Estimator{}.
	Forecaster Forecaster
}

// Declare stores the intent and returns its plan. A second call with the same
// request identifier returns the first one's plan. An earlier plan of the intent
// that is neither confirmed nor abandoned is superseded.
func (p *Planner) Declare(ctx context.Context, in Intent, req Request) (Plan, error) {
	if err := req.validate(); err != nil {
		return Plan{}, err
	}
	cur, _, err := p.Head.Read(ctx)
	if err != nil {
		return Plan{}, err
	}
	plan, err := p.plan(ctx, cur, in, req)
	if err != nil {
		return Plan{}, err
	}
	rec, err := p.update(ctx, in.Name, func(rec Record) (Record, bool) {
		if _, ok := rec.declared(req.ID); ok {
			return rec, false
		}
		return rec.next(plan, cur), true
	})
	if err != nil {
		return Plan{}, err
	}
	plan, _ = rec.declared(req.ID)
	return plan, nil
}

func (p *Planner) plan(ctx context.Context, cur config.Config, in Intent, req Request) (Plan, error) {
	edits, err := in.Edits(cur)
	if err != nil {
		return Plan{}, err
	}
	next, err := config.Apply(cur, config.Change{ID: req.ID, Edits: edits})
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		Intent: in, State: StatePlanned, BaseRevision: cur.Revision, Edits: edits,
		Diff: lines(config.Diff(cur, next)), DeclaredBy: req.Operator, DeclareID: req.ID,
		UnixMillis: req.Now.UnixMilli(),
	}
	plan.Forecast, err = p.forecaster().Forecast(ctx, cur, next, in)
	if err != nil {
		plan.State, plan.Reason = StateDeclared, "no forecast: "+err.Error()
	}
	plan.Breaches = breaches(in, plan.Forecast)
	return plan, nil
}

func (p *Planner) forecaster() Forecaster {
	if p.Forecaster == nil {
		return Estimator{}
	}
	return p.Forecaster
}

// Confirm makes a revision from the plan. It returns the same plan and revision
// if the plan was confirmed before: by an attempt whose answer was lost, or by
// another operator.
func (p *Planner) Confirm(ctx context.Context, id string, req Request) (Plan, error) {
	return p.close(ctx, id, req, confirmInfix, func(plan Plan, cur config.Config) (config.Change, error) {
		if plan.State != StatePlanned {
			return config.Change{}, &StateError{Plan: id, State: plan.State, Reason: plan.Reason}
		}
		if len(plan.Breaches) > 0 {
			return config.Change{}, &BoundError{Plan: id, Breaches: plan.Breaches}
		}
		return plan.change(cur, req)
	})
}

// Abandon rejects the plan. It makes a revision without edits, so that a
// concurrent confirmation and abandonment are ordered by the same head.
func (p *Planner) Abandon(ctx context.Context, id string, req Request) (Plan, error) {
	return p.close(ctx, id, req, abandonInfix, func(plan Plan, _ config.Config) (config.Change, error) {
		if plan.State != StatePlanned && plan.State != StateDeclared {
			return config.Change{}, &StateError{Plan: id, State: plan.State, Reason: plan.Reason}
		}
		return config.Change{
			ID: id + abandonInfix + req.ID, Operator: req.Operator,
			Action: "abandon plan " + id, UnixMillis: req.Now.UnixMilli(),
		}, nil
	})
}

func (p *Planner) close(ctx context.Context, id string, req Request, mark string,
	build func(Plan, config.Config) (config.Change, error),
) (Plan, error) {
	if err := req.validate(); err != nil {
		return Plan{}, err
	}
	stored, err := p.stored(ctx, id)
	if err != nil {
		return Plan{}, err
	}
	want := map[string]State{confirmInfix: StateConfirmed, abandonInfix: StateAbandoned}[mark]
	if stored.State == want {
		return stored, nil
	}
	done := func(cur config.Config) (config.AppliedChange, bool) { return cur.AppliedPrefix(id + mark) }
	applied, err := p.Head.Commit(ctx, done, func(cur config.Config) (config.Change, error) {
		if err := req.allowed(cur); err != nil {
			return config.Change{}, err
		}
		return build(stored.resolved(cur), cur)
	})
	if err != nil {
		return Plan{}, err
	}
	stored.State, stored.Reason, stored.ClosedBy, stored.Revision = want, "", applied.Operator, applied.Revision
	p.recordOutcome(ctx, stored)
	return stored, nil
}

// recordOutcome writes the plan's final state to its record. A failure is
// ignored: the head is authoritative, and later reads use it.
func (p *Planner) recordOutcome(ctx context.Context, plan Plan) {
	_, _ = p.update(ctx, plan.Intent.Name, func(rec Record) (Record, bool) {
		if rec.Plan.ID == plan.ID {
			rec.Plan = plan
			return rec, true
		}
		for i, old := range rec.Previous {
			if old.ID == plan.ID {
				plan.Edits = nil
				rec.Previous[i] = plan
				return rec, true
			}
		}
		return rec, false
	})
}

// Plan returns a plan by its identifier, or a *config.NotFoundError.
func (p *Planner) Plan(ctx context.Context, id string) (Plan, error) {
	plan, err := p.stored(ctx, id)
	if err != nil {
		return Plan{}, err
	}
	head, _, err := p.Head.Read(ctx)
	if err != nil {
		return Plan{}, err
	}
	return plan.resolved(head), nil
}

func (p *Planner) stored(ctx context.Context, id string) (Plan, error) {
	rec, _, err := p.read(ctx, intentOf(id))
	if err != nil {
		return Plan{}, err
	}
	plan, ok := rec.find(func(p Plan) bool { return p.ID == id })
	if !ok {
		return Plan{}, &config.NotFoundError{Kind: "plan", Name: id}
	}
	return plan, nil
}

// Intent returns the record of an intent, or a *config.NotFoundError.
func (p *Planner) Intent(ctx context.Context, name string) (Record, error) {
	rec, version, err := p.read(ctx, name)
	if err != nil {
		return Record{}, err
	}
	if version == 0 {
		return Record{}, &config.NotFoundError{Kind: "intent", Name: name}
	}
	head, _, err := p.Head.Read(ctx)
	if err != nil {
		return Record{}, err
	}
	rec.Plan = rec.Plan.resolved(head)
	return rec, nil
}

// Intents returns the newest plan of each declared intent, by name.
func (p *Planner) Intents(ctx context.Context) ([]Plan, error) {
	kvs, err := p.Head.Store.List(ctx, intentPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list intents")
	}
	head, _, err := p.Head.Read(ctx)
	if err != nil {
		return nil, err
	}
	plans := make([]Plan, 0, len(kvs))
	for _, kv := range kvs {
		rec, err := decode(kv)
		if err != nil {
			return nil, err
		}
		plans = append(plans, rec.Plan.resolved(head))
	}
	slices.SortFunc(plans, func(a, b Plan) int { return cmp.Compare(a.Intent.Name, b.Intent.Name) })
	return plans, nil
}
