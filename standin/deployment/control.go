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

// Kill9 kills a process with SIGKILL and waits until it has exited.
func (d *Deployment) Kill9(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	return p.kill()
}

// Stop suspends a process with SIGSTOP.
func (d *Deployment) Stop(name string) error { return d.signal(name, syscall.SIGSTOP) }

// Cont resumes a suspended process with SIGCONT.
func (d *Deployment) Cont(name string) error { return d.signal(name, syscall.SIGCONT) }

// Term sends SIGTERM to a process; it does not wait.
func (d *Deployment) Term(name string) error { return d.signal(name, syscall.SIGTERM) }

// Wait waits until a process exits, for at most bound, and returns its exit
// status; -1 means that it was ended by a signal.
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

// Restart starts a process that has exited, and waits until it answers.
func (d *Deployment) Restart(ctx context.Context, name string) error {
	if err := d.Launch(name); err != nil {
		return err
	}
	return d.waitReachable(ctx, []string{name})
}

// Launch starts a process that has exited; it does not wait.
func (d *Deployment) Launch(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	select {
	case <-p.ended():
	default:
		return errors.Errorf("%s is still running", name)
	}
	return p.start()
}

// PID returns the process ID of a process, for reading its resource usage.
func (d *Deployment) PID(name string) (int, error) {
	p, err := d.process(name)
	if err != nil {
		return 0, err
	}
	return p.pid(), nil
}

// Fault sets the fault switches of the platform or of a target. body is a value
// that encodes to the JSON body of POST /faults.
func (d *Deployment) Fault(ctx context.Context, name string, body any) error {
	return d.post(ctx, name, "/faults", body)
}

// Copy makes a copy of the platform's store, and Restore brings the last copy back.
func (d *Deployment) Copy(ctx context.Context) error { return d.post(ctx, "platform", "/copy", nil) }

// Restore brings the store back from the last copy, in a new era.
func (d *Deployment) Restore(ctx context.Context) error {
	return d.post(ctx, "platform", "/restore", nil)
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

// Address returns the address at which a stand-in or an entry serves its
// callers, or at which an agent serves health and revisions.
func (d *Deployment) Address(process string) string {
	kind, number, _ := strings.Cut(process, "-")
	n, _ := strconv.Atoi(number)
	switch kind {
	case entryName:
		return d.Shape.address(entryHost+n, portCallers)
	case agentName:
		return d.Shape.address(targetHost+n, portAgentObserve)
	case targetName:
		return d.Shape.address(targetHost+n, portTarget)
	default:
		return d.Shape.address(platformHost, portPlatform)
	}
}

// ObserveAddress returns the address at which a node serves its health and
// revisions.
func (d *Deployment) ObserveAddress(process string) string {
	if n, ok := strings.CutPrefix(process, entryName+"-"); ok {
		i, _ := strconv.Atoi(n)
		return d.Shape.address(entryHost+i, portEntryObserve)
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

// Entries returns the addresses at which the entries serve callers.
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

// waitReachable waits until each process answers HTTP requests.
func (d *Deployment) waitReachable(ctx context.Context, names []string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
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

// Until calls f at intervals until it returns nil or ctx is done, and returns
// the error of the last call.
func Until(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// logTails returns the ends of all logs as an error, to explain a failed start.
func (d *Deployment) logTails() error {
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
