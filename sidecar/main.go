// Command sidecar runs beside a model server. It gives the orders of its
// group's steward to the server, and may be the steward itself.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"

	"verbenashift/core/eventlog"
	"verbenashift/platform"
)

func main() {
	boot, err := platform.LoadBoot()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(2)
	}
	debug.SetGCPercent(50)
	log, stop := eventlog.New(os.Stdout, "sidecar", boot.Instance)
	err = run(boot, log)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run(boot platform.Boot, log *slog.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	a := newAgent(boot, log, !slices.Contains(os.Args, "-no-plan"))
	l, err := net.Listen("tcp", a.addr().String())
	if err != nil {
		return err
	}
	log.Info("start", "listen", l.Addr().String(), "target", boot.Target.String())
	go a.serve(l)
	go a.run(ctx)
	hup := make(chan os.Signal, 1)
	// Without a handler SIGHUP ends the process.
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-hup:
			log.Info("reload", "changed", false)
		case <-ctx.Done():
			log.Info("stop")
			return l.Close()
		}
	}
}
