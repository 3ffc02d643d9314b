package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"verbenashift/standin/rank"
)

const (
	defaultRankStep = 20 * time.Millisecond
	defaultDepth    = 0.6
	defaultPeriod   = 2 * time.Minute
)

func rankFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "group", Usage: "expert-parallel group that the engine is a rank of"},
		&cli.StringSliceFlag{Name: "group-peers", Usage: "name=address of each rank of the group, in the order of the expert maps, for lockstep"},
		&cli.StringFlag{Name: "model", Usage: "model whose weights the rank loads"},
		&cli.StringFlag{Name: "weights", Usage: "address of the weight store"},
		&cli.IntFlag{Name: "experts", Usage: "number of experts in a layer"},
		&cli.IntFlag{Name: "expert-slots", Usage: "number of expert slots of the rank in a layer"},
		&cli.DurationFlag{Name: "rank-step", Value: defaultRankStep, Usage: "duration of a step of the group when the load is balanced"},
		&cli.Uint64Flag{Name: "drift-seed", Value: 1, Usage: "seed of the experts' loads; the same for all ranks of a group"},
		&cli.DurationFlag{Name: "drift-period", Value: defaultPeriod, Usage: "period of the oscillation of the experts' loads"},
		&cli.BoolFlag{Name: "ignore-wait", Usage: "inject a fault: the rank keeps its map at a switch"},
		&cli.FloatFlag{Name: "drift-depth", Value: defaultDepth, Usage: "amplitude of the logarithm of an expert's load"},
	}
}

// groupRank is a rank with the link to the other ranks of its group.
type groupRank struct {
	*rank.Rank
	link *rank.UDP
}

// newRank returns the rank that the flags describe, or nil if they name no
// group.
func newRank(cmd *cli.Command) (*groupRank, error) {
	if cmd.String("group") == "" {
		return nil, nil
	}
	peers := make(map[string]string)
	var order []string
	for _, item := range cmd.StringSlice("group-peers") {
		name, address, ok := strings.Cut(item, "=")
		if !ok {
			return nil, errors.Errorf("group-peers: %q is not name=address", item)
		}
		peers[name], order = address, append(order, name)
	}
	link, err := rank.NewUDP(cmd.String("name"), peers)
	if err != nil {
		return nil, err
	}
	r := rank.New(rank.Config{
		Name: cmd.String("name"), Group: cmd.String("group"), Index: slices.Index(order, cmd.String("name")), Order: order, IgnoreWait: cmd.Bool("ignore-wait"),
		Step: cmd.Duration("rank-step"), HonourFencing: cmd.Bool("honour-fencing"),
		Model: cmd.String("model"), Store: &rank.Store{Address: cmd.String("weights")}, Slots: cmd.Int("expert-slots"),
		Drift: rank.Drift{
			Seed: cmd.Uint64("drift-seed"), Experts: cmd.Int("experts"), Period: cmd.Duration("drift-period"),
			Depth: cmd.Float("drift-depth"), Lag: cmd.Duration("load-lag"),
		},
	}, link)
	return &groupRank{r, link}, nil
}

// run receives messages and advances the rank until ctx ends.
func (g *groupRank) run(ctx context.Context) {
	go g.link.Run(ctx, g.Receive)
	g.Rank.Run(ctx)
}
