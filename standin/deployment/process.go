package deployment

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is one program of the deployment; it can be restarted after it has
// exited.
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

// signal sends s to the program, or returns an error if it does not run.
func (p *process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return errors.Errorf("%s is not running", p.name)
	default:
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return errors.Wrapf(err, "signal %s", p.name)
	}
	return nil
}

// pid returns the process ID of the last start.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// ended returns a channel that is closed when the program has exited.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// wait waits until the program has exited, for at most d.
func (p *process) wait(d time.Duration) error {
	select {
	case <-p.ended():
		return nil
	case <-time.After(d):
		return errors.Errorf("%s is still running after %v", p.name, d)
	}
}

// exitCode returns the exit status of the program, -1 if a signal ended it.
func (p *process) exitCode() int {
	<-p.ended()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// kill sends SIGKILL to the program and waits until it has exited.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended()
	return nil
}
