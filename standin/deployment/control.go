package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/operator"
)

func (d *Deployment) process(name string) (*process, error) {
	p, ok := d.processes[name]
	if !ok {
		return nil, errors.Errorf("no process is named %s", name)
	}
	return p, nil
}

func (d *Deployment) signal(name string, s os.Signal) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// Kill9 ends a process by SIGKILL and returns when it has ended.
func (d *Deployment) Kill9(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	return p.kill()
}

// Stop freezes a process by SIGSTOP.
func (d *Deployment) Stop(name string) error { return d.signal(name, syscall.SIGSTOP) }

// Cont lets a frozen process go on.
func (d *Deployment) Cont(name string) error { return d.signal(name, syscall.SIGCONT) }

// Term asks a process to end by SIGTERM; it does not wait.
func (d *Deployment) Term(name string) error { return d.signal(name, syscall.SIGTERM) }

// Wait returns the exit status of a process that ends within bound; -1 stands
// for an end by a signal.
func (d *Deployment) Wait(name string, bound time.Duration) (int, error) {
	p, err := d.process(name)
	if err != nil {
		return 0, err
	}
	if err := p.wait(bound); err != nil {
		return 0, err
	}
	return p.exitCode(), nil
}

// Restart starts a process again that has ended, and returns when it answers.
func (d *Deployment) Restart(ctx context.Context, name string) error {
	if err := d.Launch(name); err != nil {
		return err
	}
	return d.answering(ctx, []string{name})
}

// Launch starts a process again that has ended; it does not wait.
func (d *Deployment) Launch(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	select {
	case <-p.ended():
	default:
		return errors.Errorf("%s still runs", name)
	}
	return p.start()
}

// PID returns the process id of a process, to read its use of resources.
func (d *Deployment) PID(name string) (int, error) {
	p, err := d.process(name)
	if err != nil {
		return 0, err
	}
	return p.pid(), nil
}

// Fault sets the fault switches of the platform or of a target; body is what
// POST /faults takes, as a value that encodes to JSON.
func (d *Deployment) Fault(ctx context.Context, name string, body any) error {
	return d.post(ctx, name, "/faults", body)
}

func (d *Deployment) post(ctx context.Context, name, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Address(name)+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "post to %s%s", name, path)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("post to %s%s: status %d", name, path, resp.StatusCode)
	}
	return nil
}

// Address returns where a stand-in or an entry serves its callers, and where
// an agent serves health and revisions.
func (d *Deployment) Address(process string) string {
	kind, number, _ := strings.Cut(process, "-")
	n, _ := strconv.Atoi(number)
	switch kind {
	case entryName:
		return d.Shape.address(entryHost+n, portCallers)
	case agentName:
		return d.Shape.address(targetHost+n, portAgent)
	case targetName:
		return d.Shape.address(targetHost+n, portTarget)
	default:
		return d.Shape.address(platformHost, portPlatform)
	}
}

// ObserveAddress returns where a node tells its health and revisions.
func (d *Deployment) ObserveAddress(process string) string {
	if n, ok := strings.CutPrefix(process, entryName+"-"); ok {
		i, _ := strconv.Atoi(n)
		return d.Shape.address(entryHost+i, portEntry)
	}
	return d.Address(process)
}

func (d *Deployment) observed() map[string]string {
	list := make(map[string]string)
	for _, n := range d.nodes() {
		list[n] = d.ObserveAddress(n)
	}
	return list
}

// Entries returns the callers' addresses of all entries.
func (d *Deployment) Entries() []string {
	var list []string
	for _, n := range d.names(entryName, d.Shape.Entries) {
		list = append(list, d.Address(n))
	}
	return list
}

// Token returns the caller token of a workspace of the shape.
func (d *Deployment) Token(workspace string) string { return token(workspace) }

// Operator returns a client of the administration API of an entry.
func (d *Deployment) Operator(entry int) *operator.Client {
	return &operator.Client{Server: "http://" + d.Shape.address(entryHost+entry, portAdmin), Token: AdminToken}
}

// answering waits until each process answers HTTP.
func (d *Deployment) answering(ctx context.Context, names []string) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, n := range names {
		path := "/ledger"
		if !strings.HasPrefix(n, targetName) && n != platformName {
			path = "/healthz"
		}
		err := Until(ctx, func() error { return reachable(ctx, d.ObserveAddress(n), path) })
		if err != nil {
			return errors.Wrapf(err, "%s does not answer", n)
		}
	}
	return nil
}

func reachable(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// WaitRevision waits until the nodes named, or all of them, have that revision
// or a later one in force.
func (d *Deployment) WaitRevision(ctx context.Context, revision uint64, nodes ...string) error {
	ctx, cancel := context.WithTimeout(ctx, forceTime)
	defer cancel()
	if len(nodes) == 0 {
		nodes = d.nodes()
	}
	for _, n := range nodes {
		err := Until(ctx, func() error {
			history, err := d.History(ctx, n)
			if err != nil {
				return err
			}
			if len(history) == 0 || history[len(history)-1] < revision {
				return errors.Errorf("has revisions %v", history)
			}
			return nil
		})
		if err != nil {
			return errors.Wrapf(err, "revision %d at %s", revision, n)
		}
	}
	return nil
}

// History returns the revisions that a node has had in force since it started,
// oldest first.
func (d *Deployment) History(ctx context.Context, node string) ([]uint64, error) {
	return revisions(ctx, d.ObserveAddress(node))
}

// Until calls f again and again until it returns nil or ctx ends, and then
// returns its last error.
func Until(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		timer := time.NewTimer(pollPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// tails returns the ends of all logs as an error, for a start that failed.
func (d *Deployment) tails() error {
	const tail = 600
	var b strings.Builder
	for _, n := range d.order {
		data, err := os.ReadFile(d.processes[n].log)
		if err == nil && len(data) > 0 {
			fmt.Fprintf(&b, "\n%s: %s", n, data[max(0, len(data)-tail):])
		}
	}
	return errors.New("logs:" + b.String())
}
