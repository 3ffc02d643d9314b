package main

import (
	"net/http"

	"github.com/gorilla/mux"
)

// operatorRoutes serves the administration API.
func (e *Entry) operatorRoutes() http.Handler {
	return mux.NewRouter()
}
