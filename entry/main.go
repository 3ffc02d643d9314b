// Entry is the program that callers and operators talk to. It admits requests
// per workspace, picks a target, relays and resumes answers, and serves the
// administration API.
//
// # Usage
//
//	entry -settings FILE    run with the settings of FILE
//	entry -check FILE       check FILE and exit
//	entry -reference        print all settings as a Markdown table
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"verbenashift/core/keys"
)

// The exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	cmd := &cli.Command{
		Name:  "entry",
		Usage: "serve callers and operators",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "run with the settings of `FILE`"},
			&cli.StringFlag{Name: "check", Usage: "check `FILE` and exit"},
			&cli.BoolFlag{Name: "reference", Usage: "print all settings as a Markdown table"},
		},
		Action: act,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
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
		return cli.Exit("entry: -settings FILE is needed", exitSettings)
	}
	if err := readSettings(&cfg, file); err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if cmd.String("check") != "" {
		fmt.Println("ok")
		return nil
	}
	if code := run(cfg); code != 0 {
		return cli.Exit("", code)
	}
	return nil
}

// readSettings reads and checks a settings file, keys included.
func readSettings(cfg *Settings, file string) error {
	if err := cfg.declare().Load(file); err != nil {
		return err
	}
	if cfg.CallerCert == "" {
		for _, addr := range []string{cfg.Callers, cfg.Operators} {
			if err := keys.CheckClear(addr); err != nil {
				return errors.Wrapf(err, "settings file %s: [caller-tls]", file)
			}
		}
	}
	if cfg.CallerCert != "" {
		if _, err := tls.LoadX509KeyPair(cfg.CallerCert, cfg.CallerKey); err != nil {
			return errors.Wrapf(err, "settings file %s: [caller-tls]", file)
		}
	}
	if _, err := cfg.Peer.Client(); err != nil {
		return errors.Wrapf(err, "settings file %s: [tls]", file)
	}
	return nil
}
