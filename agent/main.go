// Agent is the process beside one target and the only way to it. It holds the
// queue of the target, the register of what may run at most once, the answers
// while they grow, and the target's load at first hand.
//
// # Usage
//
//	agent -settings FILE    run with the settings of FILE
//	agent -check FILE       check FILE and exit
//	agent -reference        print all settings as a Markdown table
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	cmd := &cli.Command{
		Name:  "agent",
		Usage: "serve the target beside this process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "run with the settings of `FILE`"},
			&cli.StringFlag{Name: "check", Usage: "check `FILE` and exit"},
			&cli.BoolFlag{Name: "reference", Usage: "print all settings as a Markdown table"},
		},
		Action: act,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(exitFailure)
	}
}

func act(_ context.Context, cmd *cli.Command) error {
	var cfg Settings
	set := cfg.declare()
	if cmd.Bool("reference") {
		return set.Reference(os.Stdout)
	}
	file := cmd.String("check")
	if file == "" {
		file = cmd.String("settings")
	}
	if file == "" {
		return cli.Exit("agent: -settings FILE is needed", exitSettings)
	}
	if err := readSettings(&cfg, file); err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if cmd.String("check") != "" {
		fmt.Println("ok")
		return nil
	}
	if code := serveUntilSignal(cfg); code != 0 {
		return cli.Exit("", code)
	}
	return nil
}

// readSettings reads and checks a settings file, keys included.
func readSettings(cfg *Settings, file string) error {
	if err := cfg.declare().Load(file); err != nil {
		return err
	}
	if err := cfg.Peer.Check(cfg.Peers); err != nil {
		return err
	}
	_, err := cfg.Peer.Client()
	return err
}
