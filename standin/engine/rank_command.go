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
		&cli.StringFlag{Name: "group", Usage: "expert-parallel group in which the engine is a rank"},
		&cli.StringSliceFlag{Name: "group-peers", Usage: "name=address of each rank of the group, in the maps' order, for lock-step"},
		&cli.StringFlag{Name: "model", Usage: "model whose weights the rank loads"},
		&cli.StringFlag{Name: "weights", Usage: "address of the weight store"},
		&cli.IntFlag{Name: "experts", Usage: "experts in a layer"},
		&cli.IntFlag{Name: "expert-slots", Usage: "experts of a layer that the rank holds"},
		&cli.DurationFlag{Name: "rank-step", Value: defaultRankStep, Usage: "time of a step of the group with an even load"},
		&cli.Uint64Flag{Name: "drift-seed", Value: 1, Usage: "seed of the experts' loads, the same for a whole group"},
		&cli.DurationFlag{Name: "drift-period", Value: defaultPeriod, Usage: "time in which the experts' loads swell and ebb"},
		&cli.BoolFlag{Name: "ignore-wait", Usage: "make the rank a faulty one, which keeps its map at a switch"},
		&cli.FloatFlag{Name: "drift-depth", Value: defaultDepth, Usage: "how far the logarithm of an expert's load swings"},
	}
}

// groupRank is a rank with the link to its group.
type groupRank struct {
	*rank.Rank
	link *rank.UDP
}

// newRank returns the rank that the flags tell of, nil for an engine without a
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

// run advances the rank until ctx ends.
func (g *groupRank) run(ctx context.Context) {
	go g.link.Run(ctx, g.Receive)
	g.Rank.Run(ctx)
}
