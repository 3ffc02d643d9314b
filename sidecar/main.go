// Command sidecar runs next to a model server of an expert group. It passes the orders of
// the group's coordinator to the server, and may be the coordinator itself.
//
// # Usage
//
//	sidecar              run with the settings that the platform has named
//	sidecar -check FILE  check a settings file and exit
//	sidecar -no-plan     leave the expert map as it is
package main

import (
	"context"
	"net"

	"go.uber.org/fx"

	"verbenashift/core/plumbing/instance"
	"verbenashift/platform"
)

func main() {
	instance.Program{Name: "sidecar", Usage: "run next to a model server", Settings: platform.BootSource{}, Build: build}.Main()
}

func build(instance.Env) fx.Option {
	return fx.Options(fx.Provide(newAgent), fx.Invoke(start))
}

// start listens for requests from coordinators and other agents, and starts the loop that takes
// over when the coordinator is silent.
func start(lc fx.Lifecycle, a *agent) {
	ctx, cancel := context.WithCancel(context.Background())
	var l net.Listener
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			if l, err = net.Listen("tcp", a.addr().String()); err != nil {
				cancel()
				return err
			}
			go a.serve(l)
			go a.run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return l.Close()
		},
	})
}
