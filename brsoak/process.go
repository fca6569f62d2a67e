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

// graceTime is between SIGTERM and SIGKILL.
const graceTime = 8 * time.Second

// process is the program of one VM. Its output is appended to a file.
type process struct {
	vm      VM
	adapter *Adapter
	dir     string

	mu     sync.Mutex // held while the program is started or ended
	cmd    *exec.Cmd  // nil while it is down
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
		return fmt.Errorf("brsoak: log of %s: %w", p.vm.Name, err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return fmt.Errorf("brsoak: start %s: %w", p.vm.Name, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		// The exit status of a killed program says nothing.
		_ = cmd.Wait()
		out.Close()
		close(exited)
	}(p.exited)
	p.vm.First = false
	return nil
}

// kill ends the program with SIGKILL and waits.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(syscall.SIGKILL, 0)
}

// terminate ends the program with SIGTERM, and with SIGKILL after graceTime. It
// reports whether SIGTERM was enough.
func (p *process) terminate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.end(syscall.SIGTERM, graceTime)
}

func (p *process) end(sig syscall.Signal, grace time.Duration) bool {
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

// signal sends a signal; one that comes after the program's end changes nothing.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// freeze stops the program for d with SIGSTOP.
func (p *process) freeze(d time.Duration) {
	p.trySignal(syscall.SIGSTOP)
	time.Sleep(d)
	p.trySignal(syscall.SIGCONT)
}

func (p *process) trySignal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.signal(sig)
	}
}

// loseDisk empties the data folder of a program that is down.
func (p *process) loseDisk() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.RemoveAll(p.vm.DataDir); err != nil {
		return fmt.Errorf("brsoak: empty %s: %w", p.vm.DataDir, err)
	}
	return os.MkdirAll(p.vm.DataDir, 0o755)
}
