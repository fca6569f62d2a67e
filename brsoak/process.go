package brsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// gracePeriod is the time between SIGTERM and SIGKILL.
const gracePeriod = 8 * time.Second

// process is the daemon process of one VM. Its output is appended to a log file.
type process struct {
	vm      VM
	adapter *Adapter
	dir     string

	mu     sync.Mutex // held while the process is started or stopped
	cmd    *exec.Cmd  // nil while the process is not running
	exited chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd, err := p.adapter.Command(p.vm, p.dir)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("brsoak: open log of %s: %w", p.vm.Name, err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return fmt.Errorf("brsoak: start %s: %w", p.vm.Name, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		// The exit status of a killed process carries no information.
		_ = cmd.Wait()
		out.Close()
		close(exited)
	}(p.exited)
	p.vm.Bootstrap = false
	return nil
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop(syscall.SIGKILL, 0)
}

// terminate sends SIGTERM to the process, and SIGKILL if it has not exited after
// gracePeriod. It reports whether the process exited on SIGTERM.
func (p *process) terminate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stop(syscall.SIGTERM, gracePeriod)
}

func (p *process) stop(sig syscall.Signal, grace time.Duration) bool {
	if p.cmd == nil {
		return true
	}
	p.signal(sig)
	p.signal(syscall.SIGCONT)
	inTime := true
	if grace > 0 {
		select {
		case <-p.exited:
		case <-time.After(grace):
			inTime = false
			p.signal(syscall.SIGKILL)
		}
	}
	<-p.exited
	p.cmd = nil
	return inTime
}

// signal sends a signal to the process. It has no effect after the process has
// exited.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// freeze stops the process with SIGSTOP and resumes it after d.
func (p *process) freeze(d time.Duration) {
	p.signalIfRunning(syscall.SIGSTOP)
	time.Sleep(d)
	p.signalIfRunning(syscall.SIGCONT)
}

func (p *process) signalIfRunning(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.signal(sig)
	}
}

// loseDisk empties the data directory of a process that is not running.
func (p *process) loseDisk() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.RemoveAll(p.vm.DataDir); err != nil {
		return fmt.Errorf("brsoak: empty %s: %w", p.vm.DataDir, err)
	}
	return os.MkdirAll(p.vm.DataDir, 0o755)
}
