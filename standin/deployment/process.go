package deployment

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is one program of the deployment; it may be started again after it
// has ended.
type process struct {
	name string
	path string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs the program; its output is appended to its log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, err := os.OpenFile(p.log, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends s to the program if it runs.
func (p *process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return errors.Errorf("%s does not run", p.name)
	default:
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return errors.Wrapf(err, "signal %s", p.name)
	}
	return nil
}

// pid returns the process id of the last start.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// ended is closed when the program has ended.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// wait waits until the program has ended, for at most d.
func (p *process) wait(d time.Duration) error {
	select {
	case <-p.ended():
		return nil
	case <-time.After(d):
		return errors.Errorf("%s still runs after %v", p.name, d)
	}
}

// exitCode returns the status with which the program ended, -1 after a signal.
func (p *process) exitCode() int {
	<-p.ended()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// kill ends the program at once and waits for its end.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended()
	return nil
}
