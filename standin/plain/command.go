package plain

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"verbenashift/standin/ledger"
	"verbenashift/standin/serve"
)

const defaultWork = 2 * time.Millisecond

// Command returns the command line of the plain service.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "run a fake of the booking application or the job desk",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9200", Usage: "IP address and port"},
			&cli.StringFlag{Name: "name", Usage: "target name in the ledger"},
			&cli.DurationFlag{Name: "work", Value: defaultWork, Usage: "duration of one call"},
			&cli.IntFlag{Name: "slots", Usage: "number of calls that run concurrently; 0 for no limit"},
			&cli.StringFlag{Name: "ledger", Usage: "file to append runs to"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	l, err := ledger.Open(cmd.String("ledger"))
	if err != nil {
		return err
	}
	l.SetTarget(cmd.String("name"))
	s := New(Config{Work: cmd.Duration("work"), Slots: cmd.Int("slots")}, l)
	return serve.Run(ctx, serve.Options{Name: "plain", Listen: cmd.String("listen"), Handler: s.Handler()})
}
