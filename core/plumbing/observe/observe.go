// Package observe serves the monitoring endpoints of a process for the platform and operators:
// liveness, readiness, the revisions of the configuration that were in force, and the counters.
//
// # Usage
//
//	h := observe.Routes(observe.Source{Unready: p.unready, Revisions: p.revisions})
package observe

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/gorilla/mux"
)

// Source provides the state of the process.
type Source struct {
	// Unready returns why the process is not ready for work, or "" if it is ready.
	Unready func() string
	// Revisions returns the revisions that were in force, oldest first.
	Revisions func() Revisions
}

// Revisions are the revisions of the configuration that a process has had in force.
type Revisions struct {
	Revision uint64   `json:"revision"`
	History  []uint64 `json:"history"`
}

// Routes returns the handler for the process's monitoring address.
func Routes(s Source) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/readyz", s.serveReady)
	m.HandleFunc("/revisions", s.serveRevisions)
	m.Handle("/debug/vars", expvar.Handler())
	return m
}

func (s Source) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.Unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s Source) serveRevisions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// It fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(s.Revisions())
}
