package main

import (
	"context"
	"net/http"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/operator"
	"verbenashift/core/configuration/store"
)

// operatorRoutes returns the handler of the administration API.
func (e *Entry) operatorRoutes() http.Handler {
	return operator.New(operator.Deps{
		Store: headStore{e.store, e.follower}, Fleet: e, Current: e.follower.Index,
		BootstrapHash: e.cfg.BootstrapHash, Log: e.log,
	})
}

// headStore is a store client that applies a configuration written by this entry
// here at once, so that an operator's next call sees it.
type headStore struct {
	*store.Client
	follower *follow.Follower
}

// CompareAndSwap writes a key. If that is the configuration head, it also offers
// the new configuration to this process.
func (s headStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease int64) (int64, error) {
	next, err := s.Client.CompareAndSwap(ctx, key, version, value, lease)
	if err != nil || key != intent.HeadKey {
		return next, err
	}
	if c, err := config.Decode(value); err == nil {
		s.follower.Offer(c)
	}
	return next, nil
}
