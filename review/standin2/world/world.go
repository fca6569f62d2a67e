//go:build review

// Package world starts daemons with the command of the deploy file on loopback addresses, and
// is the platform, the operator, the endpoints and the callers around them. Everything in it
// does only what the users' pages allow.
package world

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each daemon; each has an IP address of its own.
const (
	FrontPort   = 8221
	ReadyPort   = 8224
	ControlPort = 8229
)

// World is a small deployment.
type World struct {
	Dir       string // temporary folder
	Net       string // first three bytes of all addresses
	Tolerance int
	MemoryMB  int
	Daemons   []*Daemon

	mu     sync.Mutex
	record *os.File
	begun  time.Time
}

// Daemon is one process.
type Daemon struct {
	Name, IP  string
	Disk      bool
	world     *World
	cmd       *exec.Cmd
	exited    chan struct{}
	bootstrap bool
	seeds     []string
}

// New returns a world without daemons whose record is written to the file at path.
func New(path string) *World {
	dir, err := os.MkdirTemp("", "review-")
	Must(err)
	record, err := os.Create(path)
	Must(err)
	w := &World{Dir: dir, MemoryMB: 134, record: record, begun: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		w.Logf("%v: the case ends without a verdict", <-signals)
		w.End(2)
	}()
	Current = w
	for {
		w.Net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", w.Net+"1:"+strconv.Itoa(ControlPort))
		if err == nil {
			l.Close()
			return w
		}
	}
}

// Current is the world of this process, or nil.
var Current *World

// Must ends the program with the exit code 2, that of a case that could not run.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		if Current != nil {
			Current.End(2)
		}
		os.Exit(2)
	}
}

var (
	allMu sync.Mutex
	all   []*Daemon
)

func killAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for _, d := range all {
		d.Kill()
	}
}

// Logf writes a line to the record.
func (w *World) Logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// End ends all processes and exits with code.
func (w *World) End(code int) {
	killAll()
	w.Logf("exit code %d", code)
	w.record.Close()
	os.RemoveAll(w.Dir)
	os.Exit(code)
}

// Add adds daemons, of which the first withDisk have a disk, and starts them.
func (w *World) Add(n, withDisk int) {
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", w.Net, 11+i, ControlPort))
	}
	for i := range n {
		d := &Daemon{Name: fmt.Sprintf("front-%d", i+1), IP: w.Net + strconv.Itoa(11+i), Disk: i < withDisk, world: w, bootstrap: true, seeds: seeds}
		w.Daemons = append(w.Daemons, d)
	}
	for _, d := range w.Daemons {
		d.Start()
	}
}

func (d *Daemon) dataDir() string { return filepath.Join(d.world.Dir, d.Name, "data") }

func (d *Daemon) settings() string {
	var b strings.Builder
	p := func(k string, v any) { fmt.Fprintf(&b, "%s=%v\n", k, v) }
	p("node_name", d.Name)
	p("role", "entry")
	p("machine_class", "front")
	p("serves", "front,control")
	p("ip", d.IP)
	zone := "z" + d.Name[len("front-"):]
	p("zone", zone)
	p("region", "r")
	for _, x := range d.world.Daemons {
		p("zones.z"+x.Name[len("front-"):], "r")
	}
	p("listen.front", fmt.Sprintf("%s:%d", d.IP, FrontPort))
	p("listen.ready", fmt.Sprintf("%s:%d", d.IP, ReadyPort))
	p("listen.control", fmt.Sprintf("%s:%d", d.IP, ControlPort))
	p("internal_port_range", "7600,7615")
	p("seeds", strings.Join(d.seeds, ","))
	p("bootstrap", d.bootstrap)
	p("in_tolerance", d.Disk)
	p("limits.cpu_share", 0.72)
	p("limits.cpu_cores", 1)
	p("limits.memory_mb", d.world.MemoryMB)
	p("limits.max_fds", 4100)
	p("limits.link_mbps", "1000.0")
	if d.Disk {
		p("limits.disk_mb", 64)
		p("data_dir", d.dataDir())
	}
	p("discovery", "registration")
	p("entry", "vip")
	p("heartbeat_ms", 1200)
	p("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout")
	p("fault_tolerance.machines", d.world.Tolerance)
	p("fault_tolerance.zones", 0)
	p("fault_tolerance.regions", 0)
	for k, v := range map[string]string{
		"seed_lag_s": "3", "reuse_after_s": "2", "contact_ms": "3000", "ack_timeout_ms": "4000", "catch_up_s": "4", "drain_timeout_ms": "2000",
		"grace_period_s": "8", "loss_slack_ms": "200", "config_apply_ms": "2000", "regression_slack_ms": "250", "outer_ms": "5000",
		"strict_revoke": "false", "revoke_ms": "5000", "retry_budget_ratio": "0.2", "budget_window_s": "10", "budget_slack": "60",
		"quota_window_s": "8", "quota_tolerance": "0.1", "quota_slack": "110000", "exposure_share": "0.1", "exposure_slack": "50",
		"rollback_timeout_ms": "5000", "recovery_s": "12", "pass_ms": "120", "reuse_window_s": "8",
	} {
		p("bounds."+k, v)
	}
	p("config_mode", "highest")
	return b.String()
}

