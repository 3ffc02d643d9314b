// Agent runs beside one target and is the only access path to it. It holds the
// target's queue, the register of the keys that may run at most once, the
// answers in progress, and a direct measurement of the target's load.
//
// # Usage
//
//	agent -settings FILE    run with the settings of FILE
//	agent -check FILE       check FILE and exit
//	agent -reference        print all settings as a Markdown table
package main

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"verbenashift/core/plumbing/process"
)

func main() {
	var cfg Settings
	process.Program{
		Name: "agent", Usage: "serve the target beside this process",
		Declare: cfg.declare, Check: cfg.check,
		Run: func() int { return serve(cfg) },
	}.Main()
}

// check checks the settings that depend on each other.
func (c *Settings) check(file string) error {
	if err := c.Peer.Check(c.Peers); err != nil {
		return errors.Wrapf(err, "settings file %s: [tls]", file)
	}
	if _, err := c.Peer.Client(); err != nil {
		return errors.Wrapf(err, "settings file %s", file)
	}
	return nil
}

// serve runs the agent until it is told to stop.
func serve(cfg Settings) int {
	return process.Run(cfg.DrainBound+time.Minute,
		fx.Supply(cfg),
		fx.Provide(newLogger, newTracer, newDialer, newStore, newFollower, newIdentity, newAgent),
		fx.Invoke((*Agent).start),
	)
}
