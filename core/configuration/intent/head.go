package intent

import (
	"context"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/store"
)

// The keys in the platform's store.
const (
	// HeadKey holds the newest accepted configuration.
	HeadKey = "config/head"
	// intentPrefix is the prefix of the keys of the declared intents.
	intentPrefix = "config/intents/"
)

// maxAttempts bounds the attempts of one compare-and-swap.
const maxAttempts = 6

// Store is the part of the platform's key-value service that Head and Planner
// need. *store.Client implements it.
type Store interface {
	Get(ctx context.Context, key string) (store.KV, error)
	List(ctx context.Context, prefix string) ([]store.KV, error)
	CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease int64) (int64, error)
}

// Head reads and changes the newest accepted configuration.
type Head struct {
	Store Store
	// InForce, if set, returns the revision in force on this node.
	InForce func() uint64
}

// Read returns the head and its version in the store; before the first
// configuration both are zero.
func (h Head) Read(ctx context.Context) (config.Config, int64, error) {
	// A revision that arrives during the read may be newer than its result, so the
	// revision in force is taken before.
	known := uint64(0)
	if h.InForce != nil {
		known = h.InForce()
	}
	cur, version, err := h.readAny(ctx)
	if err != nil {
		return config.Config{}, 0, err
	}
	return cur, version, checkRegress(cur.Revision, known)
}

// readAny reads the head, even one older than the revision in force.
func (h Head) readAny(ctx context.Context) (config.Config, int64, error) {
	kv, err := h.Store.Get(ctx, HeadKey)
	if err != nil {
		return config.Config{}, 0, errors.Wrap(err, "read head")
	}
	if kv.Version == 0 {
		return config.Config{}, 0, nil
	}
	cur, err := config.Decode(kv.Value)
	if err != nil {
		return config.Config{}, 0, errors.Wrap(err, "read head")
	}
	return cur, kv.Version, nil
}

// checkRegress returns a *RegressedError if the store holds an older revision
// than the one in force, as after a restore from a backup. A change on top of the
// old head would get a revision number that nodes already hold for another
// configuration, so that half of the fleet would ignore it.
func checkRegress(stored, inForce uint64) error {
	if inForce > stored {
		return &RegressedError{Stored: stored, InForce: inForce}
	}
	return nil
}

// Commit makes the change that build returns for the current head, and returns
// the record of the change. done finds the change, or an earlier attempt of it,
// in a head; build is not called then.
//
// After a lost answer the head is read back. If it holds the change, the write
// took effect. If not, the write may still be in transit, and the same
// compare-and-swap is tried again: at most one of the two can succeed, as they
// expect the same version, and both write the same change. Once the head has
// moved past that version without the change, the lost write can never take
// effect. *store.UnknownError is returned only if the store does not answer any
// more, or the attempts are used up.
func (h Head) Commit(ctx context.Context, done func(config.Config) (config.AppliedChange, bool),
	build func(config.Config) (config.Change, error),
) (config.AppliedChange, error) {
	var lost *store.UnknownError
	var lostVersion int64
	for range maxAttempts {
		cur, version, err := h.Read(ctx)
		if err != nil {
			return config.AppliedChange{}, preferUnknown(lost, err)
		}
		if applied, ok := done(cur); ok {
			return applied, nil
		}
		if version != lostVersion {
			lost = nil // the lost write expected an older version and can no longer succeed
		}
		applied, err := h.attempt(ctx, cur, version, build)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return applied, nil
		case errors.As(err, &lost):
			lostVersion = version
		case errors.As(err, &conflict):
		default:
			return config.AppliedChange{}, preferUnknown(lost, err)
		}
	}
	return config.AppliedChange{}, preferUnknown(lost, &BusyError{Attempts: maxAttempts})
}

// Restore writes the configuration in force back to a store that holds an older
// one, unchanged and with its own revision, so that nothing changes on the nodes
// that have it in force. The caller ensures that no node has a later one. It is a
// *ConflictError if the store holds that revision or a later one.
func (h Head) Restore(ctx context.Context, inForce config.Config) error {
	value, err := config.Encode(inForce)
	if err != nil {
		return err
	}
	cur, version, err := h.readAny(ctx)
	if err != nil {
		return err
	}
	if cur.Revision >= inForce.Revision {
		return conflictWith(cur)
	}
	if _, err := h.Store.CompareAndSwap(ctx, HeadKey, version, value, 0); err != nil {
		return errors.Wrap(err, "restore head")
	}
	return nil
}

// editPrefix is the prefix of the identifiers of changes that were made without a
// plan.
const editPrefix = "edit/"

// Edit makes edits without a plan. With a base other than nil it returns a
// *ConflictError if the head is at another revision. A second call with the
// same request identifier returns the result of the first.
func (h Head) Edit(ctx context.Context, edits []config.Edit, action string, base *uint64, req Request) (config.AppliedChange, error) {
	if err := req.validate(); err != nil {
		return config.AppliedChange{}, err
	}
	change := config.Change{
		ID: editPrefix + req.ID, Operator: req.Operator, Action: action,
		UnixMillis: req.Now.UnixMilli(), Edits: edits,
	}
	done := func(cur config.Config) (config.AppliedChange, bool) { return cur.Applied(change.ID) }
	return h.Commit(ctx, done, func(cur config.Config) (config.Change, error) {
		if err := req.allowed(cur); err != nil {
			return config.Change{}, err
		}
		if base != nil && *base != cur.Revision {
			return config.Change{}, conflictWith(cur)
		}
		return change, nil
	})
}

func (h Head) attempt(ctx context.Context, cur config.Config, version int64,
	build func(config.Config) (config.Change, error),
) (config.AppliedChange, error) {
	change, err := build(cur)
	if err != nil {
		return config.AppliedChange{}, err
	}
	next, err := config.Apply(cur, change)
	if err != nil {
		return config.AppliedChange{}, err
	}
	value, err := config.Encode(next)
	if err != nil {
		return config.AppliedChange{}, err
	}
	if _, err := h.Store.CompareAndSwap(ctx, HeadKey, version, value, 0); err != nil {
		return config.AppliedChange{}, errors.Wrap(err, "change head")
	}
	return config.AppliedChange{ID: change.ID, Revision: next.Revision, Operator: change.Operator}, nil
}

// preferUnknown returns the error of the lost write if there was one: no later
// failure may then report that nothing was changed.
func preferUnknown(lost *store.UnknownError, err error) error {
	if lost != nil {
		return errors.Wrap(lost, "change head")
	}
	return err
}
