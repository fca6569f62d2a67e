package brsystem

import (
	"errors"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// process is one program that can be started repeatedly.
type process struct {
	t    *testing.T
	name string
	args []string
	env  []string
	logs *os.File
	cmd  *exec.Cmd
	done chan struct{} // closed when the current cmd has ended
	pid  *atomic.Int64 // process ID of the current cmd
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stderr, p.cmd.Stdout = p.logs, p.logs
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() {
		_ = cmd.Wait() // many tests kill the process, so an error is expected
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %s: %v", p.name, err)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// waitEnd waits for the process to end and fails the test after d.
func (p *process) waitEnd(d time.Duration) {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(d):
		p.t.Fatalf("%s did not end within %v", p.name, d)
	}
}
