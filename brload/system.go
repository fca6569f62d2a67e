package brload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
)

const (
	operatorKey = "load-operator-key-1"
	peerKey     = "load-peer-key-00001"
	region      = "local"

	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 3 * time.Second
)

// System is a set of processes on loopback.
type System struct {
	binaries string
	dir      string
	procs    []*exec.Cmd
	logs     []*os.File
	daemons  []Daemon
}

// Daemon is a running bramleyroute process.
type Daemon struct {
	ID                     string
	Caller, Peer, Operator string // host:port
	PID                    int
}

// FakeEngines describes a group of fake engines.
type FakeEngines struct {
	Name        string // prefix of the endpoint IDs
	Count       int
	MaxBatch    int
	Capacity    int // announced capacity, in tokens
	CacheBlocks int
	Prefill     time.Duration // per token
	StepBase    time.Duration
	StepPerSeq  time.Duration
	Daemons     []string // addresses that the engines send announcements to
	GOMAXPROCS  int      // 0 means the default of the runtime
}

// NewSystem returns a system without processes. binaries is the directory of the
// built programs. Logs and data are stored in a temporary directory that Close
// removes.
func NewSystem(binaries string) (*System, error) {
	dir, err := os.MkdirTemp("", "brload-")
	if err != nil {
		return nil, err
	}
	return &System{binaries: binaries, dir: dir}, nil
}

// Close stops the processes, waits for them and removes the temporary directory.
func (s *System) Close() {
	for _, p := range s.procs {
		_ = p.Process.Signal(os.Interrupt) // an error means that the process has already ended
	}
	for _, p := range s.procs {
		kill := time.AfterFunc(stopTimeout, func() { _ = p.Process.Kill() })
		_ = p.Wait()
		kill.Stop()
	}
	for _, f := range s.logs {
		_ = f.Close()
	}
	_ = os.RemoveAll(s.dir)
}

func (s *System) start(name string, env []string, args ...string) (int, error) {
	f, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return 0, err
	}
	s.logs = append(s.logs, f)
	c := exec.Command(args[0], args[1:]...)
	c.Env, c.Stdout, c.Stderr = append(os.Environ(), env...), f, f
	if err := c.Start(); err != nil {
		return 0, err
	}
	s.procs = append(s.procs, c)
	return c.Process.Pid, nil
}

// StartDaemons starts n daemons, applies the configuration of m and waits until they
// are ready. The first three daemons have the control role, or only the first if n
// is less than 3. maxProcs is their GOMAXPROCS; 0 means the default of the runtime.
func (s *System) StartDaemons(ctx context.Context, n, maxProcs int, m Mix) ([]Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var peers []string
	for i := range n {
		d := Daemon{ID: fmt.Sprintf("vm%d", i)}
		for _, a := range []*string{&d.Caller, &d.Peer, &d.Operator} {
			var err error
			if *a, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		if i < 3 && (n >= 3 || i == 0) {
			peers = append(peers, d.ID+"="+d.Peer)
		}
		s.daemons = append(s.daemons, d)
	}
	for i := range s.daemons {
		var err error
		if s.daemons[i].PID, err = s.startDaemon(i, s.daemons[i], peers, maxProcs); err != nil {
			return nil, err
		}
	}
	if err := s.putConfig(ctx, m); err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	for _, d := range s.daemons {
		if err := poll(ctx, d.ID+" to be ready", func() bool { return ready(d) }); err != nil {
			return nil, err
		}
	}
	return s.daemons, nil
}

func (s *System) startDaemon(i int, d Daemon, peers []string, maxProcs int) (int, error) {
	roles := "entry,scheduler"
	if i < len(peers) {
		roles += ",control"
	}
	env := []string{}
	for _, v := range [][2]string{
		{"DAEMON_ID", d.ID}, {"ROLES", roles}, {"REGION", region}, {"FAILURE_DOMAIN", string(rune('a' + i%4))},
		{"CALLER_ADDRESS", d.Caller}, {"PEER_ADDRESS", d.Peer}, {"OPERATOR_ADDRESS", d.Operator},
		{"CONTROL_PEERS", strings.Join(peers, ",")}, {"DATA_DIR", filepath.Join(s.dir, d.ID)},
		{"PEER_KEYS", peerKey}, {"OPERATOR_KEYS", operatorKey}, {"LOG_LEVEL", "warn"}, {"TIMELINE_EVENTS", "400000"},
	} {
		env = append(env, "BRAMLEYROUTE_"+v[0]+"="+v[1])
	}
	if maxProcs > 0 {
		env = append(env, fmt.Sprintf("GOMAXPROCS=%d", maxProcs))
	}
	return s.start(d.ID, env, filepath.Join(s.binaries, "bramleyroute"))
}

// putConfig sends the configuration until it is accepted, it is invalid or ctx ends.
func (s *System) putConfig(ctx context.Context, m Mix) error {
	put := broperator.PutConfig{CommandID: newID(), Document: m.Document()}
	for {
		_, err := callOperator[broperator.PutConfig, broperator.Accepted](ctx, s.daemons[0], "PUT", broperator.PathConfig, put)
		if err == nil || brerror.Is(err, brerror.InvalidRequest) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, pollInterval)
	}
}

