package main

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/store"
)

// oneConfig is a platform's store that holds one configuration.
type oneConfig struct {
	head []byte
}

func (s oneConfig) Get(context.Context, string) (store.KV, error) {
	return store.KV{Version: 1, Value: s.head}, nil
}

func (s oneConfig) Watch(ctx context.Context, _ string, _ int64, _ func(store.KV)) error {
	<-ctx.Done()
	return ctx.Err()
}

// An entry is started again while callers look for one. A caller with a key
// that it took before it had its configuration would have to hear "unknown",
// though nothing has run: its port opens only with the first configuration,
// which by then all of the entry acts on.
func TestCallersWaitForConfiguration(t *testing.T) {
	is := is.New(t)
	free := httptest.NewServer(nil)
	addr := free.Listener.Addr().String()
	free.Close()

	head, err := config.Encode(config.Config{Revision: 1})
	is.NoErr(err)
	log := slog.New(slog.DiscardHandler)
	f := follow.New(follow.Config{Store: oneConfig{head}, Refresh: time.Minute, Log: log})
	e := newEntry(Settings{Name: "e1", Callers: addr}, log, noop.Tracer{}, nil, nil, f)

	stopped, stop := context.WithCancel(t.Context())
	stop()
	e.listenCallers(stopped, nil)
	is.Equal(len(e.servers), 0) // no configuration, no caller

	go f.Run(t.Context())
	e.listenCallers(t.Context(), nil)
	is.Equal(len(e.servers), 1)
	defer func() { _ = e.servers[0].Close() }()
	is.True(e.homeSet.Load() != nil) // keys can be looked up
	resp, err := http.Post("http://"+addr+"/v1/completions", "application/json", nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusUnauthorized) // and not "not ready"
}
