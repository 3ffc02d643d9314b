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

var errBroken = errors.New("a promise was broken")

// Command returns the command line of the calling client.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "client",
		Usage: "play a closing, then judge it by the stand-ins' ledgers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entries", Required: true, Usage: "addresses of the entries"},
			&cli.StringSliceFlag{Name: "tokens", Required: true, Usage: "workspace=token of each workspace"},
			&cli.StringFlag{Name: "input", Usage: "closing, a file of JSON lines"},
			&cli.StringFlag{Name: "deployment", Value: Lightbox, Usage: "built-in closing: lightbox or lakeshore"},
			&cli.StringFlag{Name: "model", Usage: "model of the built-in closing"},
			&cli.StringFlag{Name: "service", Usage: "service of the built-in closing"},
			&cli.StringFlag{Name: "nonce", Usage: "sets the built-in closing's keys apart; the time by default"},
			&cli.IntFlag{Name: "repeat", Value: 1, Usage: "plays the built-in closing so many times"},
			&cli.StringSliceFlag{Name: "ledgers", Usage: "addresses or ledger files of the target stand-ins"},
			&cli.StringSliceFlag{Name: "ranks", Usage: "addresses of the rank stand-ins"},
			&cli.StringSliceFlag{Name: "nodes", Usage: "addresses that tell entries' and agents' revisions"},
			&cli.StringFlag{Name: "platform", Usage: "address of the platform stand-in, to print its counts"},
			&cli.StringFlag{Name: "record", Usage: "file for the client's own record"},
			&cli.FloatFlag{Name: "rate", Usage: "requests that begin in a second; 0 for no limit"},
			&cli.IntFlag{Name: "concurrency", Value: defaultConcurrency, Usage: "requests at once"},
			&cli.IntFlag{Name: "attempts", Value: defaultAttempts, Usage: "attempts of one request"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "time of one request with all attempts"},
			&cli.DurationFlag{Name: "settle", Value: defaultSettle, Usage: "time before the ledgers are read, for late runs"},
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
		return errors.New("attempts and concurrency are at least 1")
	}
	var err error
	if p.Tokens, err = parseTokens(cmd.StringSlice("tokens")); err != nil {
		return err
	}
	lines, err := closing(cmd, p.Tokens)
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

// closing returns the lines to play. Each line's workspace has a token.
func closing(cmd *cli.Command, tokens map[string]string) ([]Line, error) {
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
		return nil, errors.Wrap(err, "open closing")
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

// report judges and prints: times by class, the platform's counts, and last
// the verdict.
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
		return errBroken
	}
	return nil
}

func printPlatform(ctx context.Context, out *json.Encoder, address string) error {
	counts := make(map[string]any)
	if err := fetch(ctx, address, "/ledger", &counts); err != nil {
		return err
	}
	// The history of the keys is the operators' configuration, not a count.
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
