package intent

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/store"
)

// Record is what the store holds under the key of an intent.
type Record struct {
	// Declarations is the number of plans made for the intent.
	Declarations uint64 `json:"declarations"`
	Plan         Plan   `json:"plan"`
	// Previous holds earlier plans without their edits, newest last.
	Previous []Plan `json:"previous,omitempty"`
}

// next returns the record with one more plan.
func (rec Record) next(plan Plan, head config.Config) Record {
	if rec.Declarations > 0 {
		old := rec.Plan.resolved(head)
		if old.State == StatePlanned || old.State == StateDeclared {
			old.State, old.Reason = StateSuperseded, "declared anew"
		}
		old.Edits = nil
		rec.Previous = append(rec.Previous[max(0, len(rec.Previous)+1-maxPrevious):], old)
	}
	rec.Declarations++
	plan.ID = planID(plan.Intent.Name, rec.Declarations)
	// A store restored from a backup lacks some declarations, but a head that was
	// restored from the nodes includes their confirmations. A plan with the
	// identifier of an earlier one would be reported as confirmed although nothing
	// changed.
	for idUsed(plan.ID, head) {
		rec.Declarations++
		plan.ID = planID(plan.Intent.Name, rec.Declarations)
	}
	rec.Plan = plan
	return rec
}

func idUsed(id string, head config.Config) bool {
	_, ok := head.AppliedPrefix(id + "/")
	return ok
}

func (rec Record) find(match func(Plan) bool) (Plan, bool) {
	if rec.Declarations > 0 && match(rec.Plan) {
		return rec.Plan, true
	}
	for _, old := range rec.Previous {
		if match(old) {
			return old, true
		}
	}
	return Plan{}, false
}

func (rec Record) declared(id string) (Plan, bool) {
	return rec.find(func(p Plan) bool { return p.DeclareID == id })
}

func (p *Planner) read(ctx context.Context, name string) (Record, int64, error) {
	if !config.ValidName(name) {
		return Record{}, 0, &config.NotFoundError{Kind: "intent", Name: name}
	}
	kv, err := p.Head.Store.Get(ctx, intentPrefix+name)
	if err != nil {
		return Record{}, 0, errors.Wrap(err, "read intent")
	}
	if kv.Version == 0 {
		return Record{}, 0, nil
	}
	rec, err := decode(kv)
	return rec, kv.Version, err
}

func decode(kv store.KV) (Record, error) {
	var rec Record
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return Record{}, errors.Wrap(err, fmt.Sprintf("decode %s", kv.Key))
	}
	return rec, nil
}

// update changes the record of an intent by compare-and-swap. edit reports
// whether there is anything to write; it is called again after a conflict or a
// lost answer, and must detect the write of an earlier attempt.
func (p *Planner) update(ctx context.Context, name string, edit func(Record) (Record, bool)) (Record, error) {
	var lost *store.UnknownError
	for range maxAttempts {
		rec, version, err := p.read(ctx, name)
		if err != nil {
			return Record{}, preferUnknown(lost, err)
		}
		next, changed := edit(rec)
		if !changed {
			return rec, nil
		}
		value, err := json.Marshal(next)
		if err != nil {
			return Record{}, errors.Wrap(err, "encode intent")
		}
		_, err = p.Head.Store.CompareAndSwap(ctx, intentPrefix+name, version, value, 0)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return next, nil
		case errors.As(err, &lost), errors.As(err, &conflict):
			continue
		default:
			return Record{}, preferUnknown(lost, errors.Wrap(err, "write intent"))
		}
	}
	return Record{}, preferUnknown(lost, &BusyError{Attempts: maxAttempts})
}
