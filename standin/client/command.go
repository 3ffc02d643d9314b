package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"verbenashift/standin/judge"
)

const (
	defaultAttempts    = 12
	defaultTimeout     = time.Minute
	defaultConcurrency = 32
	defaultSettle      = 300 * time.Millisecond
	maxBreachesShown   = 20
)

var errViolated = errors.New("the system under test broke a promise")

// Command returns the command that replays a workload and judges the result.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "client",
		Usage: "replay a workload, then judge the answers by the stand-ins' ledgers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entries", Required: true, Usage: "addresses of the entries"},
			&cli.StringSliceFlag{Name: "tokens", Required: true, Usage: "workspace=token of each workspace"},
			&cli.StringFlag{Name: "input", Usage: "workload, a file of JSON lines"},
			&cli.StringFlag{Name: "deployment", Value: Lightbox, Usage: "built-in workload: lightbox or lakeshore"},
			&cli.StringFlag{Name: "model", Usage: "model of the built-in workload"},
			&cli.StringFlag{Name: "service", Usage: "service of the built-in workload"},
			&cli.StringFlag{Name: "nonce", Usage: "makes the keys of the built-in workload unique; the current time by default"},
			&cli.IntFlag{Name: "repeat", Value: 1, Usage: "number of times to play the built-in workload"},
			&cli.StringSliceFlag{Name: "ledgers", Usage: "addresses or ledger files of the target stand-ins"},
			&cli.StringSliceFlag{Name: "ranks", Usage: "addresses of the rank stand-ins"},
			&cli.StringSliceFlag{Name: "nodes", Usage: "addresses at which entries and agents report their revisions"},
			&cli.StringFlag{Name: "platform", Usage: "address of the platform stand-in whose counts to print"},
			&cli.StringFlag{Name: "record", Usage: "file to write the client's own record to"},
			&cli.FloatFlag{Name: "rate", Usage: "requests started per second; 0 for no limit"},
			&cli.IntFlag{Name: "concurrency", Value: defaultConcurrency, Usage: "maximum number of concurrent requests"},
			&cli.IntFlag{Name: "attempts", Value: defaultAttempts, Usage: "maximum number of attempts per request"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "timeout of one request including all attempts"},
			&cli.DurationFlag{Name: "settle", Value: defaultSettle, Usage: "delay before the ledgers are read, so that late runs are included"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	p := &Player{
		Entries:     cmd.StringSlice("entries"),
		Attempts:    cmd.Int("attempts"),
		Timeout:     cmd.Duration("timeout"),
		Rate:        cmd.Float("rate"),
		Concurrency: cmd.Int("concurrency"),
	}
	if p.Attempts < 1 || p.Concurrency < 1 {
		return errors.New("attempts and concurrency must be at least 1")
	}
	var err error
	if p.Tokens, err = parseTokens(cmd.StringSlice("tokens")); err != nil {
		return err
	}
	lines, err := loadWorkload(cmd, p.Tokens)
	if err != nil {
		return err
	}
	w := watch(ctx, cmd.StringSlice("nodes"))
	records := p.Play(ctx, lines)
	sleep(ctx, cmd.Duration("settle"))
	if err := writeRecord(cmd.String("record"), records); err != nil {
		return err
	}
	nodes, err := w.finish()
	if err != nil {
		return err
	}
	return report(ctx, cmd, judge.Evidence{Records: records, Nodes: nodes})
}

func parseTokens(list []string) (map[string]string, error) {
	tokens := make(map[string]string)
	for i, item := range list {
		workspace, token, ok := strings.Cut(item, "=")
		if !ok || workspace == "" || token == "" {
			return nil, errors.Errorf("tokens: item %d is not workspace=token", i+1)
		}
		tokens[workspace] = token
	}
	return tokens, nil
}

// loadWorkload returns the lines to play and checks that there is a token for
// the workspace of each.
func loadWorkload(cmd *cli.Command, tokens map[string]string) ([]Line, error) {
	var lines []Line
	var err error
	if input := cmd.String("input"); input != "" {
		lines, err = readFile(input)
	} else {
		lines, err = builtIn(cmd, tokens)
	}
	if err != nil {
		return nil, err
	}
	for i := range lines {
		if _, ok := tokens[lines[i].Workspace]; !ok {
			return nil, &LineError{lines[i].Number, errors.Errorf("workspace %q has no token", lines[i].Workspace)}
		}
	}
	return lines, nil
}

func readFile(name string) ([]Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open workload")
	}
	defer func() { _ = f.Close() }()
	lines, err := ReadWorkload(f)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	return lines, nil
}

func builtIn(cmd *cli.Command, tokens map[string]string) ([]Line, error) {
	names := Names{Model: cmd.String("model"), Service: cmd.String("service"), Nonce: cmd.String("nonce")}
	if names.Nonce == "" {
		names.Nonce = strconv.FormatInt(time.Now().UnixMilli(), 36)
	}
	for workspace := range tokens {
		names.Workspaces = append(names.Workspaces, workspace)
	}
	slices.Sort(names.Workspaces)
	var lines []Line
	nonce := names.Nonce
	for i := range cmd.Int("repeat") {
		names.Nonce = fmt.Sprintf("%s-%d", nonce, i)
		more, err := BuiltIn(cmd.String("deployment"), names)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	for i := range lines {
		lines[i].Number = i + 1
	}
	return lines, nil
}

// report judges the evidence and prints the times by class, the platform's
// counts and, as the last line, the verdict.
func report(ctx context.Context, cmd *cli.Command, e judge.Evidence) error {
	var err error
	if e.Ledgers, err = readLedgers(ctx, cmd.StringSlice("ledgers")); err != nil {
		return err
	}
	if e.Ranks, err = readRanks(ctx, cmd.StringSlice("ranks")); err != nil {
		return err
	}
	out := json.NewEncoder(cmd.Root().Writer)
	for _, t := range Times(e.Records) {
		_ = out.Encode(t)
	}
	if address := cmd.String("platform"); address != "" {
		if err := printPlatform(ctx, out, address); err != nil {
			return err
		}
	}
	if err := printRanks(out, e.Ranks); err != nil {
		return err
	}
	v := judge.Judge(e)
	showBreaches(cmd.Root().ErrWriter, v.Breaches)
	if err := out.Encode(v); err != nil {
		return errors.Wrap(err, "print verdict")
	}
	if !v.Passed() {
		return errViolated
	}
	return nil
}

func printPlatform(ctx context.Context, out *json.Encoder, address string) error {
	counts := make(map[string]any)
	if err := fetch(ctx, address, "/ledger", &counts); err != nil {
		return err
	}
	// The history of the keys is the operators' configuration and not a count.
	delete(counts, "keys")
	return out.Encode(struct {
		Platform map[string]any `json:"platform"`
	}{counts})
}

func printRanks(out *json.Encoder, ranks []judge.Rank) error {
	c, err := countRanks(ranks)
	if err != nil || c.Ranks == 0 {
		return err
	}
	return out.Encode(struct {
		Ranks rankCounts `json:"ranks"`
	}{c})
}

func showBreaches(w io.Writer, breaches []judge.Breach) {
	for i, b := range breaches {
		if i == maxBreachesShown {
			_, _ = fmt.Fprintf(w, "and %d more\n", len(breaches)-i)
			return
		}
		_, _ = fmt.Fprintln(w, b)
	}
}
