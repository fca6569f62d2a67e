//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each daemon at its own loopback address.
const (
	frontPort   = "8221"
	readyPort   = "8224"
	controlPort = "8229"
)

// world is everything that a case has started.
type world struct {
	trouble bool // false with TROUBLE=0
	// A case with two disruptions plays one of them with TROUBLE=first or TROUBLE=second.
	first, second bool
	keep          bool // keeps the logs and data of the daemons, with KEEP=1
	// beforeStart is called before the first start of a machine; it may be nil.
	beforeStart func(*daemon) error
	command     []string
	dir         string
	subnet      string // first three parts of the addresses
	lastIP      int

	start time.Time

	life   sync.Mutex // held while a process is started
	closed bool       // no process may be started any more; guarded by life

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	closers []func()
}

func newWorld(command []string, path string) (*world, error) {
	trouble := os.Getenv("TROUBLE")
	w := &world{
		trouble: trouble != "0", first: trouble != "0" && trouble != "second", second: trouble != "0" && trouble != "first",
		keep: os.Getenv("KEEP") == "1", command: command, start: time.Now(), lastIP: 10,
	}
	var err error
	if w.record, err = os.Create(path); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", w.subnet+".11:"+frontPort)
		if err == nil {
			l.Close()
			w.log("addresses %s.0/24, disruption %v", w.subnet, w.trouble)
			return w, nil
		}
	}
	return nil, errors.New("no free address")
}

// log writes a line with the time since the start to the record.
func (w *world) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
}

// close ends everything that was started.
func (w *world) close() {
	w.life.Lock()
	w.closed = true
	w.life.Unlock()
	w.mu.Lock()
	daemons, closers := w.daemons, w.closers
	w.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	for _, f := range closers {
		f()
	}
	if w.keep {
		fmt.Fprintln(os.Stderr, "logs and data are in", w.dir)
	} else {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// nextIP returns a loopback address that isn't used yet.
func (w *world) nextIP() string {
	w.lastIP++
	return fmt.Sprintf("%s.%d", w.subnet, w.lastIP)
}

// daemon is one machine with one process of the system.
type daemon struct {
	world    *world
	name, ip string
	zone     string
	disk     bool
	env      []string // further variables of the process

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
}

// newDaemon returns a machine that isn't started. One with a disk counts for the tolerance.
func (w *world) newDaemon(name, zone string, disk bool) *daemon {
	d := &daemon{world: w, name: name, ip: w.nextIP(), zone: zone, disk: disk}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = append(w.daemons, d)
	return d
}

func (d *daemon) address(port string) string { return net.JoinHostPort(d.ip, port) }

func (d *daemon) settingsPath() string { return filepath.Join(d.world.dir, d.name+".conf") }

// writeSettings writes the settings file as DEPLOY.md shows it, with the bounds of the site
// barajas-quito.
func (d *daemon) writeSettings(seeds []*daemon, bootstrap bool) error {
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, s.address(controlPort))
	}
	share, data := "0.4", ""
	if d.disk {
		share, data = "0.72", filepath.Join(d.world.dir, d.name+"-data")
	}
	text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=front
serves=front,control
ip=%s
zone=%s
region=quito
zones.quito-a=quito
zones.quito-b=quito
zones.quito-c=quito
listen.front=%s
listen.ready=%s
listen.control=%s
internal_port_range=7600,7615
seeds=%s
bootstrap=%v
in_tolerance=%v
limits.cpu_share=%s
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=64
data_dir=%s
discovery=registration
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_timeout_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.regression_slack_ms=250
bounds.outer_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=62
bounds.quota_window_s=8
bounds.quota_tolerance=0.1
bounds.quota_slack=110000
bounds.exposure_share=0.1
bounds.exposure_slack=50
bounds.rollback_timeout_ms=5000
bounds.recovery_s=12
bounds.pass_ms=120
bounds.reuse_window_s=10
config_mode=highest
`, d.name, d.ip, d.zone, d.address(frontPort), d.address(readyPort), d.address(controlPort),
		strings.Join(addresses, ","), bootstrap, d.disk, share, data)
	return os.WriteFile(d.settingsPath(), []byte(text), 0o600)
}

// begin starts the process of the machine.
func (d *daemon) begin(seeds []*daemon, bootstrap bool) error {
	if err := d.writeSettings(seeds, bootstrap); err != nil {
		return err
	}
	if f := d.world.beforeStart; f != nil && d.exited == nil {
		if err := f(d); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(d.world.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.world.command[0], d.world.command[1:]...)
	cmd.Env = append(os.Environ(), "BRAMLEYROUTE_NODE_FILE="+d.settingsPath())
	cmd.Env = append(cmd.Env, d.env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	d.world.life.Lock()
	defer d.world.life.Unlock()
	if d.world.closed {
		out.Close()
		return errors.New("the case is ending")
	}
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.world.log("platform: %s starts at %s (disk %v, first start of the system %v)", d.name, d.ip, d.disk, bootstrap)
	go func() {
		_ = cmd.Wait()
		out.Close()
		d.world.log("platform: the process of %s has ended", d.name)
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // an error means that it has ended
	}
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// stop sends SIGTERM, and SIGKILL after the grace period. It returns at the end of the process.
func (d *daemon) stop() {
	d.world.log("platform: SIGTERM to %s", d.name)
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(8 * time.Second):
		d.world.log("platform: SIGKILL to %s at the end of the grace period", d.name)
		d.kill()
	}
}

// plain is the client of the operator, the workers and the readiness checks.
var plain = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	r, err := plain.Get("http://" + d.address(readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady(daemons ...*daemon) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.log("platform: all daemons are ready")
	return nil
}
