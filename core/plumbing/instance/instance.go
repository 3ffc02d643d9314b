// Package instance has the code that the programs on the users' platform share: the
// command line, the settings from the platform, the log, the metrics address, and
// the lifecycle from start to graceful shutdown.
//
// # Usage
//
//	func main() {
//		instance.Program{
//			Name: "gateway", Usage: "serve callers", Settings: platform.BootSource{},
//			Build: func(env instance.Env) fx.Option { return fx.Options(fx.Provide(newGateway), fx.Invoke(serve)) },
//		}.Main()
//	}
package instance

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"verbenashift/core/plumbing/boot"
	"verbenashift/core/plumbing/eventlog"
	"verbenashift/core/plumbing/intake"
)

// The exit codes of all programs.
const (
	ExitFailure  = 1
	ExitSettings = 2
)

const (
	// MetricsPort is the port where each process serves its metrics.
	MetricsPort = 9750
	// MetricsPath is the path of the metrics.
	MetricsPath = "/metrics"
	// gcPercent trades CPU time for memory, which is scarcer: a heap of a few megabytes
	// is collected when it has grown by half. Peak memory is then 5.3 MB for a sidecar
	// and 10 MB for a gateway, under the load of a busy minute.
	gcPercent = 50
	// memoryLimitShare is the part of the memory of a process at which the collector runs as often as
	// needed. The rest is for what is not the runtime's: bytes that the system has received, and the
	// program itself.
	memoryLimitShare = 0.75
	// killMargin is how long before SIGKILL a graceful shutdown must be complete.
	killMargin = 500 * time.Millisecond
	// startTimeout limits the time to start.
	startTimeout = 10 * time.Second
)

// Env is the environment that a program is built from.
type Env struct {
	Boot boot.Settings
	Log  *slog.Logger
	// NoPlan disables the planning of expert maps: they stay as they are.
	NoPlan bool
	// Trace is the IP address and port of a span collector, or empty; TraceRatio is the
	// fraction of requests that are traced, from 0 to 1.
	Trace      string
	TraceRatio float64
}

// Program describes one program. All fields are required.
type Program struct {
	Name  string
	Usage string
	// Settings is the source of the settings of the process.
	Settings boot.Source
	// Build returns the components of the program. Their stop hooks shut it down
	// gracefully.
	Build func(Env) fx.Option
}

// Main parses the command line, runs the selected action and exits.
func (p Program) Main() {
	cmd := &cli.Command{
		Name:  p.Name,
		Usage: p.Usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "check", Usage: "check the settings in `FILE` and exit"},
			&cli.BoolFlag{Name: "reference", Usage: "print what the settings file holds and exit"},
			&cli.BoolFlag{Name: "version", Usage: "print the build and exit"},
			&cli.StringFlag{Name: "log", Value: "info", Usage: "write log lines from `LEVEL` on: info, warn, error or off"},
			&cli.BoolFlag{Name: "no-plan", Usage: "leave expert maps as they are"},
			&cli.StringFlag{Name: "trace", Usage: "send a gateway's spans to the OTLP/HTTP collector at `ADDR`, an IP address and port"},
			&cli.FloatFlag{Name: "trace-ratio", Value: 0.01, Usage: "trace this `PART` of the requests, from 0 to 1"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error { return p.execute(cmd, os.Stdout) },
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(ExitFailure)
	}
}

func (p Program) execute(cmd *cli.Command, out io.Writer) error {
	if cmd.Bool("version") {
		_, err := fmt.Fprintln(out, p.Name, build())
		return err
	}
	if cmd.Bool("reference") {
		return reference(p.Settings.Fields(), out)
	}
	if file := cmd.String("check"); file != "" {
		return check(p.Settings, file, out)
	}
	level, ok := levels[cmd.String("log")]
	if !ok {
		return cli.Exit(p.Name+": -log: want info, warn, error or off", ExitSettings)
	}
	env := Env{NoPlan: cmd.Bool("no-plan"), Trace: cmd.String("trace"), TraceRatio: cmd.Float("trace-ratio")}
	if err := env.checkTrace(); err != nil {
		return cli.Exit(p.Name+": "+err.Error(), ExitSettings)
	}
	var err error
	if env.Boot, err = p.Settings.Load(); err != nil {
		return cli.Exit(p.Name+": "+err.Error(), ExitSettings)
	}
	return p.run(env, level)
}