// StartFakeEngines starts fake engines and waits until they respond.
func (s *System) StartFakeEngines(ctx context.Context, f FakeEngines) ([]Engine, error) {
	var engines []Engine
	for i := range f.Count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		e := Engine{ID: fmt.Sprintf("%s-%d", f.Name, i), Address: address, MaxBatch: f.MaxBatch}
		args := []string{filepath.Join(s.binaries, "brfake"), "--id=" + e.ID, "--listen=" + address, "--model=" + Model, "--region=" + region,
			fmt.Sprintf("--max-batch=%d", f.MaxBatch), fmt.Sprintf("--capacity-tokens=%d", f.Capacity),
			fmt.Sprintf("--cache-blocks=%d", f.CacheBlocks), "--prefill-per-token=" + f.Prefill.String(),
			"--step-base=" + f.StepBase.String(), "--step-per-sequence=" + f.StepPerSeq.String(), fmt.Sprintf("--seed=%d", i+1)}
		for _, d := range f.Daemons {
			args = append(args, "--daemon="+d)
		}
		var env []string
		if f.GOMAXPROCS > 0 {
			env = append(env, fmt.Sprintf("GOMAXPROCS=%d", f.GOMAXPROCS))
		}
		if _, err := s.start(e.ID, env, args...); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range engines {
		if err := poll(ctx, e.ID+" to respond", func() bool { _, err := counts(ctx, e); return err == nil }); err != nil {
			return nil, err
		}
	}
	return engines, nil
}

// WaitEngines waits until a scheduler uses at least as many engines as engines
// holds.
func (s *System) WaitEngines(ctx context.Context, engines []Engine) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return poll(ctx, "the pool to use all engines", func() bool {
		p, ok := s.Pool(ctx)
		n := 0
		for _, e := range p.Endpoints {
			if e.State == "in_use" {
				n++
			}
		}
		return ok && n >= len(engines)
	})
}

// Pool returns the state of the pool at its scheduler. It returns false if the pool
// has no reachable scheduler.
func (s *System) Pool(ctx context.Context) (broperator.Pool, bool) {
	pools, err := callOperator[broperator.Empty, []broperator.Pool](ctx, s.daemons[0], "GET", broperator.PathPools, broperator.Empty{})
	if err != nil {
		return broperator.Pool{}, false
	}
	for _, p := range pools {
		if p.Name == Model+"@"+region && p.Reachable {
			return p, true
		}
	}
	return broperator.Pool{}, false
}

// Timeline returns the events of all daemons since from.
func (s *System) Timeline(ctx context.Context, from time.Time) (broperator.Timeline, error) {
	var all broperator.Timeline
	for _, d := range s.daemons {
		q := broperator.TimelineQuery{ThisDaemon: true}
		q.From = from
		t, err := callOperator[broperator.TimelineQuery, broperator.Timeline](ctx, d, "POST", broperator.PathTimeline, q)
		if err != nil {
			return all, fmt.Errorf("read timeline of %s: %w", d.ID, err)
		}
		all.Events = append(all.Events, t.Events...)
	}
	return all, nil
}

// counts returns the counters of a fake engine.
func counts(ctx context.Context, e Engine) (brfake.Counts, error) {
	var n brfake.Counts
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/debug/counts", nil)
	if err != nil {
		return n, err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return n, err
	}
	defer res.Body.Close()
	return n, json.NewDecoder(res.Body).Decode(&n)
}

func callOperator[Req, Resp any](ctx context.Context, d Daemon, method, path string, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	return broperator.Call[Req, Resp](ctx, "http://"+d.Operator, brpeer.Keys{operatorKey}, method, path, req)
}

func ready(d Daemon) bool {
	res, err := http.Get("http://" + d.Operator + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// poll calls ok periodically until it returns true, since the state of other
// processes has no channel to wait on. It returns an error if ctx ends first.
func poll(ctx context.Context, condition string, ok func() bool) error {
	for !ok() {
		if !sleep(ctx, pollInterval) {
			return errors.Join(fmt.Errorf("timed out waiting for %s", condition), ctx.Err())
		}
	}
	return nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
