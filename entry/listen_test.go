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

// oneConfig is a store that holds one configuration.
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

// An entry restarts while callers try to connect. If it accepted a caller with a
// key before it has a configuration, it would have to answer "unknown" although
// nothing has run. The port for callers must open only after the first
// configuration has been applied to all parts of the entry.
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
