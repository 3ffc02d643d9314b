package main

import (
	"context"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
)

// maxSealCalls is how many executors are called at once.
const maxSealCalls = 32

// deadHomeRecords holds the records that the executors reported for previous
// homes that are dead.
type deadHomeRecords struct {
	mu    sync.Mutex
	homes map[string]map[booking.Key]booking.TransferAnswer
}

// recoverRecord returns a key's record of a previous home that does not answer.
//
// It handles keys without an owner: the home has died and was removed from the
// configuration, and each of its keys would be unknown until all records of it
// have expired. Every grant of that home is in the register of the executor that
// ran it, so the executors together have the records of the home. They are first
// sealed, which makes them refuse the dead process's grants permanently; a grant
// that is still in flight can then do no harm. If one executor does not answer,
// or has lost its records, the keys stay unknown.
func (r *register) recoverRecord(ctx context.Context, key booking.Key, home string) (booking.TransferAnswer, error) {
	r.deadHomes.mu.Lock()
	defer r.deadHomes.mu.Unlock()
	records, ok := r.deadHomes.homes[home]
	if !ok {
		var err error
		if records, err = r.sealDeadHome(ctx, home); err != nil {
			return booking.TransferAnswer{}, err
		}
		if r.deadHomes.homes == nil {
			r.deadHomes.homes = make(map[string]map[booking.Key]booking.TransferAnswer)
		}
		r.deadHomes.homes[home] = records
		r.log.Info("records of a dead home recovered", "home", home, "keys", len(records))
	}
	if a, ok := records[key]; ok {
		return a, nil
	}
	return booking.TransferAnswer{Kind: booking.TransferNone}, nil
}

// sealDeadHome seals the dead home's grants at all executors and merges their
// answers.
func (r *register) sealDeadHome(ctx context.Context, home string) (map[booking.Key]booking.TransferAnswer, error) {
	if _, listed := r.follower.Index().Target(home); listed {
		return nil, errors.Errorf("home %s is still configured, so its records are not recovered from the executors", home)
	}
	last, err := r.lastIncarnation(ctx, home)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	records := make(map[booking.Key]booking.TransferAnswer)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxSealCalls)
	r.addresses.Range(func(name, addr any) bool {
		if name == home {
			return true
		}
		g.Go(func() error {
			resp, err := r.sealForHome(ctx, addr.(string), home, last+1)
			if err != nil {
				return errors.Wrapf(err, "executor %s", name)
			}
			mu.Lock()
			defer mu.Unlock()
			mergeSealed(records, name.(string), resp)
			return nil
		})
		return true
	})
	return records, g.Wait()
}

// lastIncarnation returns a number that is not lower than the dead process's incarnation, from the
// store, where each agent records it at startup. A store that was restored may have lost the last
// one, which is not higher than what the clocks show.
func (r *register) lastIncarnation(ctx context.Context, home string) (uint64, error) {
	kv, err := r.store.Get(ctx, "agents/"+home)
	if err != nil {
		return 0, err
	}
	last, err := strconv.ParseUint(string(kv.Value), 10, 64)
	if err == nil && kv.Era > 0 {
		last = max(last, uint64(time.Now().Add(clockTolerance).UnixMilli()))
	}
	return last, err
}

// sealForHome seals another home's grants at one executor. It fails if the
// executor's records go back less than the time for which a key matters, because
// some may be missing.
func (r *register) sealForHome(ctx context.Context, addr, home string, incarnation uint64) (*wire.SealResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	resp, err := r.dialer.Agent(addr).Seal(ctx, connect.NewRequest(&wire.SealRequest{Home: home, HomeIncarnation: incarnation}))
	if err != nil {
		return nil, err
	}
	age := time.Duration(resp.Msg.SinceMs) * time.Millisecond
	if !resp.Msg.WholeMemory && age < r.home.Limits.Window() {
		return nil, errors.Errorf("records go back only %v", age)
	}
	return resp.Msg, nil
}

// mergeSealed adds an executor's keys to records. Of several attempts of a key at
// most one was not sealed, and that one takes precedence.
func mergeSealed(records map[booking.Key]booking.TransferAnswer, executor string, m *wire.SealResponse) {
	for _, k := range sealAnswer(m).Keys {
		a := booking.TransferAnswer{Kind: booking.TransferRecord, Body: k.Body, Attempt: k.Attempt}
		if k.State != booking.Sealed {
			a.RequestID, a.Executor, a.ExecutorIncarnation = k.RequestID, executor, m.Incarnation
		}
		old, ok := records[k.Key]
		if !ok || a.Executor != "" && old.Executor == "" || old.Executor == "" && a.Attempt > old.Attempt {
			records[k.Key] = a
		}
	}
}
