package client

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/standin/judge"
	"verbenashift/standin/ledger"
)

const (
	fetchTimeout = 5 * time.Second
	pollInterval = 250 * time.Millisecond
)

// fetch decodes the JSON answer of http://address/path into v.
func fetch(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base(address)+path, nil)
	if err != nil {
		return errors.Wrapf(err, "query %s", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "query %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("query %s%s: status %d", address, path, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return errors.Wrapf(err, "query %s%s", address, path)
	}
	return nil
}

// readLedgers reads each stand-in's ledger from its address, or from a file if
// the name contains a slash. A ledger that can't be read is an error, because
// nothing can be judged without it.
func readLedgers(ctx context.Context, from []string) ([]ledger.Report, error) {
	reports := make([]ledger.Report, len(from))
	for i, name := range from {
		if !strings.Contains(name, "/") {
			if err := fetch(ctx, name, "/ledger", &reports[i]); err != nil {
				return nil, err
			}
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open ledger")
		}
		reports[i].Runs, err = ledger.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read ledger %s", name)
		}
	}
	return reports, nil
}

func readRanks(ctx context.Context, addresses []string) ([]judge.Rank, error) {
	ranks := make([]judge.Rank, len(addresses))
	for i, address := range addresses {
		if err := fetch(ctx, address, "/ledger", &ranks[i]); err != nil {
			return nil, err
		}
	}
	return ranks, nil
}

var errNoSteps = errors.New("the ranks' ledgers contain no steps: the maps cannot be judged")

// rankCounts summarizes the ranks' ledgers, to show how much evidence the judge
// had.
type rankCounts struct {
	Ranks int    `json:"ranks"`
	Steps uint64 `json:"steps"`
	// Maps counts the distinct maps that were used, over all groups.
	Maps int `json:"maps"`
}

func countRanks(ranks []judge.Rank) (rankCounts, error) {
	c := rankCounts{Ranks: len(ranks)}
	maps := make(map[uint64]bool)
	for _, r := range ranks {
		for _, s := range r.Spans {
			c.Steps += s.To - s.From + 1
			maps[s.Map] = true
		}
	}
	c.Maps = len(maps)
	if len(ranks) > 0 && c.Steps == 0 {
		return c, errNoSteps
	}
	return c, nil
}

// watcher polls nodes for their revisions, so that a restarted node can't hide
// the revisions that it had in force before.
type watcher struct {
	nodes []judge.Node
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func watch(ctx context.Context, addresses []string) *watcher {
	ctx, stop := context.WithCancel(ctx)
	w := &watcher{nodes: make([]judge.Node, len(addresses)), stop: stop}
	for i, address := range addresses {
		w.nodes[i].Name = address
		w.done.Go(func() { poll(ctx, &w.nodes[i]) })
	}
	return w
}

func poll(ctx context.Context, n *judge.Node) {
	for {
		// Take one more sample after the stop.
		stopped := ctx.Err() != nil
		if history, err := fetchRevisions(ctx, n.Name); err == nil {
			n.Samples = append(n.Samples, history)
		}
		if stopped {
			return
		}
		sleep(ctx, pollInterval)
	}
}

// finish takes the last samples. A node that never reported its revisions is
// an error.
func (w *watcher) finish() ([]judge.Node, error) {
	w.stop()
	w.done.Wait()
	for _, n := range w.nodes {
		if len(n.Samples) == 0 {
			return nil, errors.Errorf("node %s reported no revisions", n.Name)
		}
	}
	return w.nodes, nil
}

// fetchRevisions returns the revision history that a node reports.
func fetchRevisions(ctx context.Context, address string) ([]uint64, error) {
	var answer struct {
		History []uint64 `json:"history"`
	}
	err := fetch(context.WithoutCancel(ctx), address, "/revisions", &answer)
	return answer.History, err
}
