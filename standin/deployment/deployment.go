package deployment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	entryName    = "entry"
	agentName    = "agent"
	targetName   = "target"
	platformName = "platform"

	// startTimeout bounds the start of one process, applyTimeout the time until
	// a revision is in force on all nodes.
	startTimeout = 15 * time.Second
	applyTimeout = 30 * time.Second
	pollInterval = 25 * time.Millisecond
)

func name(kind string, n int) string { return fmt.Sprintf("%s-%d", kind, n) }

// Deployment is a set of running processes. Its methods are safe for concurrent
// use.
type Deployment struct {
	Shape Shape
	// Dir is the directory of the logs, settings and ledgers.
	Dir string

	temporary bool
	processes map[string]*process
	order     []string
	links     map[string]*Link
	watch     *watcher
}

// Start builds the programs if needed, starts every process and, unless the
// shape is Unconfigured, waits until the first configuration is in force on all
// nodes. After an error no process is left running.
func Start(ctx context.Context, shape Shape) (*Deployment, error) {
	d := &Deployment{Shape: shape.withDefaults(), processes: make(map[string]*process), links: make(map[string]*Link)}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.logTails(), d.Close())
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if d.Shape.Block == "" {
		return errors.New("shape has no block of addresses")
	}
	var err error
	if d.Shape.Programs == "" {
		if d.Shape.Programs, err = Build(ctx); err != nil {
			return err
		}
	}
	if d.Dir = d.Shape.Dir; d.Dir == "" {
		d.temporary = true
		if d.Dir, err = os.MkdirTemp("", "verbenashift-deployment-"); err != nil {
			return errors.Wrap(err, "make directory")
		}
	}
	if err := d.openLinks(); err != nil {
		return err
	}
	if err := d.startAll(ctx); err != nil {
		return err
	}
	d.watch = watch(d.observed())
	if d.Shape.Unconfigured {
		return nil
	}
	if _, err := d.Operator(1).PutConfig(ctx, d.Shape.Config(), 0); err != nil {
		return errors.Wrap(err, "put the first configuration")
	}
	return d.WaitRevision(ctx, 1)
}

// openLinks opens the links of the shape, before any process connects.
func (d *Deployment) openLinks() error {
	for n := 1; n <= d.Shape.targets(); n++ {
		host := targetHost + n
		if d.Shape.LinkAgents {
			if err := d.openLink(name(agentName, n), d.Shape.address(host, portAgentLink), d.Shape.address(host, portPeers)); err != nil {
				return err
			}
		}
		if d.Shape.LinkTargets {
			if err := d.openLink(name(targetName, n), d.Shape.address(host, portTargetLink), d.Shape.address(host, portTarget)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) openLink(name, from, to string) error {
	l, err := NewLink(from, to)
	if err != nil {
		return err
	}
	d.links[name] = l
	return nil
}

// Link returns the link in front of the agent or target of that name, nil if
// the shape has none.
func (d *Deployment) Link(name string) *Link { return d.links[name] }

func (d *Deployment) startAll(ctx context.Context) error {
	s := d.Shape
	platform := append([]string{"platform", "-listen", s.address(platformHost, portPlatform), "-latency", "2ms", "-instance-lag", "1s", "-weight-size", expertBytes}, s.PlatformFlags...)
	if err := d.run(platformName, "standin", platform...); err != nil {
		return err
	}
	for n := 1; n <= s.targets(); n++ {
		if err := d.run(name(targetName, n), "standin", d.standin(n)...); err != nil {
			return err
		}
	}
	if err := d.waitReachable(ctx, append([]string{platformName}, d.names(targetName, s.targets())...)); err != nil {
		return err
	}
	for n := 1; n <= s.targets(); n++ {
		if err := d.runWith(name(agentName, n), "agent", s.agent(n)); err != nil {
			return err
		}
	}
	for n := 1; n <= s.Entries; n++ {
		if err := d.runWith(name(entryName, n), "entry", s.entry(n)); err != nil {
			return err
		}
	}
	return d.waitReachable(ctx, d.nodes())
}

// standin returns the command line of target n.
func (d *Deployment) standin(n int) []string {
	kind, more := "engine", append([]string{"-step", "4ms", "-slots", "16", "-load-lag", "200ms", "-honour-fencing"}, d.Shape.EngineFlags...)
	if d.Shape.Group {
		more = append(more, d.Shape.rankFlags()...)
	}
	if n > d.Shape.ModelTargets {
		kind, more = "plain", d.Shape.PlainFlags
	}
	target := name(targetName, n)
	args := []string{kind, "-listen", d.Shape.address(targetHost+n, portTarget), "-name", target, "-ledger", d.ledger(n)}
	return append(args, more...)
}

func (d *Deployment) ledger(n int) string {
	return filepath.Join(d.Dir, name(targetName, n)+".ledger")
}

func (d *Deployment) runWith(process, program string, s Settings) error {
	file := filepath.Join(d.Dir, process+".ini")
	if err := os.WriteFile(file, []byte(s.file()), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return d.run(process, program, "-settings", file)
}

func (d *Deployment) run(process string, program string, args ...string) error {
	p := newProcess(process, filepath.Join(d.Shape.Programs, program), filepath.Join(d.Dir, process+".log"), args)
	d.processes[process] = p
	d.order = append(d.order, process)
	return p.start()
}

func newProcess(name, path, log string, args []string) *process {
	return &process{name: name, path: path, log: log, args: args}
}

// names returns kind-1 to kind-count.
func (d *Deployment) names(kind string, count int) []string {
	var list []string
	for n := 1; n <= count; n++ {
		list = append(list, name(kind, n))
	}
	return list
}

// nodes returns the names of the agents and entries.
func (d *Deployment) nodes() []string {
	return append(d.names(agentName, d.Shape.targets()), d.names(entryName, d.Shape.Entries)...)
}

// Close kills every process and closes the links. It removes a temporary
// directory unless KeepDir was called.
func (d *Deployment) Close() error {
	if d.watch != nil {
		d.watch.end()
	}
	for i := len(d.order) - 1; i >= 0; i-- {
		p := d.processes[d.order[i]]
		if p.cmd != nil {
			_ = p.signal(syscall.SIGKILL)
		}
	}
	var errs []error
	for _, n := range d.order {
		if p := d.processes[n]; p.cmd != nil {
			errs = append(errs, p.wait(startTimeout))
		}
	}
	for _, l := range d.links {
		_ = l.Close()
	}
	if d.temporary {
		errs = append(errs, os.RemoveAll(d.Dir))
	}
	return errors.Join(errs...)
}

// KeepDir makes Close retain the directory with logs and ledgers.
func (d *Deployment) KeepDir() { d.temporary = false }
