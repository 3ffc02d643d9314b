package main

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/store"
	"verbenashift/standin/platform"
)

// restorable is a stand-in of the platform with a client.
type restorable struct {
	*is.I
	url    string
	client *store.Client
}

func newRestorable(t *testing.T) *restorable {
	p := platform.New(platform.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		server.Close()
		p.Close()
	})
	return &restorable{is.New(t), server.URL, store.New(store.Config{Addresses: []string{server.URL}})}
}

// post makes a call that has no body.
func (r *restorable) post(path string) {
	res, err := http.Post(r.url+path, "application/json", nil)
	r.NoErr(err)
	r.NoErr(res.Body.Close())
	r.Equal(res.StatusCode, http.StatusNoContent)
}

// Guards against an agent that takes itself for the first of its name, and lets keys run again,
// because the store has lost its entry.
func TestAgentIsNotTheFirstOfItsNameAfterARestore(t *testing.T) {
	r := newRestorable(t)
	r.post("/copy")
	first := identify(t.Context(), r.client, "agent-1", slog.New(slog.DiscardHandler))
	r.True(first.first)
	r.post("/restore")
	second := identify(t.Context(), r.client, "agent-1", slog.New(slog.DiscardHandler))
	r.True(!second.first)
	r.True(second.incarnation >= first.incarnation)
}

// Guards against the grants of a dead home that run after its records were taken over, because the
// store has lost its last incarnation.
func TestLastIncarnationAfterARestore(t *testing.T) {
	r := newRestorable(t)
	log := slog.New(slog.DiscardHandler)
	_ = identify(t.Context(), r.client, "agent-1", log)
	r.post("/copy")
	time.Sleep(2 * time.Millisecond) // incarnations are milliseconds
	lost := identify(t.Context(), r.client, "agent-1", log)
	x := &register{store: r.client}
	last, err := x.lastIncarnation(t.Context(), "agent-1")
	r.NoErr(err)
	r.Equal(last, lost.incarnation)
	r.post("/restore")
	last, err = x.lastIncarnation(t.Context(), "agent-1")
	r.NoErr(err)
	r.True(last >= lost.incarnation)
}
