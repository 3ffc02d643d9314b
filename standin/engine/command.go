package engine

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"verbenashift/standin/ledger"
	"verbenashift/standin/serve"
)

const (
	defaultSlots = 8
	defaultStep  = 4 * time.Millisecond
	defaultKeep  = 30 * time.Second
)

// Command returns the command line of the engine.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a fake model engine",
		Flags: append(rankFlags(), []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9100", Usage: "IP address and port"},
			&cli.StringFlag{Name: "name", Usage: "target name in the ledger"},
			&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "number of streams that run concurrently"},
			&cli.DurationFlag{Name: "step", Value: defaultStep, Usage: "duration of one step"},
			&cli.DurationFlag{Name: "startup", Usage: "time between admission and the first step"},
			&cli.DurationFlag{Name: "load-lag", Usage: "age of load reports"},
			&cli.DurationFlag{Name: "keep", Value: defaultKeep, Usage: "how long a completed generation is retained"},
			&cli.BoolFlag{Name: "honour-fencing", Usage: "reject orders with an older fencing token"},
			&cli.StringFlag{Name: "check-orders", Usage: "bearer token that orders must carry"},
			&cli.StringFlag{Name: "ledger", Usage: "file to append runs to"},
		}...),
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	l, err := ledger.Open(cmd.String("ledger"))
	if err != nil {
		return err
	}
	l.SetTarget(cmd.String("name"))
	r, err := newRank(cmd)
	if err != nil {
		return err
	}
	cfg := Config{
		Slots:         cmd.Int("slots"),
		Step:          cmd.Duration("step"),
		Startup:       cmd.Duration("startup"),
		LoadLag:       cmd.Duration("load-lag"),
		Keep:          cmd.Duration("keep"),
		HonourFencing: cmd.Bool("honour-fencing"),
		OrderToken:    cmd.String("check-orders"),
	}
	if r != nil {
		cfg.Rank = r
	}
	e := New(cfg, l)
	return serve.Run(ctx, serve.Options{
		Name:    "engine",
		Listen:  cmd.String("listen"),
		Handler: e.Handler(),
		Background: func(ctx context.Context) {
			if r != nil {
				go r.run(ctx)
			}
			e.Run(ctx)
		},
	})
}
