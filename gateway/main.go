// Command gateway serves callers on an instance of the users' platform: it
// admits their requests, forwards them to servers and returns complete answers.
//
// # Usage
//
//	gateway              run with the settings that the platform names
//	gateway -check FILE  check a settings file and exit
package main

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/fx"

	"verbenashift/core/configuration/mirror"
	"verbenashift/core/plumbing/boot"
	"verbenashift/core/plumbing/instance"
	"verbenashift/core/plumbing/intake"
	"verbenashift/core/request/permit"
	"verbenashift/core/request/quarantine"
	"verbenashift/platform"
)

func main() {
	instance.Program{Name: "gateway", Usage: "serve callers", Settings: platform.BootSource{}, Build: build}.Main()
}

func build(instance.Env) fx.Option {
	return fx.Options(fx.Provide(newTracer, newStore, newGateway, newFollower), fx.Invoke(serveFeed, follow, answerReady, serve))
}

func newStore(env instance.Env) *platform.Store { return platform.NewStore(env.Boot.Store.Addr) }

func newFollower(env instance.Env, store *platform.Store) *mirror.Follower {
	f := mirror.NewFollower(store, platform.Formats(), env.Log)
	f.UseCheckpoints(store, true)
	return f
}

// follow subscribes the gateway to the store and runs its periodic work.
func follow(lc fx.Lifecycle, f *mirror.Follower, g *gateway) {
	ctx, cancel := context.WithCancel(context.Background())
	f.OnChange(g.update)
	f.OnStoreUnreachable(g.startup.Unreachable)
	f.OnStoreRestored(g.fleet.backpressure.limits.storeRestored)
	f.OnStoreRestored(g.isolator.storeRestored)
	f.Listen(quarantine.Prefix, g.isolator.apply)
	f.ListenChanges(suspicionsPrefix, g.suspicions.apply)
	f.Listen(permit.Prefix, g.fleet.backpressure.limits.apply)
	g.digests.event, g.digests.hint = f.LastEventRevision, f.Hint
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

// answerReady answers the readiness checks of the load balancer.
func answerReady(lc fx.Lifecycle, env instance.Env, g *gateway) {
	instance.Serve(lc, env.Log, "ready", env.Boot.Ready, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

const (
	// headerTimeout is how long a new connection may send nothing.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept, which is longer than
	// callers keep theirs.
	idleTimeout = 60 * time.Second
	// headShare is the part of the memory for heads of requests that are not small.
	headShare = 1.0 / 16
)

// callerLimits returns the limits of the connections of callers.
func callerLimits(s boot.Settings) intake.Limits {
	return intake.Limits{
		Connections: intake.Connections(s.MemoryBytes, s.Descriptors),
		HeadRoom:    int64(headShare * float64(s.MemoryBytes)),
		Patience:    intake.Patience,
	}
}

// serve listens for callers.
func serve(lc fx.Lifecycle, env instance.Env, g *gateway) {
	server := &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := intake.Listen(env.Boot.Callers.String(), callerLimits(env.Boot), env.Log)
			if err != nil {
				return err
			}
			g.limitHeads(l)
			go l.Watch(ctx)
			go func() {
				// Serve returns when the server is shut down.
				_ = l.Serve(server)
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			defer cancel()
			return g.stop(ctx, server)
		},
	})
}
