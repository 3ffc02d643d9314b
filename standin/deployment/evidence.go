package deployment

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/standin/client"
	"verbenashift/standin/judge"
	"verbenashift/standin/ledger"
)

const (
	sampleInterval = 100 * time.Millisecond
	sampleTimeout  = time.Second

	playAttempts    = 60
	playTimeout     = 40 * time.Second
	playConcurrency = 64
)

// Player returns a client of all entries with the tokens of all workspaces. Its
// limits may be changed before it plays.
func (d *Deployment) Player() *client.Player {
	p := &client.Player{
		Entries: d.Entries(), Tokens: make(map[string]string),
		Attempts: playAttempts, Timeout: playTimeout, Concurrency: playConcurrency,
	}
	for _, ws := range d.Shape.Workspaces {
		p.Tokens[ws] = token(ws)
	}
	return p
}

// Play plays a workload and returns the client's record.
func (d *Deployment) Play(ctx context.Context, lines []client.Line) []judge.Record {
	for i := range lines {
		lines[i].Number = i + 1
	}
	return d.Player().Play(ctx, lines)
}

// Ledgers reads the ledger files of all targets. The files survive the
// targets' processes.
func (d *Deployment) Ledgers() ([]ledger.Report, error) {
	var reports []ledger.Report
	for n := 1; n <= d.Shape.targets(); n++ {
		f, err := os.Open(d.ledger(n))
		if err != nil {
			return nil, errors.Wrap(err, "open ledger")
		}
		runs, err := ledger.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read ledger %s", filepath.Base(d.ledger(n)))
		}
		reports = append(reports, ledger.Report{Target: name(targetName, n), Runs: runs})
	}
	return reports, nil
}

// Runs returns all runs of all targets that match.
func (d *Deployment) Runs(match func(ledger.Run) bool) ([]ledger.Run, error) {
	reports, err := d.Ledgers()
	if err != nil {
		return nil, err
	}
	var runs []ledger.Run
	for _, r := range reports {
		for _, run := range r.Runs {
			if match(run) {
				runs = append(runs, run)
			}
		}
	}
	return runs, nil
}

// Ranks fetches the ledgers of the group's ranks, which the engines hold in
// memory.
func (d *Deployment) Ranks(ctx context.Context) ([]judge.Rank, error) {
	if !d.Shape.Group {
		return nil, nil
	}
	ranks := make([]judge.Rank, d.Shape.ModelTargets)
	for i := range ranks {
		if err := fetch(ctx, d.Address(name(targetName, i+1)), "/rank/ledger", &ranks[i]); err != nil {
			return nil, err
		}
	}
	return ranks, nil
}

// Verdict judges records by the ledgers, by the steps of the group's ranks and
// by the revisions that the nodes have reported since the start.
func (d *Deployment) Verdict(records []judge.Record) (*judge.Verdict, error) {
	reports, err := d.Ledgers()
	if err != nil {
		return nil, err
	}
	ranks, err := d.Ranks(context.Background())
	if err != nil {
		return nil, err
	}
	return judge.Judge(judge.Evidence{Records: records, Ledgers: reports, Ranks: ranks, Nodes: d.Revisions()}), nil
}

// Revisions returns the revision histories that each node has reported so far.
func (d *Deployment) Revisions() []judge.Node { return d.watch.nodes() }

// watcher polls the nodes for their revisions, so that a restarted node cannot
// hide the revisions that it had in force before.
type watcher struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	samples map[string][][]uint64
}

func watch(addresses map[string]string) *watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &watcher{stop: stop, samples: make(map[string][][]uint64)}
	for name, address := range addresses {
		w.done.Go(func() { w.poll(ctx, name, address) })
	}
	return w
}

func (w *watcher) poll(ctx context.Context, name, address string) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		if history, err := revisions(ctx, address); err == nil {
			w.add(name, history)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// add stores a sample if it differs from the previous one.
func (w *watcher) add(name string, history []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.samples[name]
	if len(list) > 0 && slices.Equal(list[len(list)-1], history) {
		return
	}
	w.samples[name] = append(list, history)
}

func (w *watcher) nodes() []judge.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var nodes []judge.Node
	for name, samples := range w.samples {
		nodes = append(nodes, judge.Node{Name: name, Samples: slices.Clone(samples)})
	}
	return nodes
}

func (w *watcher) end() {
	w.stop()
	w.done.Wait()
}

// revisions returns the revisions that a node reports to have had in force.
func revisions(ctx context.Context, address string) ([]uint64, error) {
	var answer struct {
		History []uint64 `json:"history"`
	}
	err := fetch(ctx, address, "/revisions", &answer)
	return answer.History, err
}

// fetch decodes the JSON answer of http://address/path into v.
func fetch(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
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
