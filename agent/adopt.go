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

// adoptCalls is how many executors are asked at once.
const adoptCalls = 32

// adoption holds what the executors told of previous homes that are dead.
type adoption struct {
	mu    sync.Mutex
	homes map[string]map[booking.Key]booking.TransferAnswer
}

// adopted returns a key's record of a previous home that does not answer.
//
// It guards against keys that nobody decides on any more: the home has died
// and left the configuration, and each of its keys would be unknown until all
// memory of it has run out. Every grant of that home is in the register of the
// executor that ran it, so that the executors together know what the home
// knew. They are told first to refuse the dead process's grants for ever; a
// grant that is still on its way can then do no harm. One executor that does
// not answer, or that has forgotten, leaves the keys unknown.
func (r *register) adopted(ctx context.Context, key booking.Key, home string) (booking.TransferAnswer, error) {
	r.adopt.mu.Lock()
	defer r.adopt.mu.Unlock()
	records, ok := r.adopt.homes[home]
	if !ok {
		var err error
		if records, err = r.askExecutors(ctx, home); err != nil {
			return booking.TransferAnswer{}, err
		}
		if r.adopt.homes == nil {
			r.adopt.homes = make(map[string]map[booking.Key]booking.TransferAnswer)
		}
		r.adopt.homes[home] = records
		r.log.Info("dead home's keys taken over", "home", home, "keys", len(records))
	}
	if a, ok := records[key]; ok {
		return a, nil
	}
	return booking.TransferAnswer{Kind: booking.TransferNone}, nil
}

// askExecutors seals the dead home's grants everywhere and joins the answers.
func (r *register) askExecutors(ctx context.Context, home string) (map[booking.Key]booking.TransferAnswer, error) {
	if _, listed := r.follower.Index().Target(home); listed {
		return nil, errors.Errorf("home %s is still configured and will be back", home)
	}
	last, err := r.lastIncarnation(ctx, home)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	records := make(map[booking.Key]booking.TransferAnswer)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(adoptCalls)
	r.addresses.Range(func(name, addr any) bool {
		if name == home {
			return true
		}
		g.Go(func() error {
			resp, err := r.sealFor(ctx, addr.(string), home, last+1)
			if err != nil {
				return errors.Wrapf(err, "executor %s", name)
			}
			mu.Lock()
			defer mu.Unlock()
			join(records, name.(string), resp)
			return nil
		})
		return true
	})
	return records, g.Wait()
}

// lastIncarnation reads the dead process's incarnation from the store, where
// each agent records it at its start.
func (r *register) lastIncarnation(ctx context.Context, home string) (uint64, error) {
	kv, err := r.store.Get(ctx, "agents/"+home)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(kv.Value), 10, 64)
}

// sealFor seals another home's grants at one executor. An executor whose
// memory is younger than what a key may matter for has forgotten some.
func (r *register) sealFor(ctx context.Context, addr, home string, incarnation uint64) (*wire.SealResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	resp, err := r.dialer.Agent(addr).Seal(ctx, connect.NewRequest(&wire.SealRequest{Home: home, HomeIncarnation: incarnation}))
	if err != nil {
		return nil, err
	}
	age := time.Duration(resp.Msg.SinceMs) * time.Millisecond
	if !resp.Msg.WholeMemory && age < r.home.Limits.Window() {
		return nil, errors.Errorf("memory goes back %v only", age)
	}
	return resp.Msg, nil
}

// join adds an executor's keys. Of several attempts of a key at most one was
// not sealed, and that one counts.
func join(records map[booking.Key]booking.TransferAnswer, executor string, m *wire.SealResponse) {
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
