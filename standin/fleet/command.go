package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
)

// errViolated means that a promise was broken or that too few requests completed; the
// printed verdict has the counts.
var errViolated = errors.New("a promise was broken or too few requests completed; see the verdict")

// Command returns the command that simulates the platform for gateways and sidecars
// that are started by someone else. It writes their settings files, then the file
// "started", waits until all gateways are ready, sends requests and prints the
// verdict.
func Command() *cli.Command {
	var shape Shape
	var requests int
	return &cli.Command{
		Name:  "fleet",
		Usage: "simulate the platform for gateways and sidecars, and judge the answers that callers got",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "write the settings files to `DIR`", Required: true, Destination: &shape.Dir},
			&cli.StringFlag{Name: "block", Usage: "first three numbers of the loopback addresses", Value: "127.0.60", Destination: &shape.Block},
			&cli.IntFlag{Name: "ranks", Usage: "number of ranks of each expert group", Value: 4, Destination: &shape.Ranks},
			&cli.IntFlag{Name: "groups", Usage: "number of expert groups", Value: 2, Destination: &shape.Groups},
			&cli.IntFlag{Name: "gateways", Usage: "gateways", Value: 2, Destination: &shape.Gateways},
			&cli.Float64Flag{Name: "late-orders", Usage: "share of orders that are carried out late and not answered", Destination: &shape.LateOrders},
			&cli.IntFlag{Name: "requests", Usage: "number of requests to send", Value: 600, Destination: &requests},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, shape, requests) },
	}
}

func run(ctx context.Context, shape Shape, requests int) error {
	f, err := Start(shape)
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := os.WriteFile(filepath.Join(shape.Dir, "started"), nil, 0o600); err != nil {
		return err
	}
	if err := f.WaitReady(ctx, time.Minute); err != nil {
		return err
	}
	calls := Play(ctx, f, requests/2)
	f.ShiftLoad()
	calls = append(calls, Play(ctx, f, requests-requests/2)...)
	v := Judge(f, calls)
	if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
		return err
	}
	if !v.Passed() || v.Complete < v.Requests*9/10 {
		return errViolated
	}
	return nil
}

// WaitReady waits until all gateways report that they are ready, for at most limit.
func (f *Fleet) WaitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, addr := range f.Ready {
		for !isReady(ctx, addr) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("gateway at %s is not ready: %w", addr, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	// Only the status matters.
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
