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

// errBroken says that a promise broke; the verdict tells which.
var errBroken = errors.New("a promise broke")

// Command plays a fleet for gateways and sidecars that somebody else starts. It
// writes their settings files, then the file "started", waits until all gateways
// are ready, plays requests and prints the verdict.
func Command() *cli.Command {
	var shape Shape
	var requests int
	return &cli.Command{
		Name:  "fleet",
		Usage: "play the platform for gateways and sidecars, and judge what callers got",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "write the settings files to `DIR`", Required: true, Destination: &shape.Dir},
			&cli.StringFlag{Name: "block", Usage: "first three numbers of the loopback addresses", Value: "127.0.60", Destination: &shape.Block},
			&cli.IntFlag{Name: "ranks", Usage: "ranks of an expert group", Value: 4, Destination: &shape.Ranks},
			&cli.IntFlag{Name: "groups", Usage: "expert groups", Value: 2, Destination: &shape.Groups},
			&cli.IntFlag{Name: "gateways", Usage: "gateways", Value: 2, Destination: &shape.Gateways},
			&cli.Float64Flag{Name: "late-orders", Usage: "share of orders that are carried out late", Destination: &shape.LateOrders},
			&cli.IntFlag{Name: "requests", Usage: "requests to play", Value: 600, Destination: &requests},
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
		return errBroken
	}
	return nil
}

// WaitReady waits until all gateways say that they are ready.
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
	// Only the status counts.
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
