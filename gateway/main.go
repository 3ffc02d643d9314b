// Command gateway serves callers on an instance of the users' platform: it
// admits their requests, passes them on to servers and carries the answers back
// whole.
//
// # Usage
//
//	gateway              run with the settings that the platform has named
//	gateway -check FILE  check a settings file and exit
package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"verbenashift/core/configuration/mirror"
	"verbenashift/core/plumbing/instance"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/permit"
	"verbenashift/core/request/quarantine"
	"verbenashift/platform"
)

func main() {
	instance.Program{Name: "gateway", Usage: "serve callers", Settings: platform.BootSource{}, Build: build}.Main()
}

func build(instance.Env) fx.Option {
	return fx.Options(fx.Provide(newTracer, newStore, newGateway, newFollower), fx.Invoke(follow, answerReady, serve))
}

func newStore(env instance.Env) *platform.Store { return platform.NewStore(env.Boot.Store.Addr) }

func newFollower(env instance.Env, store *platform.Store) *mirror.Follower {
	return mirror.NewFollower(store, platform.Formats(), env.Log)
}

// follow keeps the gateway at what the store says, and lets time pass for it.
func follow(lc fx.Lifecycle, f *mirror.Follower, g *gateway) {
	ctx, cancel := context.WithCancel(context.Background())
	f.OnChange(g.update)
	f.OnLost(g.startup.Lost)
	f.Listen(quarantine.Prefix, g.isolator.apply)
	f.ListenChanges(suspicionsPrefix, g.suspicions.apply)
	f.Listen(permit.Prefix, g.fleet.backpressure.limits.apply)
	g.digests.event, g.digests.hint = f.Event, f.Hint
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go f.Run(ctx)
			go g.run(ctx)
			go g.isolator.run(ctx)
			go g.suspicions.run(ctx)
			go g.fleet.backpressure.limits.run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// answerReady answers the balancer's checks.
func answerReady(lc fx.Lifecycle, env instance.Env, g *gateway) {
	instance.Serve(lc, env.Log, env.Boot.Ready, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

const (
	// headerWait bounds how long a caller may take to send a header; callers
	// stay within the configured limit, which is shorter.
	headerTimeout = 10 * time.Second
	// idleWait is how long an idle connection is kept: longer than callers do.
	idleTimeout = 60 * time.Second
	// outOfRotation is how long the balancer takes to send no new connections
	// here: two checks, a second apart, and one for good measure.
	rotationDelay = 2500 * time.Millisecond
)

// serve listens for callers. On a stop, the balancer is told first, by answerReady;
// callers are served until it has heard, and answers in progress are ended.
func serve(lc fx.Lifecycle, env instance.Env, g *gateway) {
	server := &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", env.Boot.Callers.String())
			if err != nil {
				return err
			}
			go func() {
				// It ends when the server is shut down.
				_ = server.Serve(l)
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			g.shuttingDown.Store(true)
			pause.For(ctx, rotationDelay)
			return server.Shutdown(ctx)
		},
	})
}
