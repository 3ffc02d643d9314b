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
	"crypto/tls"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"verbenashift/core/plumbing/keys"
	"verbenashift/core/plumbing/process"
)

func main() {
	var cfg Settings
	process.Program{
		Name: "entry", Usage: "serve callers and operators",
		Declare: cfg.declare, Check: cfg.check,
		Run: func() int { return serve(cfg) },
	}.Main()
}

// check validates the settings that depend on one another and on files.
func (c *Settings) check(file string) error {
	if err := c.checkCallerKeys(); err != nil {
		return errors.Wrapf(err, "settings file %s: [caller-tls]", file)
	}
	if _, err := c.Peer.Client(); err != nil {
		return errors.Wrapf(err, "settings file %s", file)
	}
	return nil
}

// checkCallerKeys loads the certificate shown to callers and operators. Without
// one the listeners must be on loopback addresses.
func (c *Settings) checkCallerKeys() error {
	if c.CallerCert != "" {
		_, err := tls.LoadX509KeyPair(c.CallerCert, c.CallerKey)
		return err
	}
	if err := keys.CheckClear(c.Callers); err != nil {
		return err
	}
	return keys.CheckClear(c.Operators)
}

// serve runs the entry until it is asked to stop and returns the exit code.
func serve(cfg Settings) int {
	return process.Run(cfg.DrainNotice+cfg.DrainTimeout+time.Minute,
		fx.Supply(cfg),
		fx.Provide(newLogger, newTracer, newDialer, newStore, newFollower, newEntry),
		fx.Invoke((*Entry).start),
	)
}
