// Package serve runs the HTTP server of a stand-in until its context ends or the
// process receives SIGTERM or SIGINT.
//
// # Usage
//
//	return serve.Run(ctx, serve.Options{Name: "engine", Listen: addr, Handler: h})
package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"
)

const (
	stopTimeout   = 5 * time.Second
	headerTimeout = 10 * time.Second
)

// Options configures Run.
type Options struct {
	Name    string
	Listen  string
	Handler http.Handler
	// Background, if set, runs in its own goroutine until its context ends.
	Background func(ctx context.Context)
}

// Run serves until ctx ends or the process receives SIGTERM or SIGINT.
func Run(ctx context.Context, o Options) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := fx.New(fx.NopLogger, fx.Supply(o), fx.Invoke(register))
	if err := app.Start(ctx); err != nil {
		return errors.Wrapf(err, "start %s", o.Name)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return errors.Wrapf(err, "stop %s", o.Name)
	}
	return nil
}

func register(lc fx.Lifecycle, o Options) {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("stand-in", o.Name)
	server := &http.Server{Handler: o.Handler, ReadHeaderTimeout: headerTimeout}
	background, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var cfg net.ListenConfig
			ln, err := cfg.Listen(ctx, "tcp", o.Listen)
			if err != nil {
				return err
			}
			if o.Background != nil {
				go o.Background(background)
			}
			go func() {
				if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
					log.Error("server ended", "error", err)
				}
			}()
			log.Info("listening", "address", ln.Addr().String())
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return server.Close()
		},
	})
}
