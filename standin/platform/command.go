package platform

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"verbenashift/standin/serve"
)

const (
	defaultLatency     = 2 * time.Millisecond
	defaultInstanceLag = 2 * time.Second
	defaultWeightRate  = 64 << 20
)

// Command returns the command line of the platform.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a fake of the platform's key-value store, instance list and weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000", Usage: "IP address and port"},
			&cli.DurationFlag{Name: "latency", Value: defaultLatency, Usage: "duration of a call to the key-value store"},
			&cli.DurationFlag{Name: "instance-lag", Value: defaultInstanceLag, Usage: "age of the instance list"},
			&cli.IntFlag{Name: "weight-rate", Value: defaultWeightRate, Usage: "bytes per second of the weight store; 0 for no limit"},
			&cli.Int64Flag{Name: "weight-size", Value: DefaultWeightSize, Usage: "size of one expert's weights in bytes"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	p := New(Config{
		Latency:     cmd.Duration("latency"),
		InstanceLag: cmd.Duration("instance-lag"),
		WeightRate:  cmd.Int("weight-rate"),
		WeightSize:  cmd.Int64("weight-size"),
	})
	defer p.Close()
	return serve.Run(ctx, serve.Options{Name: "platform", Listen: cmd.String("listen"), Handler: p.Handler()})
}
