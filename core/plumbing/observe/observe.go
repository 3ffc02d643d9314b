// Package observe serves what the platform and operators ask a process for: whether it lives,
// whether it takes work, which revisions of the configuration it has had in force, and its
// counters.
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

// Source is the process that is asked.
type Source struct {
	// Unready returns why the process takes no work, or "" if it does.
	Unready func() string
	// Revisions returns those that were in force, oldest first.
	Revisions func() Revisions
}

// Revisions are those of the configuration that a process has had in force.
type Revisions struct {
	Revision uint64   `json:"revision"`
	History  []uint64 `json:"history"`
}

// Routes returns the handler of the process's observe address.
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
	// The caller has gone if this fails.
	_ = json.NewEncoder(w).Encode(s.Revisions())
}
