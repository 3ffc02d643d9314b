package main

import (
	"net/http"

	"verbenashift/core/operator"
)

// operatorRoutes serves the administration API.
func (e *Entry) operatorRoutes() http.Handler {
	return operator.New(operator.Deps{
		Store: e.store, Fleet: e, Current: e.follower.Index, BootstrapHash: e.cfg.BootstrapHash, Log: e.log,
	})
}