// checkTrace returns an error if a tracing flag is invalid.
func (e Env) checkTrace() error {
	if _, err := netip.ParseAddrPort(e.Trace); e.Trace != "" && err != nil {
		return errors.Errorf("-trace: %q: want an IP address and port", e.Trace)
	}
	if !(e.TraceRatio >= 0 && e.TraceRatio <= 1) {
		return errors.Errorf("-trace-ratio: %v: want 0 to 1", e.TraceRatio)
	}
	return nil
}

// levels are the values of the flag -log.
var levels = map[string]slog.Level{
	"info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError, "off": slog.LevelError + 1,
}

// reference prints the fields of the settings file.
func reference(fields []boot.Field, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range fields {
		need := "needed"
		if f.Optional {
			need = "may be missing"
		}
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Name, f.Want, need, f.Meaning); err != nil {
			return err
		}
	}
	return w.Flush()
}

// check validates a settings file and prints what was read.
func check(source boot.Source, file string, out io.Writer) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	b, err := source.Parse(file, data)
	if err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	_, err = fmt.Fprintf(out, "settings of %s in %s are good: store %s\n", b.Instance, b.Zone, b.Store.Addr)
	return err
}

// build returns the source revision and Go version that the compiler recorded.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown build"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value + " " + info.GoVersion
		}
	}
	return "no revision " + info.GoVersion
}

// memoryLimit returns the memory limit of the runtime, given the memory in bytes at which the process is
// killed; 0 means unknown.
func memoryLimit(bytes int64) int64 {
	if bytes <= 0 {
		return math.MaxInt64
	}
	return int64(memoryLimitShare * float64(bytes))
}

// run builds and starts the program, and stops it on SIGTERM.
func (p Program) run(env Env, level slog.Level) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(env.Boot.MemoryBytes))
	log, stopLog := eventlog.New(os.Stdout, p.Name, env.Boot.Instance, level)
	defer stopLog()
	env.Log = log
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	app := fx.New(fx.NopLogger, fx.Supply(env), p.Build(env), fx.Invoke(serveMetrics))
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		log.Error("not started", "error", err.Error())
		return err
	}
	log.Info("start", "build", build(), "zone", env.Boot.Zone, "store", env.Boot.Store.Addr.String())
	for s := range signals {
		if s == syscall.SIGHUP {
			p.reload(log)
			continue
		}
		log.Info("stop", "signal", s.String())
		break
	}
	ctx, cancel = context.WithTimeout(context.Background(), env.Boot.Bounds.Grace-killMargin)
	defer cancel()
	err := app.Stop(ctx)
	log.Info("stopped", "clean", err == nil)
	return err
}

// reload reads and validates the settings again and logs the result. The settings that a
// process uses can't change while it runs, so none are applied.
func (p Program) reload(log *slog.Logger) {
	if _, err := p.Settings.Load(); err != nil {
		log.Error("reload", "error", err.Error())
		return
	}
	log.Info("reload", "changed", false)
}

// serveMetrics serves the expvar variables on the metrics address.
func serveMetrics(lc fx.Lifecycle, env Env) {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, expvar.Handler())
	Serve(lc, env.Log, "metrics", netip.AddrPortFrom(env.Boot.IP, MetricsPort), mux)
}

// Serve serves a handler on an address while the program runs; its name stands in the log and the
// counters of connections. If it can't listen, it only logs the error: a program must not fail for lack
// of metrics.
func Serve(lc fx.Lifecycle, log *slog.Logger, name string, addr netip.AddrPort, h http.Handler) {
	server := intake.MonitoringServer(h)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := intake.Listen(addr.String(), intake.Monitoring(name), log)
			if err != nil {
				log.Warn("not listening", "addr", addr.String(), "error", err.Error())
				return nil
			}
			go func() {
				// It returns when the server is closed.
				_ = l.Serve(server)
			}()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
