// Command gateway serves callers on an instance of the platform.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"verbenashift/core/eventlog"
	"verbenashift/core/mirror"
	"verbenashift/platform"
)

func main() {
	boot, err := platform.LoadBoot()
	if err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(2)
	}
	debug.SetGCPercent(50)
	log, stop := eventlog.New(os.Stdout, "gateway", boot.Instance)
	err = run(boot, log)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

func run(boot platform.Boot, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGateway(boot, log)
	store := platform.NewStore(boot.Store.Addr)
	follower := mirror.NewFollower(store, log)
	follower.OnChange(g.update)
	go follower.Run(ctx)
	go func() {
		for range time.Tick(tickEvery) {
			g.tick(time.Now())
		}
	}()
	front, err := net.Listen("tcp", boot.Callers.String())
	if err != nil {
		return err
	}
	readyListener, err := net.Listen("tcp", boot.Ready.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: g, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
	readyServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), ReadHeaderTimeout: 10 * time.Second}
	log.Info("start", "callers", boot.Callers.String())
	errs := make(chan error, 2)
	go func() { errs <- server.Serve(front) }()
	go func() { errs <- readyServer.Serve(readyListener) }()
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGHUP)
	for {
		select {
		case err := <-errs:
			return err
		case s := <-sig:
			if s == syscall.SIGHUP {
				log.Info("reload")
				continue
			}
			g.leaving.Store(true)
			log.Info("stop", "signal", s.String())
			time.Sleep(2500 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), boot.Bounds.Grace-3*time.Second)
			err := server.Shutdown(ctx)
			cancel()
			log.Info("stopped")
			return err
		}
	}
}