// Start starts the process.
func (d *Daemon) Start() {
	dir := filepath.Join(d.world.Dir, d.Name)
	Must(os.MkdirAll(d.dataDir(), 0o755))
	file := filepath.Join(dir, "local.conf")
	Must(os.WriteFile(file, []byte(d.settings()), 0o644))
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Must(err)
	cmd := exec.Command("target/bramleyroute-platform", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYROUTE_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(cmd.Start())
	out.Close()
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		d.world.Logf("%s (process %d) has ended: %v", d.Name, cmd.Process.Pid, err)
		close(exited)
	}()
	d.cmd, d.exited, d.bootstrap = cmd, exited, false
	d.world.Logf("%s started at %s as process %d", d.Name, d.IP, cmd.Process.Pid)
	allMu.Lock()
	all = append(all, d)
	allMu.Unlock()
}

// Signal sends a signal.
func (d *Daemon) Signal(s syscall.Signal) {
	d.world.Logf("%s gets %v", d.Name, s)
	_ = d.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// Ended reports whether the process has ended.
func (d *Daemon) Ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process.
func (d *Daemon) Wait(t time.Duration) bool {
	select {
	case <-d.exited:
		return true
	case <-time.After(t):
		return false
	}
}

// AnonymousMB returns the memory of the process without that of its files, as the kernel counts it.
func (d *Daemon) AnonymousMB() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// Log returns what the process has logged.
func (d *Daemon) Log() string {
	b, _ := os.ReadFile(filepath.Join(d.world.Dir, d.Name, "log"))
	return string(b)
}

// Front, Ready and Control return the addresses of a daemon.
func (d *Daemon) Front() string   { return fmt.Sprintf("%s:%d", d.IP, FrontPort) }
func (d *Daemon) Ready() string   { return fmt.Sprintf("%s:%d", d.IP, ReadyPort) }
func (d *Daemon) Control() string { return fmt.Sprintf("%s:%d", d.IP, ControlPort) }

// client opens a new connection for each call.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}

// Call sends a call to control and returns the status, 0 without one, and the body.
func (w *World) Call(method, address, path string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	Must(err)
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		w.Logf("%s %s at %s: %v", method, path, address, err)
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(b)
}

// PutConfig sends a configuration to the daemons in turn until one accepts it.
func (w *World) PutConfig(config any) {
	b, err := json.Marshal(config)
	Must(err)
	for i := range 200 {
		d := w.Daemons[i%len(w.Daemons)]
		if d.Ended() {
			continue
		}
		if status, _ := w.Call("PUT", d.Control(), "/-/config", b); status == 200 {
			w.Logf("%s has acknowledged a configuration of %d bytes", d.Name, len(b))
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	Must(fmt.Errorf("no daemon accepts the configuration"))
}

// IsReady asks for readiness as the platform does.
func (w *World) IsReady(d *Daemon) bool {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	res, err := c.Get("http://" + d.Ready() + "/-/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// AwaitReady waits until all running daemons are ready.
func (w *World) AwaitReady(t time.Duration) {
	end := time.Now().Add(t)
	for _, d := range w.Daemons {
		for !w.IsReady(d) {
			if time.Now().After(end) {
				Must(fmt.Errorf("%s isn't ready", d.Name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Route and Service return parts of a configuration as the pages show them.
func Route(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "target_latency_ms": 500,
		"priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "stream_resume": false, "gap_target_ms": 200,
	}
}

func Service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 380, "protocol": "h1", "tls": false}
}

func Config(version int, routes, services []map[string]any, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func Tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}
}
