// Package process has the code that the programs of the system share: the command
// line and the lifecycle from start to graceful shutdown.
//
// # Usage
//
//	func main() {
//		var cfg Settings
//		process.Program{
//			Name: "entry", Usage: "serve callers and operators",
//			Declare: cfg.declare, Check: cfg.check,
//			Run: func() int { return process.Run(time.Minute, fx.Supply(cfg), fx.Invoke(start)) },
//		}.Main()
//	}
package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"verbenashift/core/plumbing/settings"
)

// The exit codes of all programs.
const (
	ExitFailure  = 1
	ExitSettings = 2
)

// Program describes one program. All fields are required.
type Program struct {
	Name  string
	Usage string
	// Declare returns a new declaration of the settings.
	Declare func() *settings.Set
	// Check validates what involves several of the settings read from file, keys
	// included.
	Check func(file string) error
	// Run runs the program until it is asked to stop and returns its exit code.
	Run func() int
}

// Main parses the command line, runs the selected action and exits.
func (p Program) Main() {
	cmd := &cli.Command{
		Name:  p.Name,
		Usage: p.Usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "run with the settings of `FILE`"},
			&cli.StringFlag{Name: "check", Usage: "check `FILE` and exit"},
			&cli.BoolFlag{Name: "reference", Usage: "print all settings as a Markdown table"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error { return p.execute(cmd, os.Stdout) },
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(ExitFailure)
	}
}

func (p Program) execute(cmd *cli.Command, out io.Writer) error {
	if cmd.Bool("reference") {
		return p.Declare().Reference(out)
	}
	check := cmd.String("check")
	file := check
	if file == "" {
		file = cmd.String("settings")
	}
	if file == "" {
		return cli.Exit(p.Name+": -settings FILE is needed", ExitSettings)
	}
	if err := p.read(file); err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	if check != "" {
		_, err := fmt.Fprintln(out, "ok")
		return err
	}
	if code := p.Run(); code != 0 {
		return cli.Exit("", code)
	}
	return nil
}

func (p Program) read(file string) error {
	if err := p.Declare().Load(file); err != nil {
		return err
	}
	return p.Check(file)
}

// Run starts an application built from options, waits for a signal or an
// fx.Shutdowner, and stops the application within stop. It returns the exit code.
func Run(stop time.Duration, options ...fx.Option) int {
	app := fx.New(fx.Options(options...), fx.StopTimeout(stop), fx.WithLogger(newLogger))
	ctx := context.Background()
	if err := app.Start(ctx); err != nil {
		return ExitFailure
	}
	signal := <-app.Wait()
	ctx, cancel := context.WithTimeout(ctx, stop)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return ExitFailure
	}
	return signal.ExitCode
}

// newLogger has fx log its events at the debug level, except for errors.
func newLogger(log *slog.Logger) fxevent.Logger {
	l := &fxevent.SlogLogger{Logger: log}
	l.UseLogLevel(slog.LevelDebug)
	return l
}
